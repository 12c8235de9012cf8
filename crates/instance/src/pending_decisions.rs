//! Calls for which a worker waits for a decision.

use {
    hemlockford_core::{collections::FastMap, dispatch::DispatchEvent, ids::CallId},
    hemlockford_proxy::{Decision, DispatcherMessage},
    tokio::sync::oneshot,
};

/// Maximum number of worker messages that are handled in one batch, so that calls cannot starve peer messages and
/// ticks.
pub(crate) const MAX_BATCH: usize = 64;

/// Calls for which a worker waits for a decision, with the channel for the decision.
#[derive(Debug, Default)]
pub(crate) struct PendingDecisions(FastMap<CallId, oneshot::Sender<Decision>>);

impl PendingDecisions {
    /// Stores the reply channel of a worker's message and converts the message to an event.
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
            DispatcherMessage::Crash { call, server, request, .. } => DispatchEvent::Crash { call, server, request },
            DispatcherMessage::Connection { server, is_open } => DispatchEvent::Connection { server, is_open },
            DispatcherMessage::Answered(request) => DispatchEvent::Answered(request),
            DispatcherMessage::Notice { server, address, notice } => DispatchEvent::Notice { server, address, notice },
        }
    }

    pub(crate) fn decide(&mut self, call: CallId, decision: Decision) {
        if let Some(reply) = self.0.remove(&call) {
            // If the worker has dropped the call, it reports that with a message of its own.
            let _ = reply.send(decision);
        }
    }
}
