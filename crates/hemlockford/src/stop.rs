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

/// What a signal asks of an instance of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// Stop the process.
    Stop(Stop),
    /// SIGHUP: read the settings again.
    Reload,
}

/// Signals that stop a process, from the time at which this value is made.
///
/// It is made before a process says that it is ready, because a signal without a handler would end it
/// without a graceful stop.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Installs the handlers; needs a runtime.
    pub(crate) fn install() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
        let interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
        let hangup = signal(SignalKind::hangup()).change_context(ErrorKind::Io)?;
        Ok(Self { terminate, interrupt, hangup })
    }

    /// Waits for SIGTERM, SIGINT or SIGHUP.
    pub(crate) async fn wait_request(&mut self) -> Request {
        poll_fn(|cx| {
            if self.hangup.poll_recv(cx).is_ready() {
                return Poll::Ready(Request::Reload);
            }
            if self.terminate.poll_recv(cx).is_ready() {
                return Poll::Ready(Request::Stop(Stop::Graceful));
            }
            self.interrupt.poll_recv(cx).map(|_| Request::Stop(Stop::AtOnce))
        })
        .await
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
