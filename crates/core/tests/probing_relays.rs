//! Passing calls on to other entries, at an entry of a fleet that has lost the path to the servers.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, Call, DispatchAction, DispatchEvent, RelayAddress},
        ids::CallId,
        outcome::{NotRunReason, Outcome, UnknownReason},
    },
    std::time::Duration,
    test_entry::{MS, SERVICE, TestEntry, rejected, sent},
};

const FIVE: [(&str, &str); 5] = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a"), ("s5", "a")];
const NO_SERVER: Outcome = Outcome::NotRun(NotRunReason::NoServer);

/// Returns the entry to which a call is passed on and the number of attempts that it may make.
fn relayed(actions: &[DispatchAction], id: CallId) -> Option<(Box<str>, u32)> {
    actions.iter().find_map(|action| match action {
        DispatchAction::Relay { call, entry, attempts, .. } if *call == id => Some((entry.clone(), *attempts)),
        _ => None,
    })
}

/// Answers all checks of the path among the actions.
fn answer_checks(entry: &mut TestEntry, actions: Vec<DispatchAction>, is_open: bool) -> Vec<DispatchAction> {
    let mut others = Vec::new();
    for action in actions {
        match action {
            DispatchAction::CheckPath { server, .. } => {
                others.extend(entry.handle(DispatchEvent::PathChecked { server, is_open }));
            }
            other => others.push(other),
        }
    }
    others
}

fn refuse(entry: &mut TestEntry, call: CallId, server: &str) -> Vec<DispatchAction> {
    let mut actions = entry.handle(DispatchEvent::Connection { server: server.into(), is_open: false });
    actions.extend(entry.finish(call, server, AttemptResult::RefusedBeforeWrite));
    actions
}

/// Returns an entry that knows other entries and has lost the path to its servers.
fn cut_entry(relays: usize) -> TestEntry {
    let mut entry = TestEntry::new(&FIVE);
    let relays = (0..relays).map(|number| RelayAddress {
        entry: format!("entry-{number}").into(),
        address: ([127, 0, 0, 1], 20_000 + number as u16).into(),
    });
    entry.handle(DispatchEvent::Relays(relays.collect()));
    let mut actions = Vec::new();
    for (server, _) in FIVE {
        actions.extend(entry.handle(DispatchEvent::Connection { server: server.into(), is_open: false }));
    }
    answer_checks(&mut entry, actions, false);
    assert_eq!(entry.balancer.lost_paths(), 1);
    entry
}

/// Guards against an entry that takes the failure of some servers for the loss of the path.
#[test]
fn servers_that_refuse_connections_do_not_end_the_path() {
    let mut entry = TestEntry::new(&FIVE);
    let (call, server) = entry.send_lookup();
    let mut actions = refuse(&mut entry, call, &server);
    for _ in 0..2 {
        let server = sent(&actions, call).expect("the call is sent to another server");
        actions = refuse(&mut entry, call, &server);
    }
    let checks: Vec<_> = actions.iter().filter(|action| matches!(action, DispatchAction::CheckPath { .. })).collect();
    assert_eq!(checks.len(), 5, "{actions:?}");
    let event = DispatchEvent::PathChecked { server: "s5".into(), is_open: true };
    entry.handle(event);
    for server in ["s1", "s2", "s3", "s4"] {
        entry.handle(DispatchEvent::PathChecked { server: server.into(), is_open: false });
    }
    assert_eq!(entry.balancer.lost_paths(), 0);
}

/// Guards against calls that fail at an entry without a path, against ones that wait there, and against a second path
/// by way of which a call could go round in circles.
#[test]
fn calls_are_passed_on_at_once_and_only_once() {
    let mut entry = cut_entry(3);
    for call in [entry.call(), entry.order(), entry.upload()] {
        let id = call.id;
        let actions = entry.handle(DispatchEvent::Arrive(call));
        assert!(relayed(&actions, id).is_some_and(|(_, attempts)| attempts == 3), "{actions:?}");
    }
    let call = Call { relayed: true, ..entry.call() };
    let id = call.id;
    let actions = entry.handle(DispatchEvent::Arrive(call));
    assert_eq!(rejected(&actions, id).expect("the answer comes at once").0, NO_SERVER);
}

/// Guards against a call that is given up although another entry can serve it, and against one that visits all entries
/// when none can.
#[test]
fn other_entries_are_tried_when_one_has_no_path_either() {
    let mut entry = cut_entry(8);
    let call = entry.order();
    let id = call.id;
    let mut actions = entry.handle(DispatchEvent::Arrive(call));
    let mut tried = Vec::new();
    while let Some((to, _)) = relayed(&actions, id) {
        assert!(!tried.contains(&to));
        actions = entry.finish(id, &to, AttemptResult::Misdirected);
        tried.push(to);
    }
    assert_eq!((tried.len(), rejected(&actions, id).expect("an outcome").0), (3, NO_SERVER));
    let call = entry.order();
    let id = call.id;
    let actions = entry.handle(DispatchEvent::Arrive(call));
    assert!(relayed(&actions, id).is_some_and(|(to, _)| !tried.contains(&to)), "entries without a path are avoided");
}

/// Guards against a second run of a call that another entry may have sent to a server, and against "not run" for it.
#[test]
fn a_call_that_another_entry_may_have_run_is_not_repeated() {
    for (result, outcome) in [
        (AttemptResult::BrokenAfterWrite, Outcome::Unknown(UnknownReason::ConnectionLost)),
        (AttemptResult::BadAnswer, Outcome::Unknown(UnknownReason::ConnectionLost)),
        (AttemptResult::Shed, Outcome::NotRun(NotRunReason::Overload)),
    ] {
        let mut entry = cut_entry(3);
        let call = entry.order();
        let id = call.id;
        let actions = entry.handle(DispatchEvent::Arrive(call));
        let (to, _) = relayed(&actions, id).expect("the call is passed on");
        let actions = entry.finish(id, &to, result);
        assert!(relayed(&actions, id).is_none() && sent(&actions, id).is_none());
        assert_eq!(rejected(&actions, id).expect("an outcome").0, outcome);
    }
}

/// Guards against calls that get more attempts because another entry makes some of them.
#[test]
fn attempts_of_both_entries_count_together() {
    let mut entry = TestEntry::new(&FIVE);
    let (call, server) = entry.send_lookup();
    let relays = vec![RelayAddress { entry: "entry-0".into(), address: ([127, 0, 0, 1], 20_000).into() }];
    entry.handle(DispatchEvent::Relays(relays));
    let mut actions = Vec::new();
    for (server, _) in FIVE {
        actions.extend(entry.handle(DispatchEvent::Connection { server: server.into(), is_open: false }));
    }
    answer_checks(&mut entry, actions, false);
    let actions = entry.finish(call, &server, AttemptResult::BrokenAfterWrite);
    assert_eq!(relayed(&actions, call), Some(("entry-0".into(), 2)));
}

/// Guards against an entry that never uses its servers again, and against many connections at the end of a cut.
#[test]
fn the_entry_returns_when_a_connection_opens() {
    let mut entry = cut_entry(3);
    for _ in 0..2 {
        let mut checks = 0;
        for _ in 0..40 {
            entry.advance(50 * MS);
            let call = entry.call();
            let id = call.id;
            let actions = entry.handle(DispatchEvent::Arrive(call));
            checks += actions.iter().filter(|action| matches!(action, DispatchAction::CheckPath { .. })).count();
            let (to, _) = relayed(&actions, id).expect("the call is passed on");
            answer_checks(&mut entry, actions, false);
            entry.finish(id, &to, AttemptResult::Complete);
        }
        assert!((4..=10).contains(&checks), "{checks} checks in {:?}", Duration::from_secs(2));
        entry.handle(DispatchEvent::PathChecked { server: "s2".into(), is_open: true });
        assert_eq!(entry.balancer.lost_paths(), 0);
        entry.send_lookup();
        // The path is lost again.
        entry.advance(300 * MS);
        let mut actions = Vec::new();
        for (server, _) in FIVE {
            actions.extend(entry.handle(DispatchEvent::Connection { server: server.into(), is_open: false }));
        }
        answer_checks(&mut entry, actions, false);
        assert_eq!(entry.balancer.lost_paths(), 1);
    }
}

/// Guards against calls that are still passed on, or rejected, when all servers have ended and a new one has joined.
#[test]
fn a_server_that_joins_is_checked_at_once() {
    let mut entry = cut_entry(3);
    entry.add_server("s6", "a", entry.now);
    let actions = entry.announce();
    let is_check =
        |action: &DispatchAction| matches!(action, DispatchAction::CheckPath { server, .. } if **server == *"s6");
    assert!(actions.iter().any(is_check), "{actions:?}");
    entry.handle(DispatchEvent::PathChecked { server: "s6".into(), is_open: true });
    assert_eq!(entry.balancer.lost_paths(), 0);
}

/// Guards against an entry without other entries that rejects calls which open connections to servers could carry.
#[test]
fn without_other_entries_calls_are_sent_to_servers() {
    let mut entry = cut_entry(0);
    entry.send_lookup();
    entry.handle(DispatchEvent::Servers(SERVICE.into(), Vec::new()));
    let call = entry.call();
    let id = call.id;
    let actions = entry.handle(DispatchEvent::Arrive(call));
    assert_eq!(rejected(&actions, id).expect("an outcome").0, NO_SERVER);
}
