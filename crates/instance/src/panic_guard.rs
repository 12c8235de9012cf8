//! Notices a task that ended by a broken invariant.

use tokio::sync::mpsc;

/// Reports a failure when the task that owns it panics. A process without its dispatcher or its control
/// part would stay up and refuse every call.
pub(crate) struct PanicGuard {
    pub(crate) part: &'static str,
    pub(crate) failure: mpsc::UnboundedSender<Box<str>>,
}

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Without a receiver the process is stopping already.
            let _ = self.failure.send(format!("broken invariant in {}", self.part).into());
        }
    }
}
