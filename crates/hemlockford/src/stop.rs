//! Signals that stop a process.

use {
    actix_rt::signal::unix::{Signal, SignalKind, signal},
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    std::{future::poll_fn, task::Poll},
};

/// How a process is asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// SIGTERM: finish what is in progress.
    Graceful,
    /// SIGINT: stop at once.
    AtOnce,
}

/// Signals that stop a process, from the time at which this value is made.
///
/// It is made before a process says that it is ready, because a signal without a handler would end it
/// without a graceful stop.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the handlers; needs a runtime.
    pub(crate) fn install() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
        let interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
        Ok(Self { terminate, interrupt })
    }

    /// Waits for SIGTERM or SIGINT.
    pub(crate) async fn wait(&mut self) -> Stop {
        poll_fn(|cx| {
            if self.terminate.poll_recv(cx).is_ready() {
                return Poll::Ready(Stop::Graceful);
            }
            self.interrupt.poll_recv(cx).map(|_| Stop::AtOnce)
        })
        .await
    }
}
