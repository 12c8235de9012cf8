//! Calls whose workers wait for a decision.

use {
    hemlockford_core::{collections::FastMap, dispatch::DispatchEvent, ids::CallId},
    hemlockford_proxy::{Decision, DispatcherMessage},
    tokio::sync::oneshot,
};

/// Messages of workers that are taken in one turn, so that calls cannot keep peers or ticks waiting.
pub(crate) const MAX_BATCH: usize = 64;

/// Calls whose workers wait for a decision.
#[derive(Debug, Default)]
pub(crate) struct PendingDecisions(FastMap<CallId, oneshot::Sender<Decision>>);

impl PendingDecisions {
    /// Notes who waits, and returns what a worker's message means.
    pub(crate) fn register(&mut self, message: DispatcherMessage) -> DispatchEvent {
        match message {
            DispatcherMessage::Arrive(call, reply) => {
                self.0.insert(call.id, reply);
                DispatchEvent::Arrive(call)
            }
            DispatcherMessage::AttemptFailed(finish, reply) => {
                self.0.insert(finish.call, reply);
                DispatchEvent::AttemptFinished(finish)
            }
            DispatcherMessage::AttemptFinished(finish) => DispatchEvent::AttemptFinished(finish),
            DispatcherMessage::Cancel(call) => {
                self.0.remove(&call);
                DispatchEvent::Cancel(call)
            }
        }
    }

    pub(crate) fn decide(&mut self, call: CallId, decision: Decision) {
        if let Some(reply) = self.0.remove(&call) {
            // The worker may have dropped the call; it reports that by itself.
            let _ = reply.send(decision);
        }
    }
}
