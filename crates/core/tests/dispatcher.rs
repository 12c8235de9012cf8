//! Decisions of a dispatcher about single calls.

use {
    hemlockford_core::{
        config::{BalancingPolicy, Configuration},
        dispatch::{
            AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent, DispatchOptions, Dispatcher,
            FinishedAttempt, LoadReport, NOMINAL_PACE, ServerNotice, ServerState, ServerView,
        },
        ids::{CallId, ServerId},
        outcome::{NotRunReason, Outcome, UnknownReason},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MS: Duration = Duration::from_millis(1);

struct TestDispatcher {
    dispatcher: Dispatcher,
    now: Instant,
}

impl TestDispatcher {
    /// Creates a dispatcher of the only entry, with servers of 2 slots.
    fn new(policy: BalancingPolicy, servers: usize, limit: usize) -> Self {
        let options = DispatchOptions { id: "entry".into(), waiting_limit: limit, ..DispatchOptions::default() };
        let mut test = Self { dispatcher: Dispatcher::new(options, SmallRng::seed_from_u64(5)), now: Instant::now() };
        let text = format!(
            "[change]\nnumber = 1\n[service catalogue]\npolicy = {policy}\ndepends = stock\n\
             [service stock]\npolicy = {policy}\ndeadline = 1s\n[service bare]\n"
        );
        let config = Configuration::parse(&text).expect("a valid configuration");
        test.handle(DispatchEvent::Configure(Arc::new(config)));
        for service in ["catalogue", "stock"] {
            let views = (0..servers).map(|number| test.view(service, number)).collect();
            test.handle(DispatchEvent::Servers(service.into(), views));
        }
        for _ in 0..400 {
            test.tick(MS);
        }
        test
    }

    fn view(&self, service: &str, number: usize) -> ServerView {
        ServerView {
            id: format!("{service}-{number}").into(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 9_000).into(),
            data_centre: "".into(),
            slots: 2,
            connections: 250,
            state: ServerState::Ready,
            lease_end: self.now + Duration::from_secs(3_600),
            warm_at: self.now,
            ready_since: self.now.checked_sub(Duration::from_secs(60)).unwrap_or(self.now),
        }
    }

    fn handle(&mut self, event: DispatchEvent) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    fn tick(&mut self, time: Duration) -> Vec<DispatchAction> {
        self.now += time;
        self.handle(DispatchEvent::Tick)
    }

    fn notify(&mut self, number: usize, notice: ServerNotice) -> Vec<DispatchAction> {
        let view = self.view("catalogue", number);
        self.handle(DispatchEvent::Notice { server: view.id, address: view.address, notice })
    }

    fn call(&self, id: CallId) -> Call {
        Call {
            id,
            service: "catalogue".into(),
            customer: "kovar".into(),
            idempotent: true,
            replayable: true,
            deadline: self.now + Duration::from_secs(1),
            depth: 0,
            retry_allowance: true,
            upload: false,
            fingerprint: None,
            relayed: false,
            options: CallOptions::default(),
        }
    }

    fn arrive(&mut self, call: Call) -> Option<ServerId> {
        server(&self.handle(DispatchEvent::Arrive(call)))
    }

    fn fail(&mut self, call: CallId, server: &ServerId, result: AttemptResult) -> Vec<DispatchAction> {
        self.end(call, server, result, true)
    }

    fn end(&mut self, call: CallId, server: &str, result: AttemptResult, wants_decision: bool) -> Vec<DispatchAction> {
        let server = server.into();
        self.handle(DispatchEvent::AttemptFinished(FinishedAttempt {
            call,
            server,
            result,
            latency: 5 * MS,
            report: None,
            wants_decision,
        }))
    }
}

fn server(actions: &[DispatchAction]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

fn outcome(actions: &[DispatchAction]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Reject { outcome, .. } => Some(*outcome),
        _ => None,
    })
}

/// Guards against a second run of a request that may have run, and against a wrong "not run".
#[test]
fn only_safe_attempts_are_retried() {
    let unknown = Outcome::Unknown(UnknownReason::ConnectionLost);
    let late = Outcome::Unknown(UnknownReason::Timeout);
    let refused = Outcome::NotRun(NotRunReason::Refused);
    let shed = Outcome::NotRun(NotRunReason::Overload);
    // (result, idempotent, replayable, upload, retry allowance, expected outcome or `None` for another
    // attempt)
    let cases = [
        (AttemptResult::BrokenAfterWrite, true, true, false, true, None),
        (AttemptResult::BrokenAfterWrite, true, true, false, false, Some(unknown)),
        (AttemptResult::BrokenAfterWrite, false, true, false, true, Some(unknown)),
        (AttemptResult::BrokenAfterWrite, true, false, true, true, Some(unknown)),
        (AttemptResult::Timeout, false, false, false, true, Some(late)),
        (AttemptResult::ServerError, true, true, false, true, None),
        (AttemptResult::ServerError, false, true, false, true, Some(unknown)),
        (AttemptResult::RefusedBeforeWrite, false, false, true, true, None),
        (AttemptResult::RefusedBeforeWrite, false, false, true, false, Some(refused)),
        (AttemptResult::Misdirected, false, false, false, true, None),
        (AttemptResult::Misdirected, false, false, false, false, Some(refused)),
        (AttemptResult::Shed, false, false, false, true, None),
        (AttemptResult::Shed, false, false, true, true, Some(shed)),
    ];
    for policy in BalancingPolicy::ALL {
        for (result, idempotent, replayable, upload, retry_allowance, expected) in cases {
            let case = format!("{policy}, {result}, idempotent {idempotent}, allowance {retry_allowance}");
            let mut test = TestDispatcher::new(policy, 3, 100);
            let mut call = Call { idempotent, replayable, upload, retry_allowance, ..test.call(1) };
            (call.service, call.depth) = ("stock".into(), 1);
            let first = test.arrive(call).expect("a server");
            let actions = test.fail(1, &first, result);
            assert_eq!(outcome(&actions), expected, "{case}");
            if expected.is_none() {
                let second = server(&actions).expect("a second server");
                assert_ne!(first, second, "{case}");
                // The token is used up, and the first attempt may have run unless the server rejected it.
                let last = outcome(&test.fail(1, &second, AttemptResult::RefusedBeforeWrite));
                let is_certain = matches!(
                    result,
                    AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected | AttemptResult::Shed
                );
                assert_eq!(last, Some(if is_certain { refused } else { unknown }), "{case}");
            }
            assert_eq!(test.dispatcher.active(), 0, "{case}");
        }
    }
}

/// Guards against a decision about a call whose caller has its answer already.
#[test]
fn a_call_with_an_answer_gets_no_decision() {
    let mut test = TestDispatcher::new(BalancingPolicy::Permits, 2, 100);
    let first = test.arrive(test.call(1)).expect("a server");
    assert_eq!(test.end(1, &first, AttemptResult::BrokenAfterWrite, false), []);
    assert_eq!(test.end(1, &first, AttemptResult::BrokenAfterWrite, true), [], "the attempt has ended before");
    assert_eq!(test.dispatcher.active(), 0);
}

/// Guards against slots that stay in use after callers of waiting or running calls have disconnected.
#[test]
fn cancelled_calls_free_their_slots() {
    let mut test = TestDispatcher::new(BalancingPolicy::Permits, 1, 100);
    assert!(test.arrive(test.call(1)).is_some() && test.arrive(test.call(2)).is_some());
    for id in 3..6 {
        assert_eq!(test.arrive(test.call(id)), None, "both slots are taken");
    }
    assert_eq!(test.handle(DispatchEvent::Cancel(3)), []);
    let actions = test.handle(DispatchEvent::Cancel(1));
    assert!(matches!(&actions[..], [DispatchAction::Send { call: 4, .. }]), "{actions:?}");
    assert_eq!(test.end(1, "catalogue-0", AttemptResult::CallerLeft, false), [], "its end counts once");
    assert_eq!((test.dispatcher.waiting(), test.dispatcher.active()), (1, 3));
}

/// Guards against calls that wait beyond their deadline, and against rejections without a Retry-After time.
#[test]
fn waiting_calls_are_rejected_before_their_deadline() {
    let mut test = TestDispatcher::new(BalancingPolicy::Permits, 1, 100);
    for id in 1..4 {
        test.arrive(test.call(id));
    }
    let mut waited = Duration::ZERO;
    loop {
        waited += MS;
        let actions = test.tick(MS);
        if let Some(DispatchAction::Reject { call, outcome, retry_after }) = actions.first() {
            assert_eq!((*call, *outcome), (3, Outcome::NotRun(NotRunReason::Deadline)));
            assert!(*retry_after > Duration::ZERO);
            break;
        }
        assert!(waited < Duration::from_secs(1), "the call is still waiting");
    }
    assert_eq!(test.dispatcher.active(), 2);
}

/// Guards against rejecting calls to the services on which others depend before calls to the others.
#[test]
fn dependencies_are_shed_last() {
    let mut test = TestDispatcher::new(BalancingPolicy::Permits, 1, 10);
    for id in 0..7 {
        test.arrive(test.call(id));
    }
    assert_eq!(test.dispatcher.waiting(), 5);
    let overload = Some(Outcome::NotRun(NotRunReason::Overload));
    assert_eq!(outcome(&test.handle(DispatchEvent::Arrive(test.call(10)))), overload);
    for id in 11..18 {
        let call = Call { service: "stock".into(), ..test.call(id) };
        assert_eq!(outcome(&test.handle(DispatchEvent::Arrive(call))), None, "call {id}");
    }
    let call = Call { service: "stock".into(), ..test.call(20) };
    assert_eq!(outcome(&test.handle(DispatchEvent::Arrive(call))), overload);
}

/// Guards against calls to servers that are draining or whose lease has ended, and against calls that wait
/// for them.
#[test]
fn calls_without_a_server_are_rejected() {
    for policy in BalancingPolicy::ALL {
        let mut test = TestDispatcher::new(policy, 2, 100);
        let call = Call { service: "bare".into(), ..test.call(1) };
        let no_server = Some(Outcome::NotRun(NotRunReason::NoServer));
        assert_eq!(outcome(&test.handle(DispatchEvent::Arrive(call))), no_server);
        let call = Call { service: "other".into(), ..test.call(2) };
        let unknown = Some(Outcome::NotRun(NotRunReason::UnknownService));
        assert_eq!(outcome(&test.handle(DispatchEvent::Arrive(call))), unknown);
        let mut views: Vec<_> = (0..2).map(|number| test.view("catalogue", number)).collect();
        views[0].state = ServerState::Draining;
        views[1].lease_end = test.now;
        test.handle(DispatchEvent::Servers("catalogue".into(), views));
        let sent = test.arrive(test.call(3));
        assert_eq!(sent, None, "{policy}");
    }
}

/// Guards against sending non-idempotent requests on a connection that the server may be closing.
#[test]
fn non_idempotent_calls_need_a_fresh_connection() {
    for idempotent in [true, false] {
        let mut test = TestDispatcher::new(BalancingPolicy::Permits, 1, 100);
        let call = Call { idempotent, ..test.call(1) };
        let actions = test.handle(DispatchEvent::Arrive(call));
        let is_fresh = |action: &DispatchAction| match action {
            DispatchAction::Send { fresh_connection, .. } => Some(*fresh_connection),
            _ => None,
        };
        assert_eq!(actions.iter().find_map(is_fresh), Some(!idempotent));
    }
}

/// Guards against the use of unrequested reports, which are not covered by the measuring budget.
#[test]
fn only_requested_reports_are_used() {
    let full = Some(LoadReport { in_flight: 1_000, slots: 2, pace: NOMINAL_PACE });
    let chosen = |ticks: u32, report: Option<LoadReport>| -> Vec<ServerId> {
        let mut test = TestDispatcher::new(BalancingPolicy::Permits, 2, 100);
        for _ in 0..ticks {
            test.tick(MS);
        }
        let finish = |test: &mut TestDispatcher, call, server: ServerId| {
            let report = report.filter(|_| &*server == "catalogue-0");
            let (result, latency) = (AttemptResult::Complete, 5 * MS);
            let finish = FinishedAttempt { call, server, result, latency, report, wants_decision: false };
            test.handle(DispatchEvent::AttemptFinished(finish));
        };
        // Takes every slot, so that each later choice is between both servers.
        let servers: Vec<_> = (100..104).map(|id| test.arrive(test.call(id)).expect("a server")).collect();
        for (id, server) in (100..).zip(servers) {
            finish(&mut test, id, server);
        }
        let mut chosen = Vec::new();
        for id in 0..20 {
            let server = test.arrive(test.call(id)).expect("a server");
            finish(&mut test, id, server.clone());
            chosen.push(server);
        }
        chosen
    };
    assert_eq!(chosen(0, full), chosen(0, None), "no report is requested during the startup delay");
    assert_ne!(
        chosen(2_000, full),
        chosen(2_000, None),
        "a requested report has no effect, so the test proves nothing"
    );
}

/// Guards against calls to a server that said that it is leaving or asked for a pause, and against calls that are held
/// although no other server is left.
#[test]
fn a_server_that_asks_for_no_calls_gets_none() {
    let policies = [BalancingPolicy::Permits, BalancingPolicy::Random, BalancingPolicy::LeastInFlight];
    for policy in policies {
        for notice in [ServerNotice::Leaving, ServerNotice::Pause(Duration::from_secs(2))] {
            let mut test = TestDispatcher::new(policy, 2, 100);
            test.notify(0, notice);
            for id in 1..9 {
                let server = test.arrive(test.call(id)).expect("the other server takes calls");
                assert_eq!(&*server, "catalogue-1", "{policy} {notice:?}");
                test.end(id, &server, AttemptResult::Complete, false);
            }
            test.notify(1, notice);
            let actions = test.handle(DispatchEvent::Arrive(test.call(9)));
            assert_eq!(outcome(&actions), Some(Outcome::NotRun(NotRunReason::NoServer)), "{policy} {notice:?}");
            test.tick(Duration::from_secs(2));
            for _ in 0..400 {
                test.tick(MS);
            }
            let is_back = test.arrive(test.call(10)).is_some();
            assert_eq!(is_back, notice != ServerNotice::Leaving, "{policy} {notice:?}");
        }
    }
}
