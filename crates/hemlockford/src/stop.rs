//! Signals that stop a process.

use {
    actix_rt::signal::unix::{SignalKind, signal},
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

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn stop_signal() -> Result<Stop> {
    let mut terminate = signal(SignalKind::terminate()).change_context(ErrorKind::Io)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(ErrorKind::Io)?;
    Ok(poll_fn(|cx| {
        if terminate.poll_recv(cx).is_ready() {
            return Poll::Ready(Stop::Graceful);
        }
        interrupt.poll_recv(cx).map(|_| Stop::AtOnce)
    })
    .await)
}
