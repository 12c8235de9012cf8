//! A call that waits for a decision of the dispatcher.

use {
    crate::dispatcher::{Decision, DispatcherHandle},
    hemlockford_core::{
        dispatch::{AttemptResult, FinishedAttempt},
        ids::CallId,
    },
    std::time::Duration,
    tokio::sync::oneshot,
};

/// A call that waits for a decision. It is cancelled if it is dropped before the decision, including when the whole
/// worker is dropped.
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
            // If a server was chosen in the meantime, its slot is returned.
            Ok(Decision::Send { server, .. } | Decision::Relay { entry: server, .. }) => {
                self.dispatcher.attempt_finished(FinishedAttempt {
                    call: self.call,
                    server,
                    result: AttemptResult::CallerLeft,
                    latency: Duration::ZERO,
                    report: None,
                    wants_decision: false,
                })
            }
            Ok(Decision::Reject { .. }) => {}
            Err(_) => self.dispatcher.cancel(self.call),
        }
    }
}
