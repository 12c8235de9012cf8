//! The state machine that estimates the health of the servers of one service.

use {
    super::{Eligibility, HealthOptions, estimate::Estimate},
    crate::{
        collections::FastMap,
        dispatch::{AttemptResult, LoadReport},
        ids::ServerId,
    },
    std::time::{Duration, Instant},
};

/// A server whose mean latency is this many times that of the others is ejected.
const SLOW_RATIO: f64 = 3.0;
/// Two consecutive answers that are this many times slower than the typical latency suffice for an ejection.
/// With exponentially distributed service times one answer in 148 is that slow, so two in a row are rare at a
/// healthy server.
const VERY_SLOW_RATIO: f64 = 5.0;
/// Number of consecutive answers that are this slow and suffice for an ejection.
const VERY_SLOW_ANSWERS: u32 = 2;
/// Excess of a server's failure rate over that of the others, as a share of calls, at which it is ejected;
/// three consecutive failures reach it.
const FAILURE_MARGIN: f64 = 0.3;
/// Evidence, in observations, below which a server is not ejected because of its mean.
const MIN_EVIDENCE: f64 = 2.5;
/// At most one in this many servers is ejected.
const MIN_SERVERS_PER_EJECTION: usize = 3;
/// Minimum latency in seconds, which keeps logarithms finite.
const MIN_LATENCY: f64 = 1e-6;

/// Estimates the health of the servers of one service from the answers that this entry sees.
///
/// ```
/// use {
///     hemlockford_core::{dispatch::AttemptResult, health::{HealthMonitor, HealthOptions, Eligibility}},
///     std::time::{Duration, Instant},
/// };
/// let now = Instant::now();
/// let later = now + Duration::from_secs(60);
/// let mut health = HealthMonitor::new(HealthOptions::default());
/// for server in ["a", "b"] {
///     health.add_server(now, server, now);
/// }
/// health.observe(later, "a", AttemptResult::Complete, Duration::from_millis(5), None);
/// health.observe(later, "b", AttemptResult::ServerError, Duration::from_millis(1), None);
/// assert!(health.score(later, "a") < health.score(later, "b"));
/// assert_eq!(health.eligibility(later, "a"), Eligibility::Usable);
/// ```
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    options: HealthOptions,
    servers: FastMap<ServerId, Estimate>,
    /// Sum of the logarithms of the mean latencies of the servers that have answered.
    log_latency_sum: f64,
    answered_servers: usize,
    /// Sum of the failure rates of all servers.
    failure_sum: f64,
    ejected: usize,
    slots: u64,
    ejected_slots: u64,
    demand: u64,
}

impl HealthMonitor {
    /// Creates a monitor without servers.
    pub fn new(options: HealthOptions) -> Self {
        Self {
            options,
            servers: FastMap::default(),
            log_latency_sum: 0.0,
            answered_servers: 0,
            failure_sum: 0.0,
            ejected: 0,
            slots: 0,
            ejected_slots: 0,
            demand: 0,
        }
    }

    /// Adds a server. A known server is left unchanged unless it has become ready again.
    pub fn add_server(&mut self, now: Instant, server: &str, ready_since: Instant) {
        let known = self.servers.get(server);
        if known.is_some_and(|estimate| estimate.ready_since >= ready_since) {
            return;
        }
        let place = known.map(|estimate| (estimate.slots, estimate.is_remote));
        self.remove_server(server);
        let mut estimate = Estimate::new(now, ready_since);
        if let Some((slots, is_remote)) = place {
            (estimate.slots, estimate.is_remote) = (slots, is_remote);
        }
        self.slots += u64::from(estimate.slots);
        self.servers.insert(server.into(), estimate);
    }

    /// Sets the data centre and the number of slots of a known server.
    pub fn update_server(&mut self, now: Instant, server: &str, data_centre: &str, slots: u32) {
        let Some(estimate) = self.servers.get_mut(server) else { return };
        estimate.is_remote = data_centre != &*self.options.data_centre;
        let old = u64::from(std::mem::replace(&mut estimate.slots, slots));
        let slots = u64::from(slots);
        self.slots = self.slots - old + slots;
        if estimate.ejection.is_ejected() {
            self.ejected_slots = self.ejected_slots - old + slots;
        }
        self.restore_capacity(now);
    }

    /// Removes a server.
    pub fn remove_server(&mut self, server: &str) {
        let Some(estimate) = self.servers.remove(server) else { return };
        self.exclude_from_totals(&estimate);
        self.slots -= u64::from(estimate.slots);
        if estimate.ejection.is_ejected() {
            self.ejected -= 1;
            self.ejected_slots -= u64::from(estimate.slots);
        }
    }

    /// Sets the number of calls in flight at the service. Ejected servers are reinstated if the others have
    /// too few slots for them.
    pub fn set_demand(&mut self, now: Instant, in_flight: u32) {
        self.demand = u64::from(in_flight);
        self.restore_capacity(now);
    }

    /// Records the end of one attempt.
    pub fn observe(
        &mut self,
        now: Instant,
        server: &str,
        result: AttemptResult,
        latency: Duration,
        report: Option<LoadReport>,
    ) {
        let Some((server, mut estimate)) = self.servers.remove_entry(server) else { return };
        if let Some(report) = report {
            estimate.set_report(now, report);
        }
        if matches!(result, AttemptResult::CallerLeft | AttemptResult::Superseded) {
            estimate.ejection.cancel_trial();
        } else {
            self.exclude_from_totals(&estimate);
            self.update(now, &mut estimate, result, latency.as_secs_f64().max(MIN_LATENCY));
            self.include_in_totals(&estimate);
        }
        self.servers.insert(server, estimate);
    }

    /// Records a load report that was received without a call.
    pub fn record_report(&mut self, now: Instant, server: &str, report: LoadReport) {
        if let Some(estimate) = self.servers.get_mut(server) {
            estimate.set_report(now, report);
        }
    }

    /// Records that a call was sent to a server that is [`Eligibility::Trial`]. The server gets no other call
    /// until this one has ended.
    pub fn begin_trial(&mut self, now: Instant, server: &str) {
        if let Some(estimate) = self.servers.get_mut(server) {
            estimate.ejection.begin_trial(now);
        }
    }

    /// Returns the expected seconds of a call to a server; lower is better. The cost of this does not depend
    /// on the number of servers.
    pub fn score(&self, now: Instant, server: &str) -> f64 {
        let typical = self.typical_latency();
        match self.servers.get(server) {
            Some(estimate) => estimate.score(now, typical, &self.options),
            None => typical,
        }
    }

    /// Returns whether a server may get calls.
    pub fn eligibility(&mut self, now: Instant, server: &str) -> Eligibility {
        // Other servers may have been removed, so that too few are left.
        self.restore_capacity(now);
        let Some(estimate) = self.servers.get(server) else { return Eligibility::Usable };
        if estimate.ejection.may_start_trial(now) {
            return Eligibility::Trial;
        }
        if estimate.ejection.is_ejected() {
            return Eligibility::Ejected;
        }
        match estimate.warm_up_share(now, self.options.slow_start) {
            Some(share) => Eligibility::WarmingUp { share },
            None => Eligibility::Usable,
        }
    }

    /// Updates an estimate that has been taken out of the totals, so that these describe the other servers.
    fn update(&mut self, now: Instant, estimate: &mut Estimate, result: AttemptResult, seconds: f64) {
        let typical = self.typical_latency();
        let decay_time = self.options.decay_time;
        let is_complete = result == AttemptResult::Complete;
        // A failed call was not completed, so its time counts only if it is longer than that of complete
        // calls.
        if is_complete || seconds > estimate.latency.mean().max(typical) {
            estimate.latency.add(now, decay_time, seconds);
        }
        estimate.failure.add(now, decay_time, if is_complete { 0.0 } else { 1.0 });
        let is_very_slow = self.answered_servers > 0 && seconds > VERY_SLOW_RATIO * typical;
        estimate.slow_answers = if is_very_slow { estimate.slow_answers + 1 } else { 0 };

        if estimate.ejection.is_ejected() {
            let is_good = is_complete && (self.answered_servers == 0 || seconds <= SLOW_RATIO * typical);
            if estimate.ejection.finish_trial(now, is_good, &self.options) {
                estimate.reset(now);
                estimate.latency.add(now, decay_time, seconds);
                estimate.slow_start_from = now;
                self.reinstate(now, estimate);
            }
        } else if self.is_outlier(now, estimate, typical) && self.may_eject(estimate) {
            estimate.ejection.eject(now, &self.options);
            self.ejected += 1;
            self.ejected_slots += u64::from(estimate.slots);
        }
    }

    fn is_outlier(&self, now: Instant, estimate: &Estimate, typical: f64) -> bool {
        let decay_time = self.options.decay_time;
        let others = self.servers.len().max(1) as f64;
        let is_failing = estimate.failure.weight(now, decay_time) >= MIN_EVIDENCE
            && estimate.failure.mean() >= self.failure_sum / others + FAILURE_MARGIN;
        let is_slow = self.answered_servers > 0
            && (estimate.slow_answers >= VERY_SLOW_ANSWERS
                || estimate.latency.weight(now, decay_time) >= MIN_EVIDENCE
                    && estimate.latency.mean() > SLOW_RATIO * typical);
        is_failing || is_slow
    }

    /// Returns whether the others suffice without this server, which has been taken out of the map.
    fn may_eject(&self, estimate: &Estimate) -> bool {
        let servers = self.servers.len() + 1;
        let left = self.slots - self.ejected_slots - u64::from(estimate.slots);
        (self.ejected + 1) * MIN_SERVERS_PER_EJECTION <= servers && left >= self.demand
    }

    /// Reinstates ejected servers, those with the best scores first, until the servers in use can carry the
    /// load.
    fn restore_capacity(&mut self, now: Instant) {
        while self.ejected > 0
            && (self.ejected * MIN_SERVERS_PER_EJECTION > self.servers.len()
                || self.slots - self.ejected_slots < self.demand)
        {
            let typical = self.typical_latency();
            let out = self.servers.iter().filter(|(_, estimate)| estimate.ejection.is_ejected());
            let scored = out.map(|(server, estimate)| (estimate.score(now, typical, &self.options), server));
            let Some((_, server)) = scored.min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal)) else {
                return;
            };
            let server = server.clone();
            let Some(mut estimate) = self.servers.remove(&server) else { return };
            self.reinstate(now, &mut estimate);
            self.servers.insert(server, estimate);
        }
    }

    fn reinstate(&mut self, now: Instant, estimate: &mut Estimate) {
        estimate.ejection.reinstate(now);
        self.ejected -= 1;
        self.ejected_slots -= u64::from(estimate.slots);
    }

    /// Returns the geometric mean of the mean latencies, on which a few stragglers have little effect.
    fn typical_latency(&self) -> f64 {
        if self.answered_servers == 0 {
            return self.options.initial_latency.as_secs_f64();
        }
        (self.log_latency_sum / self.answered_servers as f64).exp()
    }

    fn include_in_totals(&mut self, estimate: &Estimate) {
        self.failure_sum += estimate.failure.mean();
        if estimate.latency.mean() > 0.0 {
            self.log_latency_sum += estimate.latency.mean().ln();
            self.answered_servers += 1;
        }
    }

    fn exclude_from_totals(&mut self, estimate: &Estimate) {
        self.failure_sum -= estimate.failure.mean();
        if estimate.latency.mean() > 0.0 {
            self.log_latency_sum -= estimate.latency.mean().ln();
            self.answered_servers -= 1;
        }
    }
}
