//! Detection of tasks that panic.

use tokio::sync::mpsc;

/// Reports a failure when the task that owns it panics. Without the report, a process without its dispatcher or its
/// control plane would keep running and reject every call.
pub(crate) struct PanicGuard {
    pub(crate) task: &'static str,
    pub(crate) failure: mpsc::UnboundedSender<Box<str>>,
}

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Without a receiver the process is already stopping.
            let _ = self.failure.send(format!("{} panicked", self.task).into());
        }
    }
}
