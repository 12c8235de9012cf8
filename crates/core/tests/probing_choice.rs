//! The server that an entry of a fleet chooses for a call.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, Call, DispatchAction, DispatchEvent},
        outcome::{NotRunReason, Outcome},
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, load, rejected, sent},
};

const THREE: [(&str, &str); 3] = [("s1", "a"), ("s2", "a"), ("s3", "a")];

/// Guards against a choice by load alone: an idle slow server is worse than one at nominal speed.
#[test]
fn prefers_the_server_at_nominal_speed() {
    for fast in ["s1", "s2", "s3"] {
        let mut entry = TestEntry::new(&THREE);
        for (server, _) in THREE {
            entry.reports.insert(server.into(), load(0, if server == fast { 100 } else { 400 }));
        }
        assert_eq!(&*entry.send_lookup().1, fast);
    }
}

/// Guards against a number of slots in an announcement that overflows when the queue is added to it.
#[test]
fn any_number_of_slots_is_used() {
    for slots in [0, 1, 1_000_000_000, u32::MAX - 1, u32::MAX] {
        let mut entry = TestEntry::new(&THREE);
        entry.views.iter_mut().for_each(|view| view.slots = slots);
        entry.announce();
        for _ in 0..5 {
            entry.complete();
            entry.advance(200 * MS);
        }
        // A rejection without a report counts as a full queue.
        let (call, server) = entry.send_lookup();
        entry.reports.clear();
        entry.finish(call, &server, AttemptResult::Shed);
    }
}

/// Guards against a choice by speed alone.
#[test]
fn prefers_the_idle_server_at_equal_speed() {
    let mut entry = TestEntry::new(&THREE);
    entry.reports.insert("s1".into(), load(2, 100));
    entry.reports.insert("s2".into(), load(1, 100));
    assert_eq!(&*entry.send_lookup().1, "s3");
}

/// Guards against sending a call to a server where it makes the running call late, if another server is as
/// good.
#[test]
fn spares_a_call_that_would_become_late() {
    let mut entry = TestEntry::new(&[("s1", "a"), ("s2", "a")]);
    entry.reports.insert("s1".into(), load(1, 150));
    entry.reports.insert("s2".into(), load(0, 280));
    assert_eq!(&*entry.send_lookup().1, "s2");
}

/// Guards against two calls within one probe time going to the same server, since neither probe can show the
/// other call.
#[test]
fn simultaneous_calls_count_each_other() {
    let mut entry = TestEntry::new(&THREE);
    let calls: Vec<_> = (0..3).map(|_| entry.call()).collect();
    let ids: Vec<_> = calls.iter().map(|call| call.id).collect();
    let mut actions = Vec::new();
    for call in calls {
        actions.extend(entry.handle(DispatchEvent::Arrive(call)));
    }
    let actions = entry.answer_probes(actions);
    let mut servers: Vec<_> = ids.iter().map(|id| sent(&actions, *id).expect("the call is sent")).collect();
    servers.sort();
    assert_eq!(servers, ["s1", "s2", "s3"].map(Box::from));
}

/// Guards against unlimited probes: a fresh report replaces a probe, and one of 7 entries probes no server
/// more than 8 times a second.
#[test]
fn probes_are_limited() {
    let mut entry = TestEntry::new(&THREE);
    let peers = (0..7).map(|number| format!("entry-{number}").into()).collect();
    entry.handle(DispatchEvent::Peers(peers));
    entry.complete();
    let first = entry.probed.len();
    assert!(first <= 3, "{first}");
    entry.complete();
    assert_eq!(entry.probed.len(), first, "reports are fresh");
    entry.probed.clear();
    for _ in 0..100 {
        entry.advance(10 * MS);
        entry.complete();
    }
    for (server, _) in THREE {
        let count = entry.probed.iter().filter(|probed| ***probed == *server).count();
        assert!(count <= 10, "{server} was probed {count} times in 1.2 s");
    }
}

/// Guards against a call that waits for a probe that is never answered.
#[test]
fn decides_without_answers() {
    let mut entry = TestEntry::new(&THREE);
    let call = entry.call();
    let id = call.id;
    let actions = entry.handle(DispatchEvent::Arrive(call));
    assert!(actions.iter().all(|action| matches!(action, DispatchAction::Probe { .. })));
    let start = entry.now;
    let mut actions = Vec::new();
    while sent(&actions, id).is_none() {
        let at = entry.balancer.next_wake().expect("a timer for the choice");
        entry.now = at;
        actions = entry.handle(DispatchEvent::Tick);
    }
    assert!(entry.now - start <= 24 * MS, "{:?}", entry.now - start);
}

/// Guards against a failed probe excluding a server: a failing health check does not prove that calls fail.
#[test]
fn failed_probes_only_lower_the_estimate() {
    let mut entry = TestEntry::new(&THREE[..1]);
    entry.reports.clear();
    for _ in 0..20 {
        let call = entry.call();
        let id = call.id;
        let mut actions = entry.arrive(call);
        actions.extend(entry.advance(30 * MS));
        assert!(sent(&actions, id).is_some());
        entry.finish(id, "s1", AttemptResult::Complete);
        entry.advance(200 * MS);
    }
    let mut entry = TestEntry::new(&THREE);
    entry.reports.remove("s1");
    let mut served = 0;
    for _ in 0..30 {
        served += usize::from(&*entry.complete() == "s1");
        entry.advance(200 * MS);
    }
    assert!(served <= 3, "a server that does not answer probes got {served} of 30 calls");
}

/// Guards against sending uploads to another data centre for a small gain: their traffic costs a sixth of
/// their value.
#[test]
fn uploads_stay_in_the_own_data_centre() {
    let servers = [("own", "a"), ("far", "b")];
    let mut entry = TestEntry::new(&servers);
    entry.reports.insert("own".into(), load(1, 100));
    let objective = 600 * MS;
    let of =
        |call: Call| Call { options: hemlockford_core::dispatch::CallOptions { objective, ..call.options }, ..call };
    let upload = of(entry.upload());
    assert_eq!(&*entry.send_call(upload).1, "own", "slower, but within the objective");

    let mut entry = TestEntry::new(&servers);
    entry.reports.insert("own".into(), load(0, 400));
    let upload = of(entry.upload());
    assert_eq!(&*entry.send_call(upload).1, "far", "the own server would miss the objective");

    let mut entry = TestEntry::new(&servers);
    assert_eq!(&*entry.send_lookup().1, "own", "a look-up stays without need");
    let mut entry = TestEntry::new(&servers);
    entry.reports.insert("own".into(), load(1, 100));
    assert_eq!(&*entry.send_lookup().1, "far", "a look-up goes where it is clearly faster");
}

/// Guards against a mean probe rate that is rounded down. Also guards against an entry of a large fleet that
/// knows nothing of the few servers of a small service because it has just probed them. All entries together
/// keep to 60 probes a second.
#[test]
fn an_entry_of_many_may_probe_a_server_in_a_row() {
    let mut entry = TestEntry::new(&THREE[..1]);
    entry.handle(DispatchEvent::Peers((0..44).map(|number| format!("entry-{number}").into()).collect()));
    for _ in 0..3 {
        entry.complete();
        entry.advance(10 * MS);
    }
    assert_eq!(entry.probed.len(), 3);
    for _ in 0..1_000 {
        entry.advance(10 * MS);
        entry.complete();
    }
    // 10 s and the probes take at most 15 s; each entry has 60 / 44 probes a second.
    let count = entry.probed.len();
    assert!((14..=3 + 21).contains(&count), "{count} probes");
}

/// Guards against queueing calls for a service without servers, and against a wrong reason.
#[test]
fn rejects_immediately_without_servers_or_time() {
    let mut entry = TestEntry::new(&[]);
    let call = entry.call();
    let id = call.id;
    let actions = entry.arrive(call);
    assert_eq!(rejected(&actions, id).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::NoServer)));
    let mut entry = TestEntry::new(&THREE);
    let call = Call { deadline: entry.now + 20 * MS, ..entry.call() };
    let id = call.id;
    let actions = entry.handle(DispatchEvent::Arrive(call));
    assert_eq!(rejected(&actions, id).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::Deadline)));
    assert_eq!((entry.balancer.active(), entry.balancer.next_wake()), (0, None));
}

/// Guards against a new server that stays idle because the others suffice.
#[test]
fn a_new_server_gets_a_call_within_eight_seconds() {
    for data_centre in ["a", "b"] {
        let mut entry = TestEntry::new(&THREE);
        entry.handle(DispatchEvent::Peers(vec!["entry".into()]));
        entry.advance(Duration::from_secs(5));
        let joined = entry.now;
        entry.add_server("new", data_centre, joined);
        entry.reports.insert("new".into(), load(0, 100));
        entry.announce();
        let mut first = None;
        while entry.now < joined + Duration::from_secs(8) && first.is_none() {
            first = (&*entry.complete() == "new").then_some(entry.now);
            entry.advance(200 * MS);
        }
        assert!(first.is_some(), "no call in 8 s for a server of {data_centre}");
    }
}

/// Guards against state that is left behind for cancelled calls.
#[test]
fn cancelled_calls_leave_no_state() {
    let mut entry = TestEntry::new(&THREE);
    let call = entry.call();
    let id = call.id;
    let probes = entry.handle(DispatchEvent::Arrive(call));
    entry.handle(DispatchEvent::Cancel(id));
    assert!(entry.answer_probes(probes).is_empty());
    let (running, server) = entry.send_lookup();
    assert_eq!(entry.balancer.active(), 1);
    entry.handle(DispatchEvent::Cancel(running));
    assert!(entry.finish(running, &server, AttemptResult::CallerLeft).is_empty());
    assert_eq!((entry.balancer.active(), entry.balancer.waiting(), entry.balancer.next_wake()), (0, 0, None));
}
