//! Creation of the logger.

use {
    slog::{Drain, Logger, o},
    slog_async::Async,
    slog_term::{FullFormat, TermDecorator},
    std::{
        io::{Write, stderr},
        str::FromStr,
        sync::mpsc,
        thread,
        time::Duration,
    },
};

/// Number of records that can wait for the writing thread. The library drops and counts the records beyond it.
const QUEUE_CAPACITY: usize = 1_024;

/// Maximum time for what was logged to be written when the process ends. The reader of the log may have stopped reading,
/// and the platform kills a process that does not end in time.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

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

/// Creates a logger that writes to standard error. Dropping it waits until all queued records have been written, without
/// a limit; see [`close`].
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

/// Waits until all queued records have been written, or the time for it is over.
pub(crate) fn close(log: Logger) {
    run_with_timeout(move || drop(log));
}

/// Writes a line to standard error, unless nobody reads it.
pub(crate) fn print_error(line: String) {
    run_with_timeout(move || {
        // There is nowhere else to report that it cannot be written.
        let _ = writeln!(stderr(), "{line}");
    });
}

fn run_with_timeout(write: impl FnOnce() + Send + 'static) {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        write();
        let _ = tx.send(());
    });
    // A thread that is still writing ends with the process.
    let _ = rx.recv_timeout(FLUSH_TIMEOUT);
}
