//! Cold servers: until when a server is cold, and which calls this entry may send it meanwhile.

use {
    super::{BalancerOptions, FleetPosition, ServerLimit},
    crate::{
        config,
        dispatch::{CallRate, MAX_SERVER_PAUSE},
        slots::NameHash,
    },
    std::time::{Duration, Instant},
};

/// Factor on the sum of the entries' parts while half of the entries divide by outdated positions. The tolerance is
/// reserved for it, so that the bound also holds then.
const MAX_OVERLAP: f64 = 1.5;
/// Further entries that may send calls, by calls per second that the server tolerates. A quarter of the rate is given
/// up for them at most; otherwise few entries of a large fleet could not use the rate of a server that tolerates many.
const USERS_PER_RATE: f64 = 0.25;
/// Entries that may send calls in addition to one for each call per second, so that the first call does not wait long
/// for a token at a low rate.
const ADDITIONAL_USERS: f64 = 2.0;
/// Factor by which a server that seems idle may get more calls than usual until the entries know that it is cold.
const UNNOTICED_FACTOR: f64 = 2.0;
/// Two announced ends that differ by less are the same one, converted between clocks at different times.
const ANNOUNCEMENT_TOLERANCE: Duration = Duration::from_millis(100);

/// How the servers of a service warm up, and how the calls to a cold one are divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct WarmUpRule {
    /// How long a server is cold after its start.
    duration: Duration,
    /// Calls per second that this entry and the others send together.
    rate: CallRate,
    /// Entries that may send calls.
    max_users: usize,
    /// Calls that may reach a cold server in a second.
    allowed: f64,
}

impl WarmUpRule {
    /// Returns the rule of a service, if its servers tolerate a limited rate while they are cold.
    ///
    /// Each of n entries with a token bucket of one call sends at most one call more than its part in any time, so that
    /// all together send n + rate calls in a second, and `MAX_OVERLAP` times as many while positions differ.
    pub(super) fn new(warm_up: Option<config::WarmUp>, options: &BalancerOptions) -> Option<Self> {
        let warm_up = warm_up?;
        let rate = warm_up.rate.value();
        if rate <= 0.0 {
            return None;
        }
        let allowed = rate * options.warm_up_overage + options.warm_up_slack;
        let users = options.warm_up_slack / MAX_OVERLAP + USERS_PER_RATE * rate;
        let users = users.min(rate.floor() + ADDITIONAL_USERS).floor().max(1.0);
        let rate = CallRate::from_per_second(rate.min(allowed / MAX_OVERLAP - users).max(0.0))?;
        Some(Self { duration: warm_up.duration, rate, max_users: users as usize, allowed })
    }
}

/// Why a server counts as cold or warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Its record or a health response.
    Stated,
    /// It may have started anew, and nothing was heard of it since.
    Assumed,
}

/// Until when a server is cold, and this entry's part of the calls that it tolerates meanwhile.
#[derive(Clone, Debug)]
pub(super) struct WarmUp {
    rule: WarmUpRule,
    cold_until: Instant,
    source: Source,
    /// End of the warm-up according to the record.
    announced: Option<Instant>,
    limit: ServerLimit,
    /// Calls sent to the cold server.
    calls: u64,
    /// Whether a log line said that the server is cold.
    is_logged: bool,
}

/// A change that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WarmUpChange {
    /// The server is cold for this time, and this entry may send it this many calls per second.
    Cold(Duration, f64),
    /// The server is warm after this entry has sent it this many calls.
    Warm(u64),
}

impl WarmUp {
    /// Creates the state of a server of which nothing is known.
    pub(super) fn new(now: Instant, rule: WarmUpRule) -> Self {
        Self {
            rule,
            cold_until: now,
            source: Source::Stated,
            announced: None,
            limit: ServerLimit::of_cold_server(now, rule.rate, rule.max_users, 0.0),
            calls: 0,
            is_logged: false,
        }
    }

    pub(super) fn set_rule(&mut self, now: Instant, rule: WarmUpRule, server: NameHash, position: FleetPosition) {
        if self.rule != rule {
            self.rule = rule;
            self.start_limit(now, 0.0, server, position);
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server is cold only by assumption, which a health response may refute.
    pub(super) fn is_assumed_cold(&self, now: Instant) -> bool {
        self.is_cold(now) && self.source == Source::Assumed
    }

    /// Returns whether this entry may send a call now.
    pub(super) fn may_call(&self, now: Instant) -> bool {
        !self.is_cold(now) || self.limit.may_call(now)
    }

    /// Returns when this entry may send a call.
    pub(super) fn next_call_at(&self, now: Instant) -> Instant {
        if !self.is_cold(now) {
            return now;
        }
        self.limit.next_call_at(now).map_or(self.cold_until, |at| at.min(self.cold_until))
    }

    /// Returns whether a probe is due that shows whether the server is cold as assumed.
    pub(super) fn is_check_due(&self, now: Instant) -> bool {
        self.is_assumed_cold(now) && self.limit.is_check_due(now)
    }

    /// Returns whether a cold server tolerates the usual rate of calls, even if it gets more than others for a time
    /// because it seems idle.
    pub(super) fn tolerates(&self, calls_per_second: f64) -> bool {
        UNNOTICED_FACTOR * calls_per_second <= self.rule.allowed
    }

    pub(super) fn limit_mut(&mut self) -> &mut ServerLimit {
        &mut self.limit
    }

    /// Returns the calls per second that this entry may send while the server is cold.
    pub(super) fn share(&self) -> f64 {
        self.limit.share()
    }

    /// Counts a call that is sent.
    pub(super) fn record_call(&mut self, now: Instant) {
        if self.is_cold(now) {
            self.limit.take_token(now);
            self.calls += 1;
        }
    }

    /// Records the end of the warm-up according to the server's record.
    pub(super) fn announce(&mut self, now: Instant, warm_at: Instant, server: NameHash, position: FleetPosition) {
        let is_known =
            self.announced.is_some_and(|known| known.max(warm_at) - known.min(warm_at) < ANNOUNCEMENT_TOLERANCE);
        self.announced = Some(warm_at);
        if !is_known && warm_at > now {
            self.extend(now, warm_at.max(self.cold_until), Source::Stated, server, position);
        }
    }

    /// Records that the server may have started anew.
    pub(super) fn assume(&mut self, now: Instant, server: NameHash, position: FleetPosition) {
        let until = now + self.rule.duration;
        if until > self.cold_until {
            self.extend(now, until, Source::Assumed, server, position);
        }
    }

    /// Lets this entry send a part of the first call of a server that joined, so that the entries that may call it do
    /// not wait equally long. A server that has had no calls before gets one from each of them at most.
    pub(super) fn grant(&mut self, tokens: f64) {
        self.limit.set_tokens(tokens);
    }

    /// Records how long the server stays cold according to a health response, or that the response says nothing.
    pub(super) fn record_health(
        &mut self,
        now: Instant,
        left: Option<Duration>,
        are_others_stated: bool,
        server: NameHash,
        position: FleetPosition,
    ) {
        match left {
            Some(left) => {
                let until = now + left.min(MAX_SERVER_PAUSE);
                self.extend(now, until, Source::Stated, server, position);
            }
            // Servers may state it only while they are cold. If they never do, nothing follows.
            None if are_others_stated && self.is_assumed_cold(now) => self.cold_until = now,
            None => {}
        }
    }

    /// Returns the change since the last call that operators are told of, if this entry may send calls.
    pub(super) fn take_change(&mut self, now: Instant) -> Option<WarmUpChange> {
        let is_cold = self.is_cold(now);
        match (is_cold, self.is_logged) {
            (true, false) if self.share() > 0.0 => {
                self.is_logged = true;
                Some(WarmUpChange::Cold(self.cold_until.saturating_duration_since(now), self.share()))
            }
            (false, true) => {
                self.is_logged = false;
                Some(WarmUpChange::Warm(std::mem::take(&mut self.calls)))
            }
            _ => None,
        }
    }

    fn extend(&mut self, now: Instant, until: Instant, source: Source, server: NameHash, position: FleetPosition) {
        if !self.is_cold(now) {
            self.start_limit(now, 0.0, server, position);
            if !self.is_logged {
                self.calls = 0;
            }
        }
        (self.cold_until, self.source) = (until, source);
    }

    fn start_limit(&mut self, now: Instant, tokens: f64, server: NameHash, position: FleetPosition) {
        self.limit = ServerLimit::of_cold_server(now, self.rule.rate, self.rule.max_users, tokens);
        self.limit.divide(now, server, position);
    }
}
