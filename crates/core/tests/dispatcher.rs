//! Decisions about single calls.

use {
    hemlockford_core::{
        config::{BalancingPolicy, Configuration},
        dispatch::{
            AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent, DispatchOptions, Dispatcher,
            FinishedAttempt, LoadReport, NOMINAL_PACE, ServerState, ServerView,
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

struct Bench {
    dispatcher: Dispatcher,
    now: Instant,
}

impl Bench {
    /// Makes a dispatcher that sees every call, with servers of 2 slots.
    fn new(policy: BalancingPolicy, servers: usize, limit: usize) -> Self {
        let options = DispatchOptions { id: "entry".into(), waiting_limit: limit, ..DispatchOptions::default() };
        let mut bench = Self { dispatcher: Dispatcher::new(options, SmallRng::seed_from_u64(5)), now: Instant::now() };
        let text = format!(
            "[change]\nnumber = 1\n[service catalogue]\npolicy = {policy}\ndepends = stock\n\
             [service stock]\npolicy = {policy}\ndeadline = 1s\n[service bare]\n"
        );
        let text = Configuration::parse(&text).expect("a valid configuration");
        bench.handle(DispatchEvent::Configure(Arc::new(text)));
        for service in ["catalogue", "stock"] {
            let views = (0..servers).map(|number| bench.view(service, number)).collect();
            bench.handle(DispatchEvent::Servers(service.into(), views));
        }
        for _ in 0..400 {
            bench.tick(MS);
        }
        bench
    }

    fn view(&self, service: &str, number: usize) -> ServerView {
        ServerView {
            id: format!("{service}-{number}").into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            data_centre: "".into(),
            slots: 2,
            connections: 250,
            state: ServerState::Ready,
            lease_end: self.now + Duration::from_secs(3_600),
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
fn only_harmless_attempts_are_repeated() {
    let unknown = Outcome::Unknown(UnknownReason::ConnectionLost);
    let late = Outcome::Unknown(UnknownReason::Timeout);
    let refused = Outcome::NotRun(NotRunReason::Refused);
    let shed = Outcome::NotRun(NotRunReason::Overload);
    // (result, idempotent, replayable, upload, allowance, expected outcome or none for another attempt)
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
            let mut bench = Bench::new(policy, 3, 100);
            let mut call = Call { idempotent, replayable, upload, retry_allowance, ..bench.call(1) };
            (call.service, call.depth) = ("stock".into(), 1);
            let first = bench.arrive(call).expect("a server");
            let actions = bench.fail(1, &first, result);
            assert_eq!(outcome(&actions), expected, "{case}");
            if expected.is_none() {
                let second = server(&actions).expect("a second server");
                assert_ne!(first, second, "{case}");
                // The token is spent, and the first attempt may have run unless the server said otherwise.
                let last = outcome(&bench.fail(1, &second, AttemptResult::RefusedBeforeWrite));
                let is_certain = matches!(
                    result,
                    AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected | AttemptResult::Shed
                );
                assert_eq!(last, Some(if is_certain { refused } else { unknown }), "{case}");
            }
            assert_eq!(bench.dispatcher.active(), 0, "{case}");
        }
    }
}

/// Guards against an answer that is decided on although the caller has it already.
#[test]
fn an_end_without_a_question_gets_no_decision() {
    let mut bench = Bench::new(BalancingPolicy::Permits, 2, 100);
    let first = bench.arrive(bench.call(1)).expect("a server");
    assert_eq!(bench.end(1, &first, AttemptResult::BrokenAfterWrite, false), []);
    assert_eq!(bench.end(1, &first, AttemptResult::BrokenAfterWrite, true), [], "the same end again");
    assert_eq!(bench.dispatcher.active(), 0);
}

/// Guards against slots that stay taken by callers that left, waiting or running.
#[test]
fn cancel_frees_everything() {
    let mut bench = Bench::new(BalancingPolicy::Permits, 1, 100);
    assert!(bench.arrive(bench.call(1)).is_some() && bench.arrive(bench.call(2)).is_some());
    for id in 3..6 {
        assert_eq!(bench.arrive(bench.call(id)), None, "both slots are taken");
    }
    assert_eq!(bench.handle(DispatchEvent::Cancel(3)), []);
    let actions = bench.handle(DispatchEvent::Cancel(1));
    assert!(matches!(&actions[..], [DispatchAction::Send { call: 4, .. }]), "{actions:?}");
    assert_eq!(bench.end(1, "catalogue-0", AttemptResult::CallerLeft, false), [], "its end counts once");
    assert_eq!((bench.dispatcher.waiting(), bench.dispatcher.active()), (1, 3));
}

/// Guards against calls that wait beyond their deadline, and against callers that get no time to come back.
#[test]
fn waiting_calls_leave_before_their_deadline() {
    let mut bench = Bench::new(BalancingPolicy::Permits, 1, 100);
    for id in 1..4 {
        bench.arrive(bench.call(id));
    }
    let mut waited = Duration::ZERO;
    loop {
        waited += MS;
        let actions = bench.tick(MS);
        if let Some(DispatchAction::Reject { call, outcome, retry_after }) = actions.first() {
            assert_eq!((*call, *outcome), (3, Outcome::NotRun(NotRunReason::Deadline)));
            assert!(*retry_after > Duration::ZERO);
            break;
        }
        assert!(waited < Duration::from_secs(1), "the call is still waiting");
    }
    assert_eq!(bench.dispatcher.active(), 2);
}

/// Guards against losing the services that others need before those that need them.
#[test]
fn dependencies_are_shed_last() {
    let mut bench = Bench::new(BalancingPolicy::Permits, 1, 10);
    for id in 0..7 {
        bench.arrive(bench.call(id));
    }
    assert_eq!(bench.dispatcher.waiting(), 5);
    let overload = Some(Outcome::NotRun(NotRunReason::Overload));
    assert_eq!(outcome(&bench.handle(DispatchEvent::Arrive(bench.call(10)))), overload);
    for id in 11..18 {
        let call = Call { service: "stock".into(), ..bench.call(id) };
        assert_eq!(outcome(&bench.handle(DispatchEvent::Arrive(call))), None, "call {id}");
    }
    let call = Call { service: "stock".into(), ..bench.call(20) };
    assert_eq!(outcome(&bench.handle(DispatchEvent::Arrive(call))), overload);
}

/// Guards against calls to servers that left or whose lease has ended, and calls left waiting for them.
#[test]
fn no_server_means_no_wait() {
    for policy in BalancingPolicy::ALL {
        let mut bench = Bench::new(policy, 2, 100);
        let call = Call { service: "bare".into(), ..bench.call(1) };
        let no_server = Some(Outcome::NotRun(NotRunReason::NoServer));
        assert_eq!(outcome(&bench.handle(DispatchEvent::Arrive(call))), no_server);
        let call = Call { service: "other".into(), ..bench.call(2) };
        let unknown = Some(Outcome::NotRun(NotRunReason::UnknownService));
        assert_eq!(outcome(&bench.handle(DispatchEvent::Arrive(call))), unknown);
        let mut views: Vec<_> = (0..2).map(|number| bench.view("catalogue", number)).collect();
        views[0].state = ServerState::Draining;
        views[1].lease_end = bench.now;
        bench.handle(DispatchEvent::Servers("catalogue".into(), views));
        let sent = bench.arrive(bench.call(3));
        assert_eq!(sent, None, "{policy}");
    }
}

/// Guards against non-idempotent requests on a connection that the server may be closing.
#[test]
fn non_idempotent_calls_need_a_fresh_connection() {
    for idempotent in [true, false] {
        let mut bench = Bench::new(BalancingPolicy::Permits, 1, 100);
        let call = Call { idempotent, ..bench.call(1) };
        let actions = bench.handle(DispatchEvent::Arrive(call));
        let is_fresh = |action: &DispatchAction| match action {
            DispatchAction::Send { fresh_connection, .. } => Some(*fresh_connection),
            _ => None,
        };
        assert_eq!(actions.iter().find_map(is_fresh), Some(!idempotent));
    }
}

/// Guards against reports that servers send unasked: they would bypass the measuring budget.
#[test]
fn only_reports_that_were_asked_for_count() {
    let full = Some(LoadReport { in_flight: 1_000, slots: 2, pace: NOMINAL_PACE });
    let chosen = |wait: u32, report: Option<LoadReport>| -> Vec<ServerId> {
        let mut bench = Bench::new(BalancingPolicy::Permits, 2, 100);
        for _ in 0..wait {
            bench.tick(MS);
        }
        let finish = |bench: &mut Bench, call, server: ServerId| {
            let report = report.filter(|_| &*server == "catalogue-0");
            let (result, latency) = (AttemptResult::Complete, 5 * MS);
            let finish = FinishedAttempt { call, server, result, latency, report, wants_decision: false };
            bench.handle(DispatchEvent::AttemptFinished(finish));
        };
        // Takes every slot, so that each later choice is between both servers.
        let held: Vec<_> = (100..104).map(|id| bench.arrive(bench.call(id)).expect("a server")).collect();
        for (id, server) in (100..).zip(held) {
            finish(&mut bench, id, server);
        }
        let mut chosen = Vec::new();
        for id in 0..20 {
            let server = bench.arrive(bench.call(id)).expect("a server");
            finish(&mut bench, id, server.clone());
            chosen.push(server);
        }
        chosen
    };
    assert_eq!(chosen(0, full), chosen(0, None), "nothing is asked for shortly after the start");
    assert_ne!(chosen(2_000, full), chosen(2_000, None), "a report has no effect, so that nothing is shown");
}
