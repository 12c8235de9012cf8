//! The logger, which is made here once and passed down.

use {
    slog::{Drain, Logger, o},
    slog_async::Async,
    slog_term::{FullFormat, TermDecorator},
    std::{io::stderr, str::FromStr},
};

/// Records that wait for the writing thread; more are dropped and counted by the library.
const QUEUE: usize = 1_024;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Lines for a person.
    #[default]
    Term,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "term" => Ok(Self::Term),
            "json" => Ok(Self::Json),
            _ => Err(format!("'{text}' is neither json nor term")),
        }
    }
}

/// Makes the logger, which writes to standard error. The records are written before it is dropped.
pub(crate) fn logger(format: LogFormat) -> Logger {
    let drain = match format {
        LogFormat::Term => {
            let drain = FullFormat::new(TermDecorator::new().stderr().build()).build().fuse();
            Async::new(drain).chan_size(QUEUE).build()
        }
        LogFormat::Json => Async::new(slog_json::Json::default(stderr()).fuse()).chan_size(QUEUE).build(),
    };
    Logger::root(drain.fuse(), o!())
}
