//! Handling of the signals that stop a process or reload its settings.

use {
    actix_rt::signal::unix::{Signal, SignalKind, signal},
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    std::{future::poll_fn, task::Poll},
};

/// How a process stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopMode {
    /// On SIGTERM: the calls in progress are finished.
    Graceful,
    /// On SIGINT: the process stops immediately.
    Immediate,
}

/// What a signal requests from an instance of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// On SIGTERM or SIGINT: stop the process.
    Stop(StopMode),
    /// On SIGHUP: read the settings again.
    Reload,
}

/// Receiver of the signals SIGTERM, SIGINT and SIGHUP.
///
/// A process must install it before it reports that it is ready, because without a handler a signal would terminate the
/// process without a graceful stop.
pub(crate) struct SignalReceiver {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl SignalReceiver {
    /// Installs the signal handlers. Must be called within a runtime.
    pub(crate) fn install() -> Result<Self> {
        let terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
        let interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
        let hangup = signal(SignalKind::hangup()).change_context(ErrorKind::Io)?;
        Ok(Self { terminate, interrupt, hangup })
    }

    /// Waits for SIGTERM, SIGINT or SIGHUP.
    pub(crate) async fn next_request(&mut self) -> SignalRequest {
        poll_fn(|cx| {
            if self.hangup.poll_recv(cx).is_ready() {
                return Poll::Ready(SignalRequest::Reload);
            }
            if self.terminate.poll_recv(cx).is_ready() {
                return Poll::Ready(SignalRequest::Stop(StopMode::Graceful));
            }
            self.interrupt.poll_recv(cx).map(|_| SignalRequest::Stop(StopMode::Immediate))
        })
        .await
    }

    /// Waits for SIGTERM or SIGINT.
    pub(crate) async fn wait_for_stop(&mut self) -> StopMode {
        poll_fn(|cx| {
            if self.terminate.poll_recv(cx).is_ready() {
                return Poll::Ready(StopMode::Graceful);
            }
            self.interrupt.poll_recv(cx).map(|_| StopMode::Immediate)
        })
        .await
    }
}
