//! Calls that wait at an entry of a fleet because every server is full.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        dispatch::{AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent},
        ids::CallId,
        outcome::{NotRunReason, Outcome},
        probing::BalancerOptions,
    },
    std::time::Duration,
    test_entry::{MS, TestEntry, load, rejected, sent},
};

const TWO: [(&str, &str); 2] = [("s1", "a"), ("s2", "a")];
const EIGHT: [(&str, &str); 8] =
    [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a"), ("s5", "a"), ("s6", "a"), ("s7", "a"), ("s8", "a")];
const SLOTS: u32 = 2;
/// Calls that fill the slots and the queue of a server.
const FULL_QUEUE: u32 = 6;

/// Creates the only entry of a fleet, which may probe a server every 17 ms.
fn loaded_entry(servers: &[(&str, &str)], in_flight: u32) -> TestEntry {
    let options = BalancerOptions { data_centre: "a".into(), ..BalancerOptions::default() };
    loaded_entry_with(servers, in_flight, options)
}

fn loaded_entry_with(servers: &[(&str, &str)], in_flight: u32, options: BalancerOptions) -> TestEntry {
    let mut entry = TestEntry::with_options(servers, options);
    entry.handle(DispatchEvent::Peers(vec!["entry".into()]));
    set_load(&mut entry, in_flight);
    entry
}

fn set_load(entry: &mut TestEntry, in_flight: u32) {
    entry.reports.values_mut().for_each(|report| *report = load(in_flight, 100));
}

/// Returns the calls that are sent, in their order.
fn sent_calls(actions: &[DispatchAction]) -> Vec<CallId> {
    let sent = actions.iter().filter_map(|action| match action {
        DispatchAction::Send { call, .. } => Some(*call),
        _ => None,
    });
    sent.collect()
}

fn queue_call(entry: &mut TestEntry, priority: u32) -> CallId {
    let call = entry.call();
    let call = Call { options: CallOptions { priority, ..call.options }, ..call };
    let id = call.id;
    let actions = entry.arrive(call);
    assert!(sent(&actions, id).is_none() && rejected(&actions, id).is_none(), "{actions:?}");
    id
}

/// Guards against sending calls to full servers while a slot may still become free in time, and against
/// rejecting calls that a server would queue.
#[test]
fn waits_for_a_slot_and_finally_uses_the_queue_of_a_server() {
    let mut entry = loaded_entry(&TWO, SLOTS);
    let id = queue_call(&mut entry, 0);
    assert_eq!(entry.balancer.waiting(), 1);
    let actions = entry.advance(700 * MS);
    assert!(sent(&actions, id).is_none() && rejected(&actions, id).is_none());
    let actions = entry.advance(30 * MS);
    assert!(sent(&actions, id).is_some(), "a server would queue the call, and it may meet its deadline");
    assert_eq!(entry.balancer.waiting(), 0);
}

/// Guards against sending a call to a server where it would be late while another one may still become better
/// in time, and against waiting for that until the deadline.
#[test]
fn waits_for_a_server_that_answers_in_time() {
    let mut entry = loaded_entry(&TWO, 0);
    entry.reports.values_mut().for_each(|report| *report = load(0, 400));
    let timely = queue_call(&mut entry, 0);
    entry.advance(60 * MS);
    entry.reports.insert("s2".into(), load(0, 100));
    assert_eq!(sent(&entry.advance(40 * MS), timely).as_deref(), Some("s2"));
    entry.reports.insert("s2".into(), load(SLOTS, 400));
    let late = queue_call(&mut entry, 0);
    // The call needs 240 ms of its 400 ms objective.
    assert!(sent(&entry.advance(150 * MS), late).is_none());
    assert_eq!(sent(&entry.advance(40 * MS), late).as_deref(), Some("s1"));
}

/// Guards against queueing calls although no server has room, and against a useless Retry-After time.
#[test]
fn rejects_what_no_server_would_queue() {
    let mut entry = loaded_entry(&TWO, FULL_QUEUE);
    let id = queue_call(&mut entry, 0);
    assert!(rejected(&entry.advance(700 * MS), id).is_none());
    let actions = entry.advance(30 * MS);
    let (outcome, retry_after) = rejected(&actions, id).expect("a rejected call");
    assert_eq!(outcome, Outcome::NotRun(NotRunReason::Overload));
    assert!((20 * MS..=Duration::from_secs(1)).contains(&retry_after), "{retry_after:?}");
    assert_eq!((entry.balancer.active(), entry.balancer.waiting()), (0, 0));
}

/// Guards against queueing calls behind so many others that they must be late, and against rejecting calls of
/// high priority because of lower ones.
#[test]
fn rejects_immediately_what_would_wait_too_long() {
    let mut entry = loaded_entry(&EIGHT, FULL_QUEUE);
    for _ in 0..4 {
        queue_call(&mut entry, 1);
    }
    let call = entry.call();
    let call = Call { options: CallOptions { priority: 1, ..call.options }, ..call };
    let (id, begin) = (call.id, entry.now);
    let actions = entry.arrive(call);
    let (outcome, retry_after) = rejected(&actions, id).expect("a rejected call");
    assert_eq!(outcome, Outcome::NotRun(NotRunReason::Overload));
    assert!(retry_after <= 100 * MS, "{retry_after:?}: the caller could not meet its objective after that time");
    assert!(entry.now - begin <= 24 * MS, "a rejection within an eighth of the objective costs nothing");
    queue_call(&mut entry, 0);
    assert_eq!(entry.balancer.waiting(), 5);
}

/// Guards against giving slots to calls that must be late while others could meet their objective.
#[test]
fn serves_calls_that_can_make_their_objective_first() {
    let mut entry = loaded_entry(&EIGHT, FULL_QUEUE);
    let late = queue_call(&mut entry, 0);
    entry.advance(200 * MS);
    let new = queue_call(&mut entry, 0);
    set_load(&mut entry, SLOTS - 1);
    let actions = entry.advance(40 * MS);
    assert_eq!(sent_calls(&actions), [new, late]);
}

/// Guards against using the slot that makes a server with four slots slower for all its calls.
#[test]
fn leaves_the_slot_free_that_slows_a_server_down() {
    let mut entry = loaded_entry(&TWO[..1], 0);
    entry.views[0].slots = 4;
    entry.announce();
    for _ in 0..3 {
        entry.send_lookup();
    }
    let call = entry.call();
    let id = call.id;
    let actions = entry.arrive(call);
    assert_eq!(sent(&actions, id), None);
}

/// Guards against waiting after a call of another entry has freed a slot, which only a probe shows.
#[test]
fn notices_room_while_calls_wait() {
    let mut entry = loaded_entry(&EIGHT, FULL_QUEUE);
    let id = queue_call(&mut entry, 0);
    entry.reports.insert("s2".into(), load(1, 100));
    let actions = entry.advance(70 * MS);
    assert!(sent(&actions, id).is_some());
}

/// Guards against serving calls of low priority before those of a higher one, and against serving in order of
/// arrival if deadlines differ.
#[test]
fn serves_by_priority_and_then_by_deadline() {
    let mut entry = loaded_entry(&EIGHT, FULL_QUEUE);
    let low = queue_call(&mut entry, 2);
    let late = queue_call(&mut entry, 1);
    let call = entry.call();
    let options = CallOptions { priority: 1, ..call.options };
    let call = Call { deadline: entry.now + 900 * MS, options, ..call };
    let soon = call.id;
    entry.handle(DispatchEvent::Arrive(call));
    let high = queue_call(&mut entry, 0);
    set_load(&mut entry, 0);
    let actions = entry.advance(40 * MS);
    assert_eq!(sent_calls(&actions), [high, soon, late, low]);
}

/// Guards against a new call that is sent before waiting ones of higher priority.
#[test]
fn a_new_call_does_not_overtake() {
    let mut entry = loaded_entry(&EIGHT, FULL_QUEUE);
    let high = queue_call(&mut entry, 0);
    // The next answer to a probe shows room for one call.
    entry.reports.insert("s1".into(), load(SLOTS - 1, 100));
    entry.advance(5 * MS);
    let low = entry.call();
    let low = Call { options: CallOptions { priority: 3, ..low.options }, ..low };
    let id = low.id;
    let mut actions = entry.arrive(low);
    let end = entry.now + 70 * MS;
    while entry.now < end {
        actions.extend(entry.advance(MS));
        if sent(&actions, high).is_some() {
            // The server's report includes the call that was sent to it.
            entry.reports.insert("s1".into(), load(SLOTS, 100));
        }
    }
    assert!(sent(&actions, high).is_some());
    assert!(sent(&actions, id).is_none());
}

/// Guards against an unbounded queue, and against a full one that rejects calls of high priority.
#[test]
fn a_full_queue_rejects_the_lowest_priority() {
    let options = BalancerOptions { data_centre: "a".into(), queue_limit: 2, ..BalancerOptions::default() };
    let mut entry = loaded_entry_with(&EIGHT, FULL_QUEUE, options);
    queue_call(&mut entry, 1);
    let lowest = queue_call(&mut entry, 2);
    let call = entry.call();
    let actions = entry.arrive(call);
    assert_eq!(rejected(&actions, lowest).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::Overload)));
    let call = entry.call();
    let call = Call { options: CallOptions { priority: 5, ..call.options }, ..call };
    let id = call.id;
    let actions = entry.arrive(call);
    assert!(rejected(&actions, id).is_some());
    assert_eq!(entry.balancer.waiting(), 2);
}

/// Guards against own calls that are not counted against the slots.
#[test]
fn own_calls_count_against_the_room() {
    let mut entry = loaded_entry(&TWO, 0);
    let mut running = Vec::new();
    for _ in 0..2 * SLOTS {
        running.push(entry.send_lookup());
    }
    // The servers' reports would still show no load if they were outdated.
    let id = queue_call(&mut entry, 0);
    let (call, server) = &running[0];
    let actions = entry.finish(*call, server, AttemptResult::Complete);
    assert!(sent(&actions, id).is_some(), "the end of a call frees a slot");
}

/// Guards against calls that keep waiting after the last server has left.
#[test]
fn waiting_calls_are_rejected_when_the_servers_leave() {
    let mut entry = loaded_entry(&EIGHT, FULL_QUEUE);
    let id = queue_call(&mut entry, 0);
    entry.views.clear();
    let actions = entry.announce();
    assert_eq!(rejected(&actions, id).map(|(outcome, _)| outcome), Some(Outcome::NotRun(NotRunReason::NoServer)));
}
