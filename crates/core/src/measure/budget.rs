//! The owner of the measuring budget of one entry.

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

/// A probe in progress, which counts with its whole reserve.
#[derive(Clone, Copy, Debug)]
struct Probe {
    until: Instant,
    reserved: MeasureCost,
}

/// Owner of the measuring budget of one entry.
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
    /// Reserve of the reports that were asked for and whose exchange has not ended.
    pending_reports: MeasureCost,
    loans_given: LoansGiven,
    loans_taken: LoansTaken,
    counters: MeasureCounters,
}

impl MeasureBudget {
    /// Makes a budget that spends nothing before its quiet start is over, and nothing without limits.
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

    /// Sets the limits, after a change of the text or of the number of slots.
    pub fn set_limits(&mut self, limits: MeasureLimits) {
        self.limits = limits;
    }

    /// Returns whether a probe may begin, and reserves its cost. `most` is the most that it can cost if it
    /// is cancelled after [`PROBE_TIMEOUT`]; `utilization` is the part of the service's slots in use. Each probe
    /// is ended by [`Self::finish_probe`].
    ///
    /// A probe gives way when the server has reported a moment ago, when the slots are busy, and while
    /// another probe of the server runs.
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

    /// Replaces the reserve of a probe by what it cost.
    pub fn finish_probe(&mut self, now: Instant, server: &str, spent: MeasureCost) {
        self.expire_probes(now);
        let Some(probe) = self.probes.remove(server) else { return };
        if !spent.fits(&probe.reserved) {
            self.counters.overruns += 1;
        }
        self.charge(now, spent);
    }

    /// Returns whether a load report that an answer carries may be used, and spends its cost. Probes of the
    /// server give way for a moment.
    pub fn try_report(&mut self, now: Instant, server: &str, cost: MeasureCost) -> bool {
        self.expire_probes(now);
        if !self.check_budget(now, cost, self.limit(now, Duration::ZERO)) {
            return false;
        }
        self.charge_report(now, cost);
        self.record_report(now, server);
        true
    }

    /// Returns whether the answer to a request may be asked for a load report, and reserves its cost until
    /// [`Self::finish_report`], since the answer may come much later than the request. A server that was
    /// asked a moment ago is not asked again.
    pub fn request_report(&mut self, now: Instant, server: &str, cost: MeasureCost) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < self.options.report_interval;
        if self.reports.get(server).is_some_and(is_recent) {
            return false;
        }
        self.expire_probes(now);
        // An exchange may outlast any loan, so its report is paid out of the entry's own part.
        if !self.check_budget(now, cost, self.own_limit(now)) {
            return false;
        }
        self.pending_reports = self.pending_reports.plus(cost);
        self.record_report(now, server);
        true
    }

    /// Settles a report that was asked for at the end of its exchange, whether it came or not.
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

    /// Removes a server. A probe of it that is in progress still counts.
    pub fn remove_server(&mut self, server: &str) {
        self.reports.remove(server);
    }

    /// Asks another entry for a part of its budget; `None` while an earlier request to it is pending.
    pub fn request_loan(&mut self, now: Instant, from: &str, amount: MeasureCost) -> Option<LoanRequest> {
        self.loans_taken.request(now, from, without_processor(amount))
    }

    /// Consents to a loan out of what this entry neither has lent nor reserves; `None` if that is too
    /// little. At most half of the entry's part is lent.
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

    /// Takes a loan; returns whether it was asked for and is still worth something.
    pub fn take_loan(&mut self, now: Instant, from: &str, loan: &Loan) -> bool {
        self.loans_taken.take(now, from, loan)
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> MeasureCounters {
        self.counters
    }

    /// Returns what may be spent in one window by a use that begins now and takes at most `length`.
    fn limit(&self, now: Instant, duration: Duration) -> MeasureCost {
        self.own_limit(now).plus(self.loans_taken.sum(now, duration))
    }

    /// Returns what is left in one window without loans that were taken.
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

    /// Settles probes whose end was not reported at their full reserve.
    fn expire_probes(&mut self, now: Instant) {
        let ended: Vec<_> = self.probes.extract_if(|_, probe| now >= probe.until).collect();
        for (_, probe) in ended {
            self.charge(now, probe.reserved);
        }
    }
}

/// An entry's processor time is its own and cannot be lent.
fn without_processor(amount: MeasureCost) -> MeasureCost {
    MeasureCost { processor: Duration::ZERO, ..amount }
}
