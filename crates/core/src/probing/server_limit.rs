//! Limit on the rate of calls to a server from all entries together, which it has named or which holds while it is cold.

use {
    super::FleetPosition,
    crate::{dispatch::CallRate, slots::NameHash},
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Entries that may send calls to a limited server, in addition to one for each call per second. Each of them may send
/// one call more than its rate allows in any time, so that few entries with a higher rate each keep the sum closer to
/// the limit than many; with more than one, the loss of an entry does not leave the server unused.
const ADDITIONAL_USERS: usize = 2;
/// Minimum interval between an entry's probes of a limited server, which show the end of the limit.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Such probes of all entries together per second, so that a server in need gets few of a large fleet.
const CHECKS_PER_SECOND: f64 = 5.0;
/// Time after which a limit that is not named again is tested with a call, as servers may not name it to probes.
const TEST_AFTER: Duration = Duration::from_secs(60);
/// Share of the limit that such calls of all entries together take at most.
const TEST_SHARE: f64 = 0.25;
/// Lowest rate that is assumed for the interval between such calls, in calls per second.
const MIN_TEST_RATE: f64 = 0.1;

/// A server's limit on the rate of calls, and the part of it that this entry may use.
///
/// The server has named it, or it is cold. A few entries divide the limit among them, chosen by their positions in the fleet and the name of the server, so
/// that the sum does not grow with the number of entries. The others send no calls. A part is a token bucket that holds
/// one call and is empty at first, because calls were sent without a limit before.
#[derive(Clone, Debug)]
pub(super) struct ServerLimit {
    rate: CallRate,
    /// Entries that may send calls.
    max_users: usize,
    /// Calls per second that this entry may send.
    share: f64,
    tokens: f64,
    updated_at: Instant,
    next_check_at: Instant,
    /// When a call is sent regardless, to learn whether the limit still holds; never to a cold server.
    test_at: Option<Instant>,
}

impl ServerLimit {
    pub(super) fn new(now: Instant, rate: CallRate) -> Self {
        let test_at = Some(now + TEST_AFTER);
        Self {
            rate,
            max_users: named_users(rate),
            share: 0.0,
            tokens: 0.0,
            updated_at: now,
            next_check_at: now,
            test_at,
        }
    }

    /// Creates the limit of a cold server. An entry that does not know its position sends none.
    pub(super) fn of_cold_server(now: Instant, rate: CallRate, max_users: usize, tokens: f64) -> Self {
        Self { rate, max_users, share: 0.0, tokens, updated_at: now, next_check_at: now, test_at: None }
    }

    /// Records an answer that names the limit.
    pub(super) fn record(
        &mut self,
        now: Instant,
        rate: CallRate,
        server: NameHash,
        position: FleetPosition,
        rng: &mut SmallRng,
    ) {
        self.rate = rate;
        self.max_users = named_users(rate);
        self.divide(now, server, position);
        self.postpone_check(now, position, rng);
        self.postpone_test(now, position, rng);
    }

    /// Determines the part of this entry.
    pub(super) fn divide(&mut self, now: Instant, server: NameHash, position: FleetPosition) {
        self.tokens = self.tokens(now);
        self.updated_at = now;
        let rate = self.rate.per_second();
        let users = self.max_users.min(position.entries);
        let may_use = position.is_known || self.test_at.is_some();
        let is_user = may_use && position.rotated_by(server) < users;
        self.share = if is_user { rate / users as f64 } else { 0.0 };
        if !is_user {
            // Otherwise each entry that was a user could send one call more while positions change.
            self.tokens = 0.0;
        }
    }

    /// Returns whether this entry may send a call now.
    pub(super) fn may_call(&self, now: Instant) -> bool {
        self.tokens(now) >= 1.0 || self.is_test_due(now)
    }

    /// Returns when this entry may send a call, if it may send any.
    pub(super) fn next_call_at(&self, now: Instant) -> Option<Instant> {
        let missing = (1.0 - self.tokens(now)).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.share).ok()?;
        now.checked_add(wait)
    }

    /// Records a call to the server.
    pub(super) fn record_call(&mut self, now: Instant, position: FleetPosition, rng: &mut SmallRng) {
        let is_test = self.is_test_due(now);
        self.take_token(now);
        if is_test {
            self.postpone_test(now, position, rng);
        }
    }

    /// Takes the token of a call.
    pub(super) fn take_token(&mut self, now: Instant) {
        self.set_tokens((self.tokens(now) - 1.0).max(0.0));
        self.updated_at = now;
    }

    /// Sets the tokens of an entry that may send calls.
    pub(super) fn set_tokens(&mut self, tokens: f64) {
        self.tokens = if self.share > 0.0 { tokens } else { 0.0 };
    }

    /// Returns the calls per second that this entry may send.
    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether a probe is due that shows whether the limit still holds.
    pub(super) fn is_check_due(&self, now: Instant) -> bool {
        now >= self.next_check_at
    }

    /// Schedules the next probe that shows whether the limit still holds.
    pub(super) fn postpone_check(&mut self, now: Instant, position: FleetPosition, rng: &mut SmallRng) {
        let interval = Duration::from_secs_f64(position.entries as f64 / CHECKS_PER_SECOND).max(MIN_CHECK_INTERVAL);
        self.next_check_at = now + interval.mul_f64(rng.random_range(1.0..1.5));
    }

    /// Schedules the next call that tests the limit. The entries were told at about the same time, so that their calls
    /// are spread at random.
    fn postpone_test(&mut self, now: Instant, position: FleetPosition, rng: &mut SmallRng) {
        let rate = self.rate.per_second().max(MIN_TEST_RATE);
        let spread = Duration::from_secs_f64(position.entries as f64 / (TEST_SHARE * rate));
        self.test_at = Some(now + TEST_AFTER + spread.mul_f64(rng.random_range(0.0..1.0)));
    }

    fn is_test_due(&self, now: Instant) -> bool {
        self.test_at.is_some_and(|at| now >= at)
    }

    fn tokens(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + self.share * elapsed).min(1.0)
    }
}

/// Returns the number of entries among which a limit that a server has named is divided.
fn named_users(rate: CallRate) -> usize {
    (rate.per_second() as usize).saturating_add(ADDITIONAL_USERS)
}
