//! Retry tokens along a chain of services.

use {
    hemlockford_core::{
        dispatch::AttemptResult,
        retry::{RetryBudget, forwards_token, may_use_token},
        units::Share,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

const LEVELS: usize = 24;
const CALLS: u32 = 3_000;
const SHARE: Share = Share::from_millionths(100_000);

#[derive(Clone, Copy, PartialEq)]
enum Scheme {
    None,
    PerLevel,
    Token,
}

/// A chain in which each level calls the next one. An attempt fails by itself with some probability, or
/// because the call to the next level failed.
struct Chain {
    scheme: Scheme,
    failure: f64,
    last_failure: f64,
    rng: SmallRng,
    now: Instant,
    budgets: Vec<RetryBudget>,
    attempts: [u32; LEVELS],
}

impl Chain {
    fn new(seed: u64, scheme: Scheme, failure: f64, last_failure: f64) -> Self {
        let budgets = vec![RetryBudget::new(SHARE); LEVELS];
        let rng = SmallRng::seed_from_u64(seed);
        Self { scheme, failure, last_failure, rng, now: Instant::now(), budgets, attempts: [0; LEVELS] }
    }

    /// Calls the service of a level; returns whether the call was answered.
    fn call(&mut self, level: usize, has_token: bool) -> bool {
        if level == 0 || self.scheme == Scheme::PerLevel {
            self.budgets[level].record_call(self.now);
        }
        let is_first = level == 0 && self.scheme == Scheme::Token;
        let token = has_token || is_first && self.budgets[0].try_issue(self.now);
        let passes = token && forwards_token(level + 1 < LEVELS, false);
        let result = self.attempt(level, passes);
        if result == AttemptResult::Complete {
            return true;
        }
        let may_retry = match self.scheme {
            Scheme::None => false,
            Scheme::PerLevel => self.budgets[level].try_spend(self.now),
            Scheme::Token if token => may_use_token(result, passes),
            Scheme::Token => is_first && self.budgets[0].try_spend(self.now),
        };
        may_retry && self.attempt(level, false) == AttemptResult::Complete
    }

    fn attempt(&mut self, level: usize, token: bool) -> AttemptResult {
        self.attempts[level] += 1;
        let failure = if level + 1 == LEVELS { self.last_failure } else { self.failure };
        if self.rng.random_bool(failure) {
            // Half of the failures are connections that cannot be opened.
            let is_refused = self.rng.random_bool(0.5);
            return if is_refused { AttemptResult::RefusedBeforeWrite } else { AttemptResult::ServerError };
        }
        let is_answered = level + 1 == LEVELS || self.call(level + 1, token);
        if is_answered { AttemptResult::Complete } else { AttemptResult::ServerError }
    }
}

/// Returns the maximum number of attempts per call at any level, and the share of calls answered.
fn run(seed: u64, scheme: Scheme, failure: f64, last_failure: f64) -> (f64, f64) {
    let mut chain = Chain::new(seed, scheme, failure, last_failure);
    let mut answered = 0;
    for _ in 0..CALLS {
        chain.now += Duration::from_millis(1);
        answered += u32::from(chain.call(0, false));
    }
    let max_attempts = *chain.attempts.iter().max().unwrap();
    (f64::from(max_attempts) / f64::from(CALLS), f64::from(answered) / f64::from(CALLS))
}

/// Guards against retries that multiply over the levels of a chain.
#[test]
fn a_chain_stays_within_the_share() {
    println!("failure  scheme     most attempts at a level  answered");
    for failure in [0.001, 0.01, 0.05, 0.1] {
        for (scheme, label) in [(Scheme::None, "none"), (Scheme::PerLevel, "per level"), (Scheme::Token, "token")] {
            let runs: Vec<_> = (0..5).map(|seed| run(seed, scheme, failure, failure)).collect();
            let max_attempts = runs.iter().map(|(max_attempts, _)| *max_attempts).fold(0.0, f64::max);
            let answered = runs.iter().map(|(_, answered)| answered).sum::<f64>() / runs.len() as f64;
            println!("{failure:>7} {label:>10} {max_attempts:>23.3} {answered:>9.3}");
            assert!(scheme != Scheme::Token || max_attempts <= 1.0 + SHARE.fraction(), "{failure}: {max_attempts}");
        }
    }
}

/// Guards against a comparison that understates budgets per level: if the last level always fails, each level
/// adds 10%.
#[test]
fn budgets_for_each_level_multiply() {
    let [(per_level, _), (token, _)] = [Scheme::PerLevel, Scheme::Token].map(|scheme| run(0, scheme, 0.0, 1.0));
    println!("attempts per call at level {LEVELS}: per level {per_level:.2}, token {token:.2}");
    assert!(per_level > 9.0, "1.1^24 = 9.85");
    assert!(token <= 1.0 + SHARE.fraction());
}

/// Guards against a bucket that exceeds the share from the start, allows a large burst or keeps old tokens.
#[test]
fn bucket_is_bounded() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut budget = RetryBudget::new(SHARE);
    let (mut calls, mut spent) = (0_u32, 0_u32);
    for _ in 0..10_000 {
        budget.record_call(start);
        calls += 1;
        let takes = if rng.random_bool(0.5) { budget.try_spend(start) } else { budget.try_issue(start) };
        spent += u32::from(takes);
        assert!(spent * 10 <= calls, "{spent} tokens for {calls} calls");
    }
    (0..10_000).for_each(|_| budget.record_call(start));
    let burst = (0..100).filter(|_| budget.try_spend(start)).count();
    assert_eq!(burst, 10);
    (0..10_000).for_each(|_| budget.record_call(start));
    assert!(!budget.try_spend(start + Duration::from_secs(60)), "tokens expire");
    assert!(!RetryBudget::new(Share::default()).try_spend(start), "a share of zero allows no retry");
}
