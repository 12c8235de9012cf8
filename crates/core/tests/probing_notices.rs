//! Servers that ask in their answers for no further calls, at an entry of a fleet.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, CallRate, DispatchAction, DispatchEvent, MAX_SERVER_PAUSE, ServerNotice},
        outcome::{NotRunReason, Outcome},
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, load, rejected, sent},
};

const TWO: [(&str, &str); 2] = [("s1", "a"), ("s2", "a")];
const SECOND: Duration = Duration::from_secs(1);

fn notice(entry: &mut TestEntry, server: &str, notice: ServerNotice) -> Vec<DispatchAction> {
    let view = entry.views.iter().find(|view| *view.id == *server).expect("a known server");
    let event = DispatchEvent::Notice { server: view.id.clone(), address: view.address, notice };
    entry.handle(event)
}

/// Makes every other server look worse than this one.
fn attract(entry: &mut TestEntry, server: &str) {
    for view in entry.views.clone().iter().filter(|view| *view.id != *server) {
        entry.reports.insert(view.id.clone(), load(1, 150));
    }
}

/// Returns how many of some calls, and of the probes for them, reach a server within a time.
fn contacts(entry: &mut TestEntry, server: &str, time: Duration) -> (usize, usize) {
    let (end, mut calls, probes) = (entry.now + time, 0, entry.probed.len());
    while entry.now < end {
        calls += usize::from(*entry.complete() == *server);
        entry.advance(40 * MS);
    }
    (calls, entry.probed[probes..].iter().filter(|probed| ***probed == *server).count())
}

/// Guards against calls and probes that reach a server after it said in an answer that it is leaving.
#[test]
fn a_leaving_server_gets_neither_calls_nor_probes() {
    let mut entry = TestEntry::new(&TWO);
    attract(&mut entry, "s1");
    assert!(contacts(&mut entry, "s1", SECOND).0 > 10, "the server is the better one");
    notice(&mut entry, "s1", ServerNotice::Leaving);
    assert_eq!(contacts(&mut entry, "s1", 10 * SECOND), (0, 0));
}

/// Guards against older information of the control plane that takes the notice back: a renewed view, a changed
/// warm-up, and a server that is removed and added again.
#[test]
fn older_views_do_not_take_the_notice_back() {
    let mut entry = TestEntry::new(&TWO);
    attract(&mut entry, "s1");
    notice(&mut entry, "s1", ServerNotice::Leaving);
    entry.announce();
    assert_eq!(contacts(&mut entry, "s1", SECOND), (0, 0), "after a renewal");
    entry.views[0].ready_since += 700 * MS;
    entry.announce();
    assert_eq!(contacts(&mut entry, "s1", SECOND), (0, 0), "after a new record");
    let view = entry.views.remove(0);
    entry.announce();
    entry.views.insert(0, view);
    entry.announce();
    assert_eq!(contacts(&mut entry, "s1", SECOND), (0, 0), "after a removal");
    entry.views[0].incarnation += 1;
    entry.announce();
    assert!(contacts(&mut entry, "s1", SECOND).0 > 10, "the next incarnation has not said so");
}

/// Guards against a late answer of an earlier server that excludes another one at a new address.
#[test]
fn a_notice_binds_the_address_that_sent_it() {
    let mut entry = TestEntry::new(&TWO);
    attract(&mut entry, "s1");
    let address = ([127, 0, 0, 9], 9_999).into();
    entry.handle(DispatchEvent::Notice { server: "s1".into(), address, notice: ServerNotice::Leaving });
    assert!(contacts(&mut entry, "s1", SECOND).0 > 10);
}

/// Guards against calls, retries and probes that reach a server within the pause that it asked for, and against a
/// pause that does not end.
#[test]
fn a_pausing_server_gets_nothing_until_the_end() {
    let mut entry = TestEntry::new(&TWO);
    attract(&mut entry, "s1");
    notice(&mut entry, "s1", ServerNotice::Pause(1_500 * MS));
    // An answer that was sent before does not shorten the pause.
    notice(&mut entry, "s1", ServerNotice::Pause(100 * MS));
    assert_eq!(contacts(&mut entry, "s1", 1_400 * MS), (0, 0));
    entry.advance(100 * MS);
    assert!(contacts(&mut entry, "s1", SECOND).0 > 10);
    notice(&mut entry, "s1", ServerNotice::Pause(Duration::MAX));
    assert_eq!(contacts(&mut entry, "s1", MAX_SERVER_PAUSE - SECOND), (0, 0), "an unlimited pause is bounded");
    entry.advance(SECOND);
    assert!(contacts(&mut entry, "s1", SECOND).0 > 10);
}

/// Guards against a retry at a server that turned the same call away, or that is pausing.
#[test]
fn a_shed_call_goes_to_a_server_that_takes_calls() {
    let mut entry = TestEntry::new(&[("s1", "a"), ("s2", "a"), ("s3", "a")]);
    notice(&mut entry, "s3", ServerNotice::Pause(SECOND));
    let (call, server) = entry.send_lookup();
    notice(&mut entry, &server, ServerNotice::Pause(SECOND));
    let actions = entry.finish(call, &server, AttemptResult::Shed);
    let next = sent(&actions, call).expect("one server is left");
    assert!(*next != *server && &*next != "s3", "{next}");
}

/// Guards against calls that are held although every server asked for a pause, and against a time to come back that
/// lies before its end.
#[test]
fn a_service_that_pauses_rejects_at_once_with_the_earliest_end() {
    let mut entry = TestEntry::new(&TWO);
    // The only entry, so that a call expects a short wait and is queued.
    entry.handle(DispatchEvent::Peers(vec!["entry".into()]));
    for server in ["s1", "s2"] {
        entry.reports.insert(server.into(), load(2, 100));
    }
    let waiting = entry.call();
    let id = waiting.id;
    let actions = entry.arrive(waiting);
    assert!(sent(&actions, id).is_none() && rejected(&actions, id).is_none(), "the servers are full: {actions:?}");
    assert!(rejected(&notice(&mut entry, "s1", ServerNotice::Pause(3 * SECOND)), id).is_none());
    let actions = notice(&mut entry, "s2", ServerNotice::Pause(2 * SECOND));
    let (outcome, retry_after) = rejected(&actions, id).expect("the waiting call is rejected");
    assert_eq!((outcome, retry_after), (Outcome::NotRun(NotRunReason::NoServer), 2 * SECOND));
    entry.advance(500 * MS);
    let call = entry.call();
    let id = call.id;
    let actions = entry.arrive(call);
    assert_eq!(rejected(&actions, id).map(|(_, retry_after)| retry_after), Some(1_500 * MS));
    assert!(!actions.iter().any(|action| matches!(action, DispatchAction::Probe { .. })), "{actions:?}");
}

/// Guards against calls that wait for their deadline although all servers have named limits that are used up.
#[test]
fn a_call_beyond_the_limits_of_all_servers_is_rejected_with_the_time_of_the_next() {
    let mut entry = TestEntry::new(&TWO);
    entry.handle(DispatchEvent::Peers(vec!["e".into()]));
    for server in ["s1", "s2"] {
        notice(&mut entry, server, ServerNotice::Limit(CallRate::from_per_second(2.0)));
    }
    let call = entry.call();
    let id = call.id;
    let (outcome, retry_after) = rejected(&entry.arrive(call), id).expect("a rejection at once");
    assert_eq!(outcome, Outcome::NotRun(NotRunReason::NoServer));
    assert!((400 * MS..=500 * MS).contains(&retry_after), "{retry_after:?}");
    entry.advance(retry_after);
    let call = entry.call();
    let id = call.id;
    assert!(sent(&entry.arrive(call), id).is_some());
    for server in ["s1", "s2"] {
        notice(&mut entry, server, ServerNotice::Limit(None));
    }
    entry.complete();
}
