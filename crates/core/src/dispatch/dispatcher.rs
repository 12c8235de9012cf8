//! The state machine that chooses a server for each call.

use {
    super::{AttemptResult, Call, DispatchAction, DispatchEvent, Finish, ServerState, ServerView},
    crate::{
        collections::FastMap,
        ids::{CallId, ServerId, ServiceId},
        outcome::{NotRunReason, Outcome, UnknownReason},
        text::Text,
    },
    rand::{RngExt, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Chooses a server for each call of one instance.
#[derive(Debug)]
pub struct Dispatcher {
    rng: SmallRng,
    text: Arc<Text>,
    servers: FastMap<ServiceId, Vec<ServerView>>,
    in_flight: FastMap<ServerId, u32>,
    calls: FastMap<CallId, Call>,
}

impl Dispatcher {
    /// Makes a dispatcher without a text or servers.
    pub fn new(rng: SmallRng) -> Self {
        Self {
            rng,
            text: Arc::default(),
            servers: FastMap::default(),
            in_flight: FastMap::default(),
            calls: FastMap::default(),
        }
    }

    /// Takes one event at a time and adds what is to be done.
    pub fn handle(&mut self, now: Instant, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::Arrive(call) => self.arrive(now, call, actions),
            DispatchEvent::Finish(finish) => self.finish(&finish, actions),
            DispatchEvent::Cancel(call) => {
                self.calls.remove(&call);
            }
            DispatchEvent::Servers(service, servers) => {
                self.servers.insert(service, servers);
            }
            DispatchEvent::Configure(text) => self.text = text,
            DispatchEvent::Tick => {}
        }
    }

    fn arrive(&mut self, now: Instant, call: Call, actions: &mut Vec<DispatchAction>) {
        if !self.text.services.contains_key(&call.service) {
            return actions.push(reject(call.id, Outcome::NotRun(NotRunReason::UnknownService)));
        }
        let servers = self.servers.get(&call.service).map(Vec::as_slice).unwrap_or_default();
        let is_usable = |server: &&ServerView| server.state == ServerState::Ready && now < server.lease_end;
        let usable: Vec<_> = servers.iter().filter(is_usable).collect();
        if usable.is_empty() {
            return actions.push(reject(call.id, Outcome::NotRun(NotRunReason::NoServer)));
        }
        let first = usable[self.rng.random_range(0..usable.len())];
        let second = usable[self.rng.random_range(0..usable.len())];
        let load = |server: &ServerView| self.in_flight.get(&server.id).copied().unwrap_or_default();
        let chosen = if load(second) < load(first) { second } else { first };
        actions.push(DispatchAction::Send {
            call: call.id,
            server: chosen.id.clone(),
            address: chosen.address,
            fresh_connection: !call.idempotent,
            pass_allowance: call.retry_allowance && call.depth > 0,
        });
        *self.in_flight.entry(chosen.id.clone()).or_default() += 1;
        self.calls.insert(call.id, call);
    }

    fn finish(&mut self, finish: &Finish, actions: &mut Vec<DispatchAction>) {
        if let Some(in_flight) = self.in_flight.get_mut(&finish.server) {
            *in_flight = in_flight.saturating_sub(1);
        }
        self.calls.remove(&finish.call);
        let outcome = match finish.result {
            AttemptResult::Complete | AttemptResult::CallerLeft => return,
            AttemptResult::Shed => Outcome::NotRun(NotRunReason::Overload),
            AttemptResult::RefusedBeforeWrite => Outcome::NotRun(NotRunReason::Refused),
            AttemptResult::BadAnswer => Outcome::Unknown(UnknownReason::BadAnswer),
            AttemptResult::Timeout => Outcome::Unknown(UnknownReason::Timeout),
            AttemptResult::ServerError | AttemptResult::BrokenAfterWrite => {
                Outcome::Unknown(UnknownReason::ConnectionLost)
            }
        };
        actions.push(reject(finish.call, outcome));
    }
}

fn reject(call: CallId, outcome: Outcome) -> DispatchAction {
    DispatchAction::Reject { call, outcome, retry_after: RETRY_AFTER }
}
