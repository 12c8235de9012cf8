//! One balancer whose servers answer probes with reports set by the test.

use {
    hemlockford_core::{
        collections::FastMap,
        dispatch::{
            AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent, FinishedAttempt, LoadReport, ServerState,
            ServerView,
        },
        ids::{CallId, ServerId},
        outcome::Outcome,
        probing::{Balancer, BalancerOptions},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

pub const MS: Duration = Duration::from_millis(1);
pub const SERVICE: &str = "catalogue";
const PROBE_TIME: Duration = Duration::from_millis(2);
const HOUR: Duration = Duration::from_secs(3_600);

/// Returns a load report with 2 slots.
pub fn load(in_flight: u32, pace: u32) -> LoadReport {
    LoadReport { in_flight, slots: 2, pace }
}

/// One balancer in the data centre `a`.
pub struct TestEntry {
    pub balancer: Balancer,
    pub now: Instant,
    pub views: Vec<ServerView>,
    /// Answers to probes; a server without a report does not answer.
    pub reports: FastMap<ServerId, LoadReport>,
    /// Servers probed so far.
    pub probed: Vec<ServerId>,
    last_call: CallId,
}

impl TestEntry {
    /// Creates an entry with servers of 2 slots, given by name and data centre.
    pub fn new(servers: &[(&str, &str)]) -> Self {
        Self::with_options(servers, BalancerOptions { data_centre: "a".into(), ..BalancerOptions::default() })
    }

    pub fn with_options(servers: &[(&str, &str)], options: BalancerOptions) -> Self {
        let now = Instant::now() + HOUR;
        let mut entry = Self {
            balancer: Balancer::new(options, SmallRng::seed_from_u64(3)),
            now,
            views: Vec::new(),
            reports: FastMap::default(),
            probed: Vec::new(),
            last_call: 0,
        };
        for (id, data_centre) in servers {
            entry.add_server(id, data_centre, now.checked_sub(60_000 * MS).unwrap_or(now));
            entry.reports.insert((*id).into(), load(0, 100));
        }
        entry.announce();
        entry
    }

    pub fn add_server(&mut self, id: &str, data_centre: &str, ready_since: Instant) {
        self.views.push(ServerView {
            id: id.into(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 9_000 + self.views.len() as u16).into(),
            data_centre: data_centre.into(),
            slots: 2,
            connections: 250,
            state: ServerState::Ready,
            lease_end: self.now + HOUR,
            ready_since,
            warm_at: ready_since,
        });
    }

    pub fn announce(&mut self) -> Vec<DispatchAction> {
        self.handle(DispatchEvent::Servers(SERVICE.into(), self.views.clone()))
    }

    /// Returns a look-up with an objective of 400 ms.
    pub fn call(&mut self) -> Call {
        self.last_call += 1;
        Call {
            id: self.last_call,
            service: SERVICE.into(),
            customer: "kovar".into(),
            idempotent: true,
            replayable: true,
            deadline: self.now + 1_200 * MS,
            depth: 0,
            retry_allowance: false,
            upload: false,
            fingerprint: None,
            relayed: false,
            options: CallOptions { attempts: 3, priority: 0, objective: 400 * MS },
        }
    }

    /// Returns an order, which is not idempotent.
    pub fn order(&mut self) -> Call {
        Call { idempotent: false, replayable: false, ..self.call() }
    }

    /// Returns an upload, which is not idempotent and whose body is not kept.
    pub fn upload(&mut self) -> Call {
        Call { upload: true, ..self.order() }
    }

    pub fn handle(&mut self, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Answers probes until none is left; returns the other actions.
    pub fn answer_probes(&mut self, actions: Vec<DispatchAction>) -> Vec<DispatchAction> {
        let (mut probes, mut others): (Vec<_>, Vec<_>) =
            actions.into_iter().partition(|action| matches!(action, DispatchAction::Probe { .. }));
        while !probes.is_empty() {
            self.now += PROBE_TIME;
            for action in std::mem::take(&mut probes) {
                let DispatchAction::Probe { probe, server, .. } = action else { continue };
                let report = self.reports.get(&server).copied();
                self.probed.push(server);
                let event = DispatchEvent::ProbeFinished {
                    probe,
                    latency: PROBE_TIME,
                    report,
                    warm_up: None,
                    ok: report.is_some(),
                };
                for action in self.handle(event) {
                    let is_probe = matches!(action, DispatchAction::Probe { .. });
                    if is_probe { probes.push(action) } else { others.push(action) }
                }
            }
        }
        others
    }

    /// Processes the arrival of a call and answers the probes for it.
    pub fn arrive(&mut self, call: Call) -> Vec<DispatchAction> {
        let actions = self.handle(DispatchEvent::Arrive(call));
        self.answer_probes(actions)
    }

    /// Sends a look-up; returns its identifier and its server.
    pub fn send_lookup(&mut self) -> (CallId, ServerId) {
        let call = self.call();
        self.send_call(call)
    }

    pub fn send_call(&mut self, call: Call) -> (CallId, ServerId) {
        let id = call.id;
        let actions = self.arrive(call);
        (id, sent(&actions, id).expect("the call is sent"))
    }

    /// Ends an attempt; the server reports the same load as in an answer to a probe.
    pub fn finish(&mut self, call: CallId, server: &str, result: AttemptResult) -> Vec<DispatchAction> {
        let report = self.reports.get(server).copied();
        let wants_decision = !matches!(result, AttemptResult::Complete | AttemptResult::CallerLeft);
        let finish = FinishedAttempt { call, server: server.into(), result, latency: 160 * MS, report, wants_decision };
        let actions = self.handle(DispatchEvent::AttemptFinished(finish));
        self.answer_probes(actions)
    }

    /// Sends a look-up and completes it immediately; returns its server.
    pub fn complete(&mut self) -> ServerId {
        let (call, server) = self.send_lookup();
        self.finish(call, &server, AttemptResult::Complete);
        server
    }

    /// Advances the time, with the ticks that the balancer requests.
    pub fn advance(&mut self, time: Duration) -> Vec<DispatchAction> {
        let (end, mut others) = (self.now + time, Vec::new());
        while let Some(at) = self.balancer.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let actions = self.handle(DispatchEvent::Tick);
            others.extend(self.answer_probes(actions));
        }
        self.now = self.now.max(end);
        others
    }
}

/// Returns the server to which a call is sent.
pub fn sent(actions: &[DispatchAction], id: CallId) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Send { call, server, .. } if *call == id => Some(server.clone()),
        _ => None,
    })
}

/// Returns the outcome with which a call is rejected, and its Retry-After time.
pub fn rejected(actions: &[DispatchAction], id: CallId) -> Option<(Outcome, Duration)> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Reject { call, outcome, retry_after } if *call == id => Some((*outcome, *retry_after)),
        _ => None,
    })
}
