//! The task that owns the dispatcher.

use {
    hemlockford_core::{
        collections::FastMap,
        dispatch::{DispatchAction, DispatchEvent, Dispatcher, Finish},
        ids::CallId,
    },
    hemlockford_proxy::{Decision, GateMessage},
    std::time::{Duration, Instant},
    tokio::sync::{mpsc, oneshot},
};

/// Time between two ticks of the dispatcher.
const TICK: Duration = Duration::from_millis(1);

/// Carries events into the dispatcher and its actions out.
pub(crate) struct DispatcherTask {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) gate: mpsc::UnboundedReceiver<GateMessage>,
    pub(crate) control: mpsc::UnboundedReceiver<DispatchEvent>,
    pub(crate) waiting: FastMap<CallId, oneshot::Sender<Decision>>,
}

impl DispatcherTask {
    pub(crate) async fn run(mut self) {
        let mut tick = actix_rt::time::interval(TICK);
        let mut actions = Vec::new();
        loop {
            let event = tokio::select! {
                message = self.gate.recv() => match message {
                    Some(message) => self.receive(message),
                    None => return,
                },
                event = self.control.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                _ = tick.tick() => DispatchEvent::Tick,
            };
            self.dispatcher.handle(Instant::now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn receive(&mut self, message: GateMessage) -> DispatchEvent {
        match message {
            GateMessage::Arrive(call, reply) => {
                self.waiting.insert(call.id, reply);
                DispatchEvent::Arrive(call)
            }
            GateMessage::Failed(finish, reply) => {
                self.waiting.insert(finish.call, reply);
                DispatchEvent::Finish(Finish { wants_decision: true, ..finish })
            }
            GateMessage::Done(finish) => DispatchEvent::Finish(finish),
            GateMessage::Cancel(call) => {
                self.waiting.remove(&call);
                DispatchEvent::Cancel(call)
            }
        }
    }

    fn carry_out(&mut self, action: DispatchAction) {
        let (call, decision) = match action {
            DispatchAction::Send { call, server, address, fresh_connection, pass_allowance } => {
                (call, Decision::Send { server, address, fresh_connection, pass_allowance })
            }
            DispatchAction::Reject { call, outcome, retry_after } => (call, Decision::Reject { outcome, retry_after }),
            DispatchAction::Tell { .. } | DispatchAction::Probe { .. } => return,
        };
        if let Some(reply) = self.waiting.remove(&call) {
            // The worker may have dropped the call; it reports that by itself.
            let _ = reply.send(decision);
        }
    }
}
