//! Retry token bucket of one service at the first entry of its call chains.

use {
    crate::units::Share,
    std::time::{Duration, Instant},
};

/// Units of the balance per token; a [`Share`] has the same unit.
const ONE_TOKEN: u64 = 1_000_000;
/// Capacity of the bucket. It is small, because a short fault may use all tokens at once.
const MAX_TOKENS: u64 = 10;
/// Tokens reserved for failures at the first entry itself; only those above are passed on with calls.
const RESERVED_TOKENS: u64 = MAX_TOKENS / 2;
/// Time without a call after which the tokens expire, because past load does not show what the servers can
/// handle now.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Retry token bucket of one service, filled by the calls that start a chain at this entry.
///
/// At any time the number of tokens spent is at most the share of the calls counted.
///
/// ```
/// use {hemlockford_core::{retry::RetryBudget, units::Share}, std::time::Instant};
/// let now = Instant::now();
/// let mut budget = RetryBudget::new(Share::parse("10%").unwrap());
/// for _ in 0..9 {
///     budget.record_call(now);
/// }
/// assert!(!budget.try_spend(now));
/// budget.record_call(now);
/// assert!(budget.try_spend(now));
/// assert!(!budget.try_spend(now));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit_per_call: u64,
    balance: u64,
    last_call: Option<Instant>,
}

impl RetryBudget {
    /// Creates an empty bucket that gains a share of a token with each call.
    pub fn new(share: Share) -> Self {
        Self { credit_per_call: millionths(share), balance: 0, last_call: None }
    }

    /// Changes the share; the balance is kept.
    pub fn set_share(&mut self, share: Share) {
        self.credit_per_call = millionths(share);
    }

    /// Counts a call that starts a chain. Calls from other entries of a chain are not counted.
    pub fn record_call(&mut self, now: Instant) {
        self.expire_if_idle(now);
        self.balance = (self.balance + self.credit_per_call).min(MAX_TOKENS * ONE_TOKEN);
        self.last_call = Some(now);
    }

    /// Takes a token for a failed call at the first entry; returns whether there was one.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.take_above_reserve(now, 0)
    }

    /// Takes a token to be passed on with a new call; returns whether there was one.
    pub fn try_issue(&mut self, now: Instant) -> bool {
        self.take_above_reserve(now, RESERVED_TOKENS * ONE_TOKEN)
    }

    fn take_above_reserve(&mut self, now: Instant, reserved: u64) -> bool {
        self.expire_if_idle(now);
        let has_token = self.balance >= reserved + ONE_TOKEN;
        if has_token {
            self.balance -= ONE_TOKEN;
        }
        has_token
    }

    fn expire_if_idle(&mut self, now: Instant) {
        if self.last_call.is_some_and(|last| now.saturating_duration_since(last) >= IDLE_TIMEOUT) {
            self.balance = 0;
        }
    }
}

fn millionths(share: Share) -> u64 {
    (share.fraction() * ONE_TOKEN as f64).round() as u64
}
