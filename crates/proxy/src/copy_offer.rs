//! The offer of a worker to run a second copy of a call.

use {
    crate::dispatcher::{CopyTarget, DispatcherHandle},
    hemlockford_core::{
        dispatch::{AttemptResult, FinishedAttempt},
        ids::CallId,
    },
    std::time::Duration,
    tokio::sync::oneshot,
};

/// The offer of a worker to run a second copy of a call. If it is dropped after the dispatcher has chosen a server, the
/// slot of the copy is given back.
#[derive(Debug)]
pub(crate) struct CopyOffer {
    dispatcher: DispatcherHandle,
    call: CallId,
    rx: Option<oneshot::Receiver<CopyTarget>>,
}

impl CopyOffer {
    pub(crate) fn new(dispatcher: DispatcherHandle, call: CallId) -> Self {
        let rx = Some(dispatcher.offer_copy(call));
        Self { dispatcher, call, rx }
    }

    /// Waits until the dispatcher chooses a server; `None` means that it will not.
    pub(crate) async fn wait(&mut self) -> Option<CopyTarget> {
        let target = self.rx.as_mut()?.await.ok();
        self.rx = None;
        target
    }
}

impl Drop for CopyOffer {
    fn drop(&mut self) {
        let Some(mut rx) = self.rx.take() else { return };
        rx.close();
        if let Ok(target) = rx.try_recv() {
            self.dispatcher.attempt_finished(FinishedAttempt {
                call: self.call,
                server: target.server,
                result: AttemptResult::Superseded,
                latency: Duration::ZERO,
                report: None,
                wants_decision: false,
            });
        }
    }
}
