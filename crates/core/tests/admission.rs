//! Waiting calls are served by weight and rejected when they cannot be answered in time.

use {
    hemlockford_core::{
        admission::{FairQueue, LatencyEstimate, QueueLimits, QueuedCall},
        collections::FastMap,
        outcome::NotRunReason,
    },
    std::time::{Duration, Instant},
};

fn latency_estimate(lookup: u64, upload: u64) -> LatencyEstimate {
    let mut latency_estimate = LatencyEstimate::default();
    latency_estimate.observe(false, Duration::from_millis(lookup));
    latency_estimate.observe(true, Duration::from_millis(upload));
    latency_estimate
}

fn fill(queue: &mut FairQueue, now: Instant, customer: &str, weight: f64, count: u64, upload: bool) {
    for call in 0..count {
        let queued = QueuedCall { call, upload, deadline: now + Duration::from_secs(60) };
        queue.push_unchecked(customer, weight, queued);
    }
}

fn served(queue: &mut FairQueue, latency_estimate: &LatencyEstimate, count: usize) -> FastMap<(Box<str>, bool), usize> {
    let mut served = FastMap::default();
    for _ in 0..count {
        let Some((customer, queued)) = queue.pop(latency_estimate, true) else { break };
        *served.entry((customer, queued.upload)).or_default() += 1;
    }
    served
}

/// Guards against a customer with a long queue getting more than its weight, and against unused shares being
/// lost.
#[test]
fn customers_are_served_by_weight() {
    let (now, latency_estimate) = (Instant::now(), latency_estimate(10, 10));
    let mut queue = FairQueue::default();
    fill(&mut queue, now, "noisy", 1.0, 1_000, false);
    fill(&mut queue, now, "heavy", 3.0, 1_000, false);
    fill(&mut queue, now, "quiet", 1.0, 10, false);
    let served = served(&mut queue, &latency_estimate, 410);
    assert_eq!(served[&("quiet".into(), false)], 10);
    let (noisy, heavy) = (served[&("noisy".into(), false)], served[&("heavy".into(), false)]);
    assert!((98..=102).contains(&noisy) && (298..=302).contains(&heavy), "{noisy} and {heavy}");
}

/// Guards against starvation of a customer: one of weight 0, or one beside others with long queues.
#[test]
fn every_customer_is_served() {
    let (now, latency_estimate) = (Instant::now(), latency_estimate(10, 10));
    let mut queue = FairQueue::default();
    for customer in 0..50 {
        fill(&mut queue, now, &format!("customer-{customer}"), 1.0, 100, false);
    }
    fill(&mut queue, now, "nothing", 0.0, 1, false);
    let served = served(&mut queue, &latency_estimate, 50 * 20 + 1);
    assert_eq!(served.len(), 51);
}

/// Guards against uploads that delay look-ups: an upload that holds a slot 8 times as long costs 8 times as
/// much.
#[test]
fn uploads_and_lookups_share_slot_time() {
    let (now, latency_estimate) = (Instant::now(), latency_estimate(10, 80));
    let mut queue = FairQueue::default();
    fill(&mut queue, now, "one", 1.0, 500, true);
    fill(&mut queue, now, "one", 1.0, 500, false);
    fill(&mut queue, now, "two", 1.0, 500, true);
    let served = served(&mut queue, &latency_estimate, 190);
    let count = |customer: &str, upload| served.get(&(Box::from(customer), upload)).copied().unwrap_or_default();
    let slot_time = |customer| count(customer, true) * 8 + count(customer, false);
    let (one, two) = (slot_time("one"), slot_time("two"));
    assert!(one.abs_diff(two) <= 16, "slot time of {one} and {two}");
    assert!(count("one", false).abs_diff(count("one", true) * 8) <= 16);
}

/// Guards against sending uploads while slots are reserved for look-ups, and against look-ups blocked behind
/// them.
#[test]
fn lookups_pass_uploads_that_may_not_start() {
    let (now, latency_estimate) = (Instant::now(), latency_estimate(10, 80));
    let mut queue = FairQueue::default();
    fill(&mut queue, now, "one", 1.0, 3, true);
    fill(&mut queue, now, "two", 1.0, 2, false);
    assert_eq!(queue.pop(&latency_estimate, false).map(|(customer, _)| customer), Some("two".into()));
    assert_eq!(queue.pop(&latency_estimate, false).map(|(customer, _)| customer), Some("two".into()));
    assert_eq!(queue.pop(&latency_estimate, false), None);
    assert_eq!(queue.len(), 3);
    assert!(queue.pop(&latency_estimate, true).is_some());
}

/// Guards against queueing calls that must miss their deadline, and against rejecting calls that could be
/// answered.
#[test]
fn late_calls_are_rejected_immediately() {
    let (now, latency_estimate) = (Instant::now(), latency_estimate(10, 10));
    let mut queue = FairQueue::default();
    let limits = QueueLimits { weight: 1.0, max_calls: 100, slots: 2 };
    let mut push = |customer: &str, millis| {
        let queued = QueuedCall { call: 0, upload: false, deadline: now + Duration::from_millis(millis) };
        queue.try_push(now, customer, queued, &latency_estimate, limits)
    };
    let accepted = (0..1_000).take_while(|_| push("noisy", 110).is_ok()).count();
    assert!((18..=21).contains(&accepted), "{accepted} calls of 10 ms fit 2 slots and 110 ms");
    assert_eq!(push("noisy", 110), Err(NotRunReason::Deadline));
    assert_eq!(push("quiet", 110), Ok(()), "a quiet customer is served soon");
    for _ in 0..200 {
        let _ = push("noisy", 100_000);
    }
    assert_eq!(push("noisy", 100_000), Err(NotRunReason::QueueFull));
}
