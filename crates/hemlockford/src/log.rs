//! Creation of the logger.

use {
    slog::{Drain, Logger, o},
    slog_async::Async,
    slog_term::{FullFormat, TermDecorator},
    std::{io::stderr, str::FromStr},
};

/// Number of records that can wait for the writing thread. The library drops and counts the records beyond it.
const QUEUE_CAPACITY: usize = 1_024;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Human-readable lines.
    #[default]
    Term,
    /// One JSON object per line.
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

/// Creates a logger that writes to standard error. Dropping it waits until all queued records have been written.
pub(crate) fn logger(format: LogFormat) -> Logger {
    let drain = match format {
        LogFormat::Term => {
            let drain = FullFormat::new(TermDecorator::new().stderr().build()).build().fuse();
            Async::new(drain).chan_size(QUEUE_CAPACITY).build()
        }
        LogFormat::Json => Async::new(slog_json::Json::default(stderr()).fuse()).chan_size(QUEUE_CAPACITY).build(),
    };
    Logger::root(drain.fuse(), o!())
}
