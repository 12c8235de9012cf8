//! Requests that crash servers, at an entry of a fleet.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, Call, DispatchAction, DispatchEvent},
        outcome::{NotRunReason, Outcome, UnknownReason},
        quarantine::{Crash, RequestFingerprint, SuspectRecord},
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, rejected, sent},
};

const FOUR: [(&str, &str); 4] = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a")];
const REQUEST: RequestFingerprint = RequestFingerprint { head: 5, body: 6 };
const QUARANTINED: Outcome = Outcome::NotRun(NotRunReason::Quarantined);

/// Ends a server while it runs a call.
fn crash(entry: &mut TestEntry, call: u64, server: &str) -> Vec<DispatchAction> {
    let event = DispatchEvent::Crash { call, server: server.into(), request: REQUEST };
    let mut actions = entry.handle(event);
    actions.extend(entry.finish(call, server, AttemptResult::BrokenAfterWrite));
    actions
}

fn suspected_call(entry: &mut TestEntry) -> Call {
    Call { fingerprint: Some(REQUEST), ..entry.call() }
}

/// Returns news that these runs of servers ended under the request.
fn news(runs: std::ops::Range<u64>) -> DispatchEvent {
    let crashes = runs.map(|run| Crash { run, is_refuted: false }).collect();
    DispatchEvent::Suspects(vec![SuspectRecord { request: REQUEST, crashes, age_ms: 0, span_ms: 0 }])
}

/// Guards against retries that crash one server after another, and against retries that are withheld from a request
/// that met a single crash, or that a server did not run.
#[test]
fn a_request_under_which_two_servers_ended_is_not_retried() {
    let mut entry = TestEntry::new(&FOUR);
    let (call, first) = entry.send_lookup();
    let actions = crash(&mut entry, call, &first);
    let second = sent(&actions, call).expect("a call that met one crash is retried");
    assert!(actions.iter().any(|action| matches!(action, DispatchAction::ReportSuspect(_))));
    let actions = crash(&mut entry, call, &second);
    let outcome = rejected(&actions, call).expect("an outcome").0;
    assert_eq!(outcome, Outcome::Unknown(UnknownReason::ConnectionLost));
    let call = suspected_call(&mut entry);
    let (call, third) = entry.send_call(call);
    let actions = entry.finish(call, &third, AttemptResult::RefusedBeforeWrite);
    assert!(sent(&actions, call).is_some(), "the request did not run");
}

/// Guards against a quarantined request that reaches a server, waits for an answer, or stops others.
#[test]
fn a_quarantined_request_is_rejected_at_once() {
    let mut entry = TestEntry::new(&FOUR);
    entry.handle(news(0..2));
    entry.advance(2_000 * MS);
    entry.handle(news(2..3));
    let call = suspected_call(&mut entry);
    let id = call.id;
    let actions = entry.handle(DispatchEvent::Arrive(call));
    let (outcome, retry_after) = rejected(&actions, id).expect("the answer comes at once");
    assert_eq!(outcome, QUARANTINED);
    assert!(retry_after > Duration::from_secs(59), "{retry_after:?}");
    let other = Call { fingerprint: Some(RequestFingerprint { body: 7, ..REQUEST }), ..entry.call() };
    entry.send_call(other);
    entry.send_lookup();
}

/// Guards against a sound request that stays suspected after servers answered it.
#[test]
fn an_answer_clears_a_request() {
    for result in [AttemptResult::Complete, AttemptResult::ServerError] {
        let mut entry = TestEntry::new(&FOUR);
        entry.handle(news(0..2));
        let call = suspected_call(&mut entry);
        let (call, server) = entry.send_call(call);
        let actions = entry.finish(call, &server, result);
        let is_report = |action: &DispatchAction| match action {
            DispatchAction::ReportSuspect(record) => record.crashes.iter().all(|crash| crash.is_refuted),
            _ => false,
        };
        assert!(actions.iter().any(is_report), "{actions:?}");
        entry.handle(news(2..4));
        let call = suspected_call(&mut entry);
        entry.send_call(call);
    }
}

/// Guards against a popular request that stays suspected after servers failed together under several of its runs,
/// although other runs were answered.
#[test]
fn an_answer_to_a_call_that_arrived_before_the_suspicion_clears_a_request() {
    let mut entry = TestEntry::new(&FOUR);
    entry.handle(news(0..3));
    entry.handle(DispatchEvent::Answered(REQUEST));
    let call = suspected_call(&mut entry);
    entry.send_call(call);
}

/// Guards against trials of several entries at the end of a quarantine, each of which may crash a server.
#[test]
fn one_entry_makes_the_trial() {
    let mut trials = 0;
    for index in 0..7 {
        let mut entry = TestEntry::new(&FOUR);
        entry.handle(DispatchEvent::Peers(vec!["".into(); 7]));
        entry.handle(DispatchEvent::Position(index));
        entry.handle(news(0..3));
        entry.advance(1_500 * MS);
        for _ in 0..3 {
            let call = suspected_call(&mut entry);
            let id = call.id;
            let actions = entry.arrive(call);
            let is_sent = sent(&actions, id).is_some();
            assert!(is_sent || rejected(&actions, id).is_some_and(|(outcome, _)| outcome == QUARANTINED));
            trials += usize::from(is_sent);
        }
    }
    assert_eq!(trials, 1);
}
