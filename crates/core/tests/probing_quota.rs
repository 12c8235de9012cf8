//! Admission of calls of customers with a limit at an entry of a fleet.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        config::Configuration,
        dispatch::{AttemptResult, Call, DispatchAction, DispatchEvent, RelayAddress},
        ids::CallId,
        outcome::{NotRunReason, Outcome, UnknownReason},
        quota::{CreditDemand, CreditPool, CreditRequest, HolderAction, QuotaTolerance},
        slots::name_hash,
    },
    std::{sync::Arc, time::Duration},
    test_entry::{MS, SERVICE, TestEntry, rejected, sent},
};

const SIX: [(&str, &str); 6] = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a"), ("s5", "b"), ("s6", "b")];
const OVER_QUOTA: Outcome = Outcome::NotRun(NotRunReason::Quota);
/// A limit whose bucket holds more than a hundred calls when it is full.
const LIMIT: &str = "[customer kovar]\nrate = 20\nburst = 200\n";

/// An entry, and the pool of the leader that lends it credit.
struct Fleet {
    entry: TestEntry,
    pool: CreditPool,
    /// Whether the leader answers.
    is_leader_up: bool,
    requests: Vec<CreditRequest>,
}

impl Fleet {
    fn new(customers: &str) -> Self {
        let entry = TestEntry::new(&SIX);
        let pool = CreditPool::new(entry.now, 1, QuotaTolerance::default());
        let mut fleet = Self { entry, pool, is_leader_up: true, requests: Vec::new() };
        fleet.configure(1, customers);
        fleet
    }

    /// Returns a fleet whose entry has been connected for some time.
    fn connected(customers: &str, time: Duration) -> Self {
        let mut fleet = Self::new(customers);
        fleet.advance(time);
        fleet
    }

    fn configure(&mut self, number: u64, customers: &str) -> Vec<DispatchAction> {
        let text = format!("[change]\nnumber = {number}\n[service {SERVICE}]\n{customers}");
        let config = Arc::new(Configuration::parse(&text).expect("valid configuration"));
        self.pool.configure(self.entry.now, &config);
        let actions = self.entry.handle(DispatchEvent::Configure(config));
        self.exchange(actions)
    }

    /// Carries requests to the pool and answers back, 2 ms each way; returns the other actions.
    fn exchange(&mut self, actions: Vec<DispatchAction>) -> Vec<DispatchAction> {
        let (mut pending, mut others) = (actions, Vec::new());
        while !pending.is_empty() {
            let action = pending.remove(0);
            let DispatchAction::Credit(action) = action else {
                others.push(action);
                continue;
            };
            let HolderAction::Request(request) = action else { continue };
            self.requests.push(request.clone());
            if !self.is_leader_up {
                continue;
            }
            self.entry.now += 2 * MS;
            let response = self.pool.handle(self.entry.now, &"e".into(), 1, &request).expect("an answer");
            self.entry.now += 2 * MS;
            let answered = self.entry.handle(DispatchEvent::Credit { from: "r".into(), response });
            pending.extend(self.entry.answer_probes(answered));
        }
        others
    }

    fn advance(&mut self, time: Duration) -> Vec<DispatchAction> {
        let (end, mut others) = (self.entry.now + time, Vec::new());
        while self.entry.now < end {
            self.pool.advance(self.entry.now);
            let step = (end - self.entry.now).min(10 * MS);
            let actions = self.entry.advance(step);
            others.extend(self.exchange(actions));
        }
        others
    }

    /// Processes the arrival of a call, and the exchange with the leader if it waits for credit.
    fn arrive(&mut self) -> (CallId, Vec<DispatchAction>) {
        let call = self.entry.call();
        self.arrive_with(call)
    }

    fn arrive_with(&mut self, call: Call) -> (CallId, Vec<DispatchAction>) {
        let id = call.id;
        let actions = self.entry.arrive(call);
        let mut actions = self.exchange(actions);
        if sent(&actions, id).is_none() && rejected(&actions, id).is_none() {
            actions.extend(self.advance(45 * MS));
        }
        (id, actions)
    }

    /// Lets a call arrive, be sent and be completed.
    fn complete(&mut self) -> bool {
        let (id, actions) = self.arrive();
        let Some(server) = sent(&actions, id) else { return false };
        let actions = self.entry.finish(id, &server, AttemptResult::Complete);
        self.exchange(actions);
        true
    }

    /// Lets calls arrive until one is refused; returns the number of completed ones and the refused call.
    fn exhaust(&mut self) -> (usize, CallId, Vec<DispatchAction>) {
        for completed in 0..2_000 {
            let (id, actions) = self.arrive();
            let Some(server) = sent(&actions, id) else { return (completed, id, actions) };
            let actions = self.entry.finish(id, &server, AttemptResult::Complete);
            self.exchange(actions);
        }
        panic!("no call is refused");
    }
}

/// Guards against messages, state or refusals where no customer has a limit.
#[test]
fn nothing_is_exchanged_without_a_limit() {
    for customers in ["", "[customer kovar]\nweight = 3\n", "[customer kovar]\nrate = 0\nburst = 5\n"] {
        let mut fleet = Fleet::new(customers);
        assert!((0..50).all(|_| fleet.complete()), "{customers}");
        fleet.advance(3_000 * MS);
        assert_eq!(fleet.requests, []);
        assert!(fleet.pool.is_empty());
        assert_eq!(fleet.entry.balancer.next_wake(), None);
    }
}

/// Guards against calls that are admitted without credit, and against a wait for credit when there is some.
#[test]
fn calls_wait_for_credit_and_are_admitted_with_it() {
    let mut fleet = Fleet::connected(LIMIT, 5_000 * MS);
    let call = fleet.entry.call();
    let (id, customer) = (call.id, name_hash("kovar"));
    let mut actions = fleet.entry.arrive(call);
    actions.extend(fleet.entry.advance(10 * MS));
    assert!(sent(&actions, id).is_none() && rejected(&actions, id).is_none(), "the first call waits");
    let request = actions.iter().find_map(|action| match action {
        DispatchAction::Credit(HolderAction::Request(request)) => Some(request.clone()),
        _ => None,
    });
    let demand = request.expect("it is asked for at once").customers;
    assert!(matches!(demand[..], [CreditDemand { waiting: 1, customer: asked, .. }] if asked == customer));
    let actions = fleet.exchange(actions);
    assert!(sent(&actions, id).is_some());
    // Some credit for the next calls was lent as well.
    let call = fleet.entry.call();
    let id = call.id;
    let actions = fleet.entry.arrive(call);
    assert!(sent(&actions, id).is_some(), "{actions:?}");
}

/// Guards against a limit that is not kept, and against refusals without a time to come back, or with the same for all.
#[test]
fn calls_beyond_the_limit_are_refused_with_spread_times() {
    let mut fleet = Fleet::connected("[customer kovar]\nrate = 20\nburst = 10\n", 3_000 * MS);
    let started = fleet.entry.now;
    let mut completed = 0;
    let mut times = Vec::new();
    while fleet.entry.now < started + 5_000 * MS {
        // Calls go on arriving while others wait.
        let call = fleet.entry.call();
        let arrived = fleet.entry.arrive(call);
        let mut actions = fleet.exchange(arrived);
        actions.extend(fleet.advance(3 * MS));
        for action in actions {
            match action {
                DispatchAction::Reject { outcome, retry_after, .. } => {
                    assert_eq!((outcome, outcome.status()), (OVER_QUOTA, 429));
                    times.push(retry_after);
                }
                DispatchAction::Send { call, server, .. } => {
                    let actions = fleet.entry.finish(call, &server, AttemptResult::Complete);
                    fleet.exchange(actions);
                    completed += 1;
                }
                _ => {}
            }
        }
    }
    assert!((95..=141).contains(&completed), "{completed}"); // at least 0.95 x 20 x 5; (20 x 5 + 10) x 1.1 + 20
    assert!(times.len() > 100, "{}", times.len());
    assert!(times.iter().all(|time| (20 * MS..=3_000 * MS).contains(time)), "{times:?}");
    let distinct: std::collections::BTreeSet<_> = times.iter().collect();
    assert!(distinct.len() > times.len() / 2, "{}", distinct.len());
    // At 20 calls per second, the first that is refused may come back for the next credit.
    assert!(times[0] < 500 * MS, "{:?}", times[0]);
}

/// Guards against a call that waits for credit for longer than 40 ms or an eighth of its objective.
#[test]
fn calls_without_an_answer_are_refused_in_time() {
    for (objective, wait) in [(400 * MS, 40 * MS), (160 * MS, 20 * MS)] {
        let mut fleet = Fleet::connected(LIMIT, 500 * MS);
        fleet.is_leader_up = false;
        let mut call = fleet.entry.call();
        call.options.objective = objective;
        let id = call.id;
        let actions = fleet.entry.arrive(call);
        assert!(rejected(&actions, id).is_none());
        let actions = fleet.advance(wait - MS);
        assert!(rejected(&actions, id).is_none());
        let actions = fleet.advance(2 * MS);
        assert_eq!(rejected(&actions, id).map(|(outcome, _)| outcome), Some(OVER_QUOTA));
        assert_eq!(fleet.entry.balancer.active(), 0);
    }
}

/// Guards against credit that is lost with calls that are refused for another cause, which would deny the customer its
/// rate.
#[test]
fn calls_that_did_not_run_give_their_credit_back() {
    let full = |fleet: &mut Fleet| {
        fleet.advance(12_000 * MS);
        fleet.exhaust().0
    };
    let expected = full(&mut Fleet::new(LIMIT));
    assert!(expected > 100, "{expected}");
    // Calls that are refused by each server, and calls whose caller leaves before they are sent.
    let mut fleet = Fleet::new(LIMIT);
    fleet.advance(12_000 * MS);
    for _ in 0..100 {
        let (id, mut actions) = fleet.arrive();
        while let Some(server) = sent(&actions, id) {
            let after = fleet.entry.finish(id, &server, AttemptResult::Shed);
            actions = fleet.exchange(after);
        }
        assert!(rejected(&actions, id).is_some());
        // The servers may be probed again.
        fleet.advance(100 * MS);
        let call = fleet.entry.call();
        let id = call.id;
        let actions = fleet.entry.handle(DispatchEvent::Arrive(call));
        assert_eq!(sent(&actions, id), None);
        let more = fleet.entry.handle(DispatchEvent::Cancel(id));
        fleet.exchange([actions, more].concat());
        fleet.advance(10 * MS);
    }
    let completed = fleet.exhaust().0;
    assert!(completed as f64 > 0.9 * expected as f64, "{completed} instead of {expected}");
}

/// Guards against a second attempt that may run in addition to the first, but is not charged.
#[test]
fn each_attempt_that_may_run_is_charged() {
    let mut fleet = Fleet::connected(LIMIT, 12_000 * MS);
    let started = fleet.entry.now;
    let (mut attempts, mut is_refused) = (0_u32, false);
    while !is_refused {
        let (id, mut actions) = fleet.arrive();
        while let Some(server) = sent(&actions, id) {
            attempts += 1;
            let after = fleet.entry.finish(id, &server, AttemptResult::ServerError);
            actions = fleet.exchange(after);
        }
        let outcome = rejected(&actions, id).map(|(outcome, _)| outcome);
        is_refused = outcome == Some(OVER_QUOTA);
        assert!(is_refused || outcome == Some(Outcome::Unknown(UnknownReason::ConnectionLost)), "{outcome:?}");
    }
    // No more than the rate and what the bound permits beyond it: (20 x 5 + 200) x 1.1 + 20 - 20 x 5.
    let most = 20.0 * (fleet.entry.now - started).as_secs_f64() + 250.0;
    assert!(f64::from(attempts) < most, "{attempts}");
    assert_eq!(fleet.entry.balancer.credit_statistics().admitted, u64::from(attempts));
}

/// Guards against a call that is charged at two entries because one passes it on to the other.
#[test]
fn calls_that_are_passed_on_are_not_charged() {
    let mut fleet = Fleet::connected(LIMIT, 5_000 * MS);
    let relay = RelayAddress { entry: "other".into(), address: ([127, 0, 0, 1], 20_000).into() };
    fleet.entry.handle(DispatchEvent::Relays(vec![relay]));
    assert!(fleet.complete());
    let admitted = fleet.entry.balancer.credit_statistics().admitted;
    for (server, _) in SIX {
        let actions = fleet.entry.handle(DispatchEvent::Connection { server: server.into(), is_open: false });
        for action in actions {
            if let DispatchAction::CheckPath { server, .. } = action {
                fleet.entry.handle(DispatchEvent::PathChecked { server, is_open: false });
            }
        }
    }
    let (id, actions) = fleet.arrive();
    assert!(actions.iter().any(|action| matches!(action, DispatchAction::Relay { call, .. } if *call == id)));
    assert_eq!(fleet.entry.balancer.credit_statistics().admitted, admitted);
}

/// Guards against calls that wait forever, or are refused, because their customer's limit was removed meanwhile.
#[test]
fn waiting_calls_are_admitted_once_there_is_no_limit() {
    let mut fleet = Fleet::connected(LIMIT, 500 * MS);
    fleet.is_leader_up = false;
    let call = fleet.entry.call();
    let id = call.id;
    let actions = fleet.entry.arrive(call);
    assert!(sent(&actions, id).is_none());
    let actions = fleet.configure(2, "");
    let actions = fleet.entry.answer_probes(actions);
    assert!(sent(&actions, id).is_some(), "{actions:?}");
    let requests = fleet.requests.len();
    fleet.advance(1_000 * MS);
    assert_eq!(fleet.requests.len(), requests);
}

/// Guards against the use of credit that expired while the machine was suspended, during which the clock of the balancer
/// stands still.
#[test]
fn credit_expires_during_a_suspension() {
    let mut fleet = Fleet::connected(LIMIT, 5_000 * MS);
    for _ in 0..5 {
        fleet.complete();
    }
    fleet.is_leader_up = false;
    fleet.entry.balancer.set_suspended(60_000 * MS);
    let call = fleet.entry.call();
    let id = call.id;
    let actions = fleet.entry.arrive(call);
    assert_eq!(sent(&actions, id), None);
    assert_eq!(rejected(&actions, id).map(|(outcome, _)| outcome), Some(OVER_QUOTA));
}
