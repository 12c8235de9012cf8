//! The budget of extra attempts over a sliding window.

use {
    hemlockford_core::retry::SlidingBudget,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;

/// Guards against entries that each keep to the limit while their sum exceeds it, and against windows that
/// start at another time than the entry's own.
#[test]
fn every_window_holds_summed_over_entries() {
    for seed in 1..=5 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = 7;
        let mut budgets = vec![SlidingBudget::new(RATIO, SLACK, WINDOW); entries];
        let start = Instant::now();
        let (mut requests, mut extra) = (Vec::new(), Vec::new());
        for step in 0..60_000_u64 {
            let now = start + Duration::from_millis(step);
            // The rate changes every 3 s, and a request requires two extra attempts with a probability of
            // 0.6.
            let rate = [0.3, 0.05, 0.15][(step as usize / 3_000) % 3];
            if !rng.random_bool(rate) {
                continue;
            }
            let budget = &mut budgets[rng.random_range(0..entries)];
            budget.record_request(now);
            requests.push(now);
            for _ in 0..2 * u32::from(rng.random_bool(0.6)) {
                if budget.try_spend(now, entries) {
                    extra.push(now);
                }
            }
        }
        assert!(extra.len() as f64 >= 0.15 * requests.len() as f64, "{} of {}", extra.len(), requests.len());
        // A window that ends with an extra attempt contains the most of them.
        for end in &extra {
            let within = |times: &[Instant]| times.iter().filter(|at| **at <= *end && *end < **at + WINDOW).count();
            let limit = RATIO * within(&requests) as f64 + SLACK;
            assert!(within(&extra) as f64 <= limit, "{} extra, at most {limit}", within(&extra));
        }
    }
}

/// Guards against extra attempts that are no longer counted within the window, and against requests that are
/// counted after it.
#[test]
fn old_requests_and_attempts_expire() {
    let start = Instant::now();
    let mut budget = SlidingBudget::new(0.5, 0.0, WINDOW);
    for _ in 0..100 {
        budget.record_request(start);
    }
    let spent = (0..100).filter(|_| budget.try_spend(start, 1)).count();
    assert_eq!(spent, 45);
    assert!(!budget.may_spend(start + WINDOW / 2, 1), "the attempts still count");
    assert!(!budget.may_spend(start + WINDOW, 1), "the requests no longer count");
    let later = start + 2 * WINDOW;
    for _ in 0..10 {
        budget.record_request(later);
    }
    assert_eq!((0..100).filter(|_| budget.try_spend(later, 1)).count(), 4, "the attempts have expired");
}

/// Guards against entries that each use the whole slack.
#[test]
fn the_slack_is_divided_among_the_entries() {
    for entries in [1, 7, 44] {
        let now = Instant::now();
        let mut budget = SlidingBudget::new(RATIO, SLACK, WINDOW);
        let spent = (0..100).filter(|_| budget.try_spend(now, entries)).count();
        assert_eq!(spent, (0.7 * SLACK / entries as f64) as usize);
    }
}
