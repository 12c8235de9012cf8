//! Calls for which a worker waits for a decision.

use {
    hemlockford_core::{collections::FastMap, dispatch::DispatchEvent, ids::CallId},
    hemlockford_proxy::{CopyTarget, Decision, DispatcherMessage},
    tokio::sync::oneshot,
};

/// Maximum number of worker messages that are handled in one batch, so that calls cannot starve peer messages and
/// ticks.
pub(crate) const MAX_BATCH: usize = 64;

/// Calls for which a worker waits for a decision, with the channel for the decision.
#[derive(Debug, Default)]
pub(crate) struct PendingDecisions {
    calls: FastMap<CallId, oneshot::Sender<Decision>>,
    /// Running calls of which the worker can run a second copy.
    offers: FastMap<CallId, oneshot::Sender<CopyTarget>>,
}

impl PendingDecisions {
    /// Stores the reply channel of a worker's message and converts the message to an event.
    pub(crate) fn register(&mut self, message: DispatcherMessage) -> DispatchEvent {
        match message {
            DispatcherMessage::Arrive(call, reply) => {
                self.calls.insert(call.id, reply);
                DispatchEvent::Arrive(call)
            }
            DispatcherMessage::AttemptFailed(finish, reply) => {
                self.offers.remove(&finish.call);
                self.calls.insert(finish.call, reply);
                DispatchEvent::AttemptFinished(finish)
            }
            DispatcherMessage::OfferCopy(call, reply) => {
                self.offers.insert(call, reply);
                DispatchEvent::AcceptsCopy(call)
            }
            DispatcherMessage::AttemptFinished(finish) => {
                self.offers.remove(&finish.call);
                DispatchEvent::AttemptFinished(finish)
            }
            DispatcherMessage::Cancel(call) => {
                self.calls.remove(&call);
                self.offers.remove(&call);
                DispatchEvent::Cancel(call)
            }
            DispatcherMessage::Crash { call, server, request, .. } => DispatchEvent::Crash { call, server, request },
            DispatcherMessage::Connection { server, is_open } => DispatchEvent::Connection { server, is_open },
            DispatcherMessage::Answered(request) => DispatchEvent::Answered(request),
            DispatcherMessage::Notice { server, address, notice } => DispatchEvent::Notice { server, address, notice },
        }
    }

    pub(crate) fn decide(&mut self, call: CallId, decision: Decision) {
        if let Some(reply) = self.calls.remove(&call) {
            // If the worker has dropped the call, it reports that with a message of its own.
            let _ = reply.send(decision);
        }
    }

    /// Asks the worker of a running call for a second copy. Returns whether the worker got that; it then reports the end
    /// of the copy.
    pub(crate) fn start_copy(&mut self, call: CallId, target: CopyTarget) -> bool {
        self.offers.remove(&call).is_some_and(|reply| reply.send(target).is_ok())
    }
}
