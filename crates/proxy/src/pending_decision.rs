//! A call that waits for a decision.

use {
    crate::dispatcher::{Decision, DispatcherHandle},
    hemlockford_core::{
        dispatch::{AttemptResult, FinishedAttempt},
        ids::CallId,
    },
    std::time::Duration,
    tokio::sync::oneshot,
};

/// A call that waits for a decision; it is withdrawn when it is dropped undecided, also when the whole
/// worker is.
#[derive(Debug)]
pub(crate) struct PendingDecision {
    dispatcher: DispatcherHandle,
    call: CallId,
    rx: Option<oneshot::Receiver<Decision>>,
}

impl PendingDecision {
    pub(crate) fn new(dispatcher: DispatcherHandle, call: CallId, rx: oneshot::Receiver<Decision>) -> Self {
        Self { dispatcher, call, rx: Some(rx) }
    }

    /// Waits for the decision; `None` means that the dispatcher is gone.
    pub(crate) async fn wait(&mut self) -> Option<Decision> {
        let decision = self.rx.as_mut()?.await.ok();
        self.rx = None;
        decision
    }
}

impl Drop for PendingDecision {
    fn drop(&mut self) {
        let Some(mut rx) = self.rx.take() else { return };
        rx.close();
        match rx.try_recv() {
            // A decision that has arrived meanwhile gives its slot back.
            Ok(Decision::Send { server, .. }) => self.dispatcher.finish(FinishedAttempt {
                call: self.call,
                server,
                result: AttemptResult::CallerLeft,
                latency: Duration::ZERO,
                report: None,
                wants_decision: false,
            }),
            Ok(Decision::Reject { .. }) => {}
            Err(_) => self.dispatcher.cancel(self.call),
        }
    }
}
