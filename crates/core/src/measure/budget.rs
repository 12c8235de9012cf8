//! The measuring budget of one entry.

use {
    super::{
        Loan, LoanRequest, MeasureCost, MeasureCounters, MeasureLimits, MeasureOptions, PROBE_TIMEOUT, STARTUP_DELAY,
        STARTUP_DELAY_WITH_LOANS,
        loan::{LoansGiven, LoansTaken},
        sliding_sum::SlidingSum,
    },
    crate::{
        collections::FastMap,
        ids::{Incarnation, ServerId},
    },
    std::time::{Duration, Instant},
};

/// A running probe, whose whole reserve counts as spent.
#[derive(Clone, Copy, Debug)]
struct Probe {
    until: Instant,
    reserved: MeasureCost,
}

/// The measuring budget of one entry.
///
/// ```
/// use {
///     hemlockford_core::{measure::*, config::MeasureConfig},
///     std::time::{Duration, Instant},
/// };
/// let start = Instant::now();
/// let mut budget = MeasureBudget::new(start, 1, MeasureOptions::default());
/// budget.set_limits(MeasureLimits::new(&MeasureConfig::default(), 72, 7));
/// let cost = MeasureCost { slot_time: Duration::from_millis(30), bytes: 300, ..MeasureCost::default() };
/// assert!(!budget.try_probe(start, "a", cost, 0.0));
/// let now = start + STARTUP_DELAY;
/// assert!(budget.try_probe(now, "a", cost, 0.0));
/// assert!(!budget.try_probe(now, "b", cost, 0.0));
/// budget.finish_probe(now, "a", MeasureCost { slot_time: Duration::from_millis(6), ..cost });
/// assert!(budget.try_probe(now, "b", cost, 0.0));
/// ```
#[derive(Clone, Debug)]
pub struct MeasureBudget {
    options: MeasureOptions,
    limits: MeasureLimits,
    spending_from: Instant,
    charged: SlidingSum,
    probes: FastMap<ServerId, Probe>,
    reports: FastMap<ServerId, Instant>,
    /// Reserve for the requested reports whose exchange has not ended.
    pending_reports: MeasureCost,
    loans_given: LoansGiven,
    loans_taken: LoansTaken,
    counters: MeasureCounters,
}

impl MeasureBudget {
    /// Creates a budget that allows nothing before its startup delay is over, and nothing without limits.
    pub fn new(now: Instant, incarnation: Incarnation, options: MeasureOptions) -> Self {
        let startup_delay = if options.loans { STARTUP_DELAY_WITH_LOANS } else { STARTUP_DELAY };
        Self {
            options,
            limits: MeasureLimits::default(),
            spending_from: now + startup_delay,
            charged: SlidingSum::new(now),
            probes: FastMap::default(),
            reports: FastMap::default(),
            pending_reports: MeasureCost::default(),
            loans_given: LoansGiven::default(),
            loans_taken: LoansTaken::new(incarnation),
            counters: MeasureCounters::default(),
        }
    }

    /// Sets the limits, after a change of the configuration or of the number of slots.
    pub fn set_limits(&mut self, limits: MeasureLimits) {
        self.limits = limits;
    }

    /// Returns whether a probe may start, and reserves its cost if so. `reserve` is its maximum cost if it is
    /// cancelled after [`PROBE_TIMEOUT`]; `utilization` is the share of the service's slots in use. Each
    /// probe must be ended by [`Self::finish_probe`].
    ///
    /// A probe is not allowed if the server has reported recently, if utilization is high, or if another
    /// probe of the server is running.
    pub fn try_probe(&mut self, now: Instant, server: &str, reserve: MeasureCost, utilization: f64) -> bool {
        self.expire_probes(now);
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < self.options.report_lifetime;
        let is_reported = self.reports.get(server).is_some_and(is_fresh);
        if is_reported || utilization >= self.options.max_utilization || self.probes.contains_key(server) {
            self.counters.gave_way += 1;
            return false;
        }
        if !self.check_budget(now, reserve, self.limit(now, PROBE_TIMEOUT)) {
            return false;
        }
        self.probes.insert(server.into(), Probe { until: now + PROBE_TIMEOUT, reserved: reserve });
        self.counters.probes += 1;
        true
    }

    /// Replaces the reserve of a probe by its actual cost.
    pub fn finish_probe(&mut self, now: Instant, server: &str, spent: MeasureCost) {
        self.expire_probes(now);
        let Some(probe) = self.probes.remove(server) else { return };
        if !spent.fits(&probe.reserved) {
            self.counters.overruns += 1;
        }
        self.charge(now, spent);
    }

    /// Returns whether a load report in an answer may be used, and charges its cost if so. The server is not
    /// probed for some time afterwards.
    pub fn try_report(&mut self, now: Instant, server: &str, cost: MeasureCost) -> bool {
        self.expire_probes(now);
        if !self.check_budget(now, cost, self.limit(now, Duration::ZERO)) {
            return false;
        }
        self.charge_report(now, cost);
        self.record_report(now, server);
        true
    }

    /// Returns whether a load report may be requested in the answer to a call. Its cost is reserved until
    /// [`Self::finish_report`], since the answer may come much later than the request. No report is requested
    /// from a server again for some time.
    pub fn request_report(&mut self, now: Instant, server: &str, cost: MeasureCost) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.options.report_interval;
        if self.reports.get(server).is_some_and(is_recent) {
            return false;
        }
        self.expire_probes(now);
        // An exchange may take longer than any loan, so its report is charged to the entry's own share.
        if !self.check_budget(now, cost, self.own_limit(now)) {
            return false;
        }
        self.pending_reports = self.pending_reports.plus(cost);
        self.record_report(now, server);
        true
    }

    /// Charges a requested report at the end of its exchange, whether it was received or not.
    pub fn finish_report(&mut self, now: Instant, cost: MeasureCost) {
        self.pending_reports = self.pending_reports.minus(cost);
        self.charge_report(now, cost);
    }

    fn record_report(&mut self, now: Instant, server: &str) {
        match self.reports.get_mut(server) {
            Some(at) => *at = now,
            None => {
                self.reports.insert(server.into(), now);
            }
        }
    }

    fn charge_report(&mut self, now: Instant, cost: MeasureCost) {
        self.charge(now, cost);
        self.counters.reports += 1;
        self.counters.report_spent = self.counters.report_spent.plus(cost);
    }

    /// Removes a server. A running probe of it still counts.
    pub fn remove_server(&mut self, server: &str) {
        self.reports.remove(server);
    }

    /// Requests a part of another entry's budget; `None` while an earlier request to it is pending.
    pub fn request_loan(&mut self, now: Instant, from: &str, amount: MeasureCost) -> Option<LoanRequest> {
        self.loans_taken.request(now, from, without_processor(amount))
    }

    /// Grants a loan from the budget that is neither lent nor reserved; `None` if that does not suffice. At
    /// most half of the entry's share is lent.
    pub fn lend(&mut self, now: Instant, request: &LoanRequest) -> Option<Loan> {
        self.expire_probes(now);
        if !self.options.loans || now < self.spending_from {
            return None;
        }
        let amount = without_processor(request.amount);
        let lent = self.loans_given.sum(now).plus(amount);
        let half = self.limits.per_entry.divided(2);
        let is_free = lent.plus(self.reserved()).fits(&self.limits.per_entry);
        let may_lend = lent.fits(&half) && is_free && self.loans_given.push(now, amount);
        may_lend.then_some(Loan { incarnation: request.incarnation, number: request.number, amount })
    }

    /// Accepts a loan; returns whether it was requested and is still usable.
    pub fn take_loan(&mut self, now: Instant, from: &str, loan: &Loan) -> bool {
        self.loans_taken.take(now, from, loan)
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> MeasureCounters {
        self.counters
    }

    /// Returns the limit per window for a use that starts now and takes at most `duration`.
    fn limit(&self, now: Instant, duration: Duration) -> MeasureCost {
        self.own_limit(now).plus(self.loans_taken.sum(now, duration))
    }

    /// Returns the limit per window without loans from other entries.
    fn own_limit(&self, now: Instant) -> MeasureCost {
        self.limits.per_entry.minus(self.loans_given.sum(now))
    }

    fn check_budget(&mut self, now: Instant, cost: MeasureCost, limit: MeasureCost) -> bool {
        let total = self.charged.sum(now).plus(self.reserved()).plus(cost);
        let is_within_budget = now >= self.spending_from && total.fits(&limit);
        if !is_within_budget {
            self.counters.over_budget += 1;
        }
        is_within_budget
    }

    fn reserved(&self) -> MeasureCost {
        self.probes.values().fold(self.pending_reports, |sum, probe| sum.plus(probe.reserved))
    }

    fn charge(&mut self, now: Instant, cost: MeasureCost) {
        self.charged.add(now, cost);
        self.counters.spent = self.counters.spent.plus(cost);
    }

    /// Charges the whole reserve of probes whose end was not reported.
    fn expire_probes(&mut self, now: Instant) {
        let ended: Vec<_> = self.probes.extract_if(|_, probe| now >= probe.until).collect();
        for (_, probe) in ended {
            self.charge(now, probe.reserved);
        }
    }
}

/// Removes the processor time, which belongs to an entry and cannot be lent.
fn without_processor(amount: MeasureCost) -> MeasureCost {
    MeasureCost { processor: Duration::ZERO, ..amount }
}
