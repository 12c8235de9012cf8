//! Decision on second copies of slow calls.

use {
    hemlockford_core::{
        probing::{HedgeCase, HedgeRefusal, Hedging},
        retry::SlidingBudget,
    },
    std::{
        iter::repeat_n,
        time::{Duration, Instant},
    },
};

/// Answers of a kind after which copies are sent.
const MIN_ANSWERS: u32 = 30;
const OBJECTIVE: Duration = Duration::from_millis(400);

fn hedging(share: f64) -> Hedging {
    Hedging::new(share, Duration::from_secs(10)).expect("a share")
}

fn case() -> HedgeCase {
    HedgeCase {
        has_queue: false,
        load: 0.3,
        has_attempts: true,
        is_suspected: false,
        is_path_open: true,
        expected: Some(Duration::from_millis(200)),
        left: Duration::from_millis(800),
    }
}

/// Guards against copies of a deployment that has no share for them, and against copies before the usual time is
/// known.
#[test]
fn nothing_is_sent_without_a_share_or_answers() {
    assert!(Hedging::new(0.0, Duration::from_secs(10)).is_none());
    let mut hedging = hedging(0.05);
    for _ in 1..MIN_ANSWERS {
        hedging.record_answer(OBJECTIVE, Duration::from_millis(100), 1.0);
        assert_eq!(hedging.delay(OBJECTIVE, 1.0), None);
    }
    hedging.record_answer(OBJECTIVE, Duration::from_millis(100), 1.0);
    assert!(hedging.delay(OBJECTIVE, 1.0).is_some());
    assert_eq!(hedging.delay(OBJECTIVE * 2, 1.0), None, "another kind");
}

/// Guards against copies of usual answers, and against a delay that ignores the speed of the server.
#[test]
fn the_delay_lies_between_usual_and_slow_answers() {
    let mut hedging = hedging(0.05);
    // One answer in 50 is slow.
    for number in 0..3_000 {
        let ms = if number % 50 == 0 { 900 } else { 90 + number % 21 };
        hedging.record_answer(OBJECTIVE, Duration::from_millis(ms * 2), 2.0);
    }
    let delay = hedging.delay(OBJECTIVE, 1.0).expect("a delay");
    assert!((Duration::from_millis(100)..Duration::from_millis(300)).contains(&delay), "{delay:?}");
    let slow = hedging.delay(OBJECTIVE, 4.0).expect("a delay");
    assert!(slow.abs_diff(delay * 4) < Duration::from_micros(1), "{slow:?}");
}

/// Guards against copies of all calls when all servers are slow, and against a delay that stays short because slow
/// attempts are cancelled.
#[test]
fn the_delay_follows_servers_that_are_all_slow() {
    let mut hedging = hedging(0.05);
    repeat_n((), 200).for_each(|()| hedging.record_answer(OBJECTIVE, Duration::from_millis(100), 1.0));
    for _ in 0..20 {
        let delay = hedging.delay(OBJECTIVE, 1.0).expect("a delay");
        hedging.record_cancelled(OBJECTIVE, delay + Duration::from_millis(10), 1.0);
    }
    let delay = hedging.delay(OBJECTIVE, 1.0).expect("a delay");
    assert!(delay > Duration::from_millis(300), "{delay:?}");
}

/// Guards against copies beyond their share or the budget of extra attempts.
#[test]
fn copies_keep_to_both_budgets() {
    let now = Instant::now();
    for (share, ratio, refusal) in [(0.05, 0.2, HedgeRefusal::Share), (0.2, 0.05, HedgeRefusal::Budget)] {
        let mut hedging = hedging(share);
        let mut retry_budget = SlidingBudget::new(ratio, 0.0, Duration::from_secs(10));
        for _ in 0..1_000 {
            hedging.record_request(now);
            retry_budget.record_request(now);
        }
        let sent = (0..1_000).take_while(|_| hedging.try_spend(now, &mut retry_budget, 7).is_ok()).count();
        assert!((40..=50).contains(&sent), "{sent}");
        assert_eq!(hedging.try_spend(now, &mut retry_budget, 7), Err(refusal));
    }
}

/// Guards against copies that do harm or come too late.
#[test]
fn copies_are_refused() {
    assert_eq!(Hedging::check(&case()), Ok(()));
    let refused = [
        (HedgeCase { has_queue: true, ..case() }, HedgeRefusal::Queue),
        (HedgeCase { load: 0.7, ..case() }, HedgeRefusal::Load),
        (HedgeCase { has_attempts: false, ..case() }, HedgeRefusal::Attempts),
        (HedgeCase { is_suspected: true, ..case() }, HedgeRefusal::Suspect),
        (HedgeCase { is_path_open: false, ..case() }, HedgeRefusal::Path),
        (HedgeCase { expected: None, ..case() }, HedgeRefusal::NoServer),
        (HedgeCase { left: Duration::from_millis(250), ..case() }, HedgeRefusal::Time),
    ];
    for (case, refusal) in refused {
        assert_eq!(Hedging::check(&case), Err(refusal), "{case:?}");
    }
}
