//! Retries after failed attempts at an entry of a fleet.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, Call, CallOptions, DispatchEvent},
        outcome::{NotRunReason, Outcome, UnknownReason},
        probing::BalancerOptions,
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, load, rejected, sent},
};

const SIX: [(&str, &str); 6] = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a"), ("s5", "b"), ("s6", "b")];

const NOT_RUN: [AttemptResult; 3] =
    [AttemptResult::Shed, AttemptResult::RefusedBeforeWrite, AttemptResult::Misdirected];
const MAY_HAVE_RUN: [AttemptResult; 4] =
    [AttemptResult::ServerError, AttemptResult::BrokenAfterWrite, AttemptResult::BadAnswer, AttemptResult::Timeout];

/// Guards against a call that goes to one server twice, or to more servers than it has attempts.
#[test]
fn attempts_are_bounded_and_go_to_different_servers() {
    for result in NOT_RUN.into_iter().chain(MAY_HAVE_RUN) {
        let mut entry = TestEntry::new(&SIX);
        let (call, first) = entry.send_lookup();
        let mut servers = vec![first];
        let mut actions = entry.finish(call, &servers[0].clone(), result);
        while let Some(server) = sent(&actions, call) {
            assert!(!servers.contains(&server), "{result}: {server} twice");
            servers.push(server.clone());
            actions = entry.finish(call, &server, result);
        }
        assert_eq!(servers.len(), 3, "{result}");
        assert!(rejected(&actions, call).is_some(), "{result}");
        assert_eq!(entry.balancer.active(), 0);
    }
}

/// Guards against a second run of a call that is not idempotent, and against rejecting one that did not run.
#[test]
fn non_idempotent_calls_go_on_only_if_they_did_not_run() {
    for result in NOT_RUN {
        let mut entry = TestEntry::new(&SIX);
        let order = entry.order();
        let (call, server) = entry.send_call(order);
        let actions = entry.finish(call, &server, result);
        assert!(sent(&actions, call).is_some_and(|other| other != server), "{result}");
    }
    for result in MAY_HAVE_RUN {
        let mut entry = TestEntry::new(&SIX);
        let order = entry.order();
        let (call, server) = entry.send_call(order);
        let actions = entry.finish(call, &server, result);
        assert_eq!(sent(&actions, call), None, "{result}");
        let reason = match result {
            AttemptResult::Timeout => UnknownReason::Timeout,
            AttemptResult::BadAnswer => UnknownReason::BadAnswer,
            _ => UnknownReason::ConnectionLost,
        };
        assert_eq!(rejected(&actions, call).map(|(outcome, _)| outcome), Some(Outcome::Unknown(reason)));
    }
}

/// Guards against retrying an upload without its body, which went to the server that rejected it.
#[test]
fn uploads_go_on_only_if_nothing_was_written() {
    let mut entry = TestEntry::new(&SIX);
    let upload = entry.upload();
    let (call, server) = entry.send_call(upload);
    let actions = entry.finish(call, &server, AttemptResult::Shed);
    assert_eq!(rejected(&actions, call).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::Overload)));
    let upload = entry.upload();
    let (call, server) = entry.send_call(upload);
    let actions = entry.finish(call, &server, AttemptResult::RefusedBeforeWrite);
    assert!(sent(&actions, call).is_some());
}

/// Guards against "not run" for a call of which an earlier attempt may have run.
#[test]
fn an_unknown_outcome_stays_with_the_call() {
    let mut entry = TestEntry::new(&SIX);
    let (call, server) = entry.send_lookup();
    let actions = entry.finish(call, &server, AttemptResult::BrokenAfterWrite);
    let server = sent(&actions, call).expect("a second attempt");
    let actions = entry.finish(call, &server, AttemptResult::Shed);
    let server = sent(&actions, call).expect("a third attempt");
    let actions = entry.finish(call, &server, AttemptResult::Shed);
    assert_eq!(
        rejected(&actions, call).map(|(outcome, _)| outcome),
        Some(Outcome::Unknown(UnknownReason::ConnectionLost))
    );
}

/// Guards against retries beyond the entry's share of the budget.
#[test]
fn retries_stay_within_the_budget() {
    let options =
        BalancerOptions { data_centre: "a".into(), retry_ratio: 0.2, retry_slack: 10.0, ..BalancerOptions::default() };
    let mut entry = TestEntry::with_options(&SIX, options);
    entry.handle(DispatchEvent::Peers(vec!["e1".into(), "e2".into()]));
    let mut extra = 0;
    for number in 1..=100 {
        let (call, server) = entry.send_lookup();
        let mut actions = entry.finish(call, &server, AttemptResult::Shed);
        while let Some(server) = sent(&actions, call) {
            extra += 1;
            actions = entry.finish(call, &server, AttemptResult::Shed);
        }
        let limit = 0.9 * 0.2 * f64::from(number) + 0.7 * 10.0 / 2.0;
        assert!(f64::from(extra) <= limit, "{extra} extra attempts for {number} calls");
        entry.advance(MS);
    }
    assert!(extra >= 20, "{extra} extra attempts for 100 calls");
}

/// Guards against a larger share of the slack at a replica that has just started and knows few entries.
#[test]
fn fewer_entries_count_only_after_a_window() {
    let retry_window = Duration::from_secs(10);
    let options = BalancerOptions {
        data_centre: "a".into(),
        retry_ratio: 0.0,
        retry_slack: 100.0,
        retry_window,
        ..BalancerOptions::default()
    };
    let mut entry = TestEntry::with_options(&SIX, options);
    let mut extra_after = |count: usize, pass: Duration| {
        entry.handle(DispatchEvent::Peers(vec!["entry".into(); count]));
        entry.advance(pass);
        let mut extra = 0;
        for _ in 0..80 {
            let (call, server) = entry.send_lookup();
            let mut actions = entry.finish(call, &server, AttemptResult::Shed);
            while let Some(server) = sent(&actions, call) {
                extra += 1;
                actions = entry.finish(call, &server, AttemptResult::Shed);
            }
            entry.advance(MS);
        }
        extra
    };
    assert_eq!(extra_after(10, MS), 7);
    assert_eq!(extra_after(1, Duration::from_secs(1)), 0, "the share of ten entries is used up");
    let later = extra_after(1, 2 * retry_window);
    assert!(later > 30, "{later} extra attempts of a single entry");
}

/// Guards against a retry that could not be answered in time.
#[test]
fn no_retry_without_time() {
    let mut entry = TestEntry::new(&SIX);
    let call = Call { deadline: entry.now + 120 * MS, ..entry.call() };
    let (call, server) = entry.send_call(call);
    entry.now += 100 * MS;
    let actions = entry.finish(call, &server, AttemptResult::Shed);
    assert!(rejected(&actions, call).is_some());
}

/// Guards against a second attempt of a call that has only one.
#[test]
fn a_single_attempt_is_not_retried() {
    let mut entry = TestEntry::new(&SIX);
    let call = entry.call();
    let call = Call { options: CallOptions { attempts: 1, ..call.options }, ..call };
    let (call, server) = entry.send_call(call);
    let actions = entry.finish(call, &server, AttemptResult::Shed);
    assert_eq!(rejected(&actions, call).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::Overload)));
}

/// Guards against using a server that answers 421 before its record has changed, for this call or any other.
#[test]
fn a_misdirected_server_is_not_used_until_its_record_changes() {
    let mut entry = TestEntry::new(&SIX[..2]);
    let (call, server) = entry.send_lookup();
    let actions = entry.finish(call, &server, AttemptResult::Misdirected);
    let other = sent(&actions, call).expect("a second attempt");
    entry.finish(call, &other, AttemptResult::Complete);
    for _ in 0..50 {
        entry.announce();
        assert_eq!(entry.complete(), other);
        entry.advance(100 * MS);
    }
    let view = entry.views.iter_mut().find(|view| view.id == server).expect("the server");
    view.address.set_port(9_999);
    entry.announce();
    entry.reports.insert(other.clone(), load(2, 400));
    entry.advance(300 * MS);
    assert_eq!(entry.complete(), server);
}

/// Guards against queueing a call if all servers are misdirected.
#[test]
fn no_server_is_left_when_all_are_misdirected() {
    let mut entry = TestEntry::new(&SIX[..2]);
    let (call, server) = entry.send_lookup();
    let actions = entry.finish(call, &server, AttemptResult::Misdirected);
    let other = sent(&actions, call).expect("a second attempt");
    let actions = entry.finish(call, &other, AttemptResult::Misdirected);
    assert!(rejected(&actions, call).is_some());
    let call = entry.call();
    let id = call.id;
    let actions = entry.arrive(call);
    assert_eq!(rejected(&actions, id).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::NoServer)));
}
