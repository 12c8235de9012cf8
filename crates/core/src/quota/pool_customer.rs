//! Credit of one customer at the leader.

use {
    super::{CreditDemand, CreditGrant, LEASE, QuotaLimit, QuotaTolerance},
    crate::{collections::FastMap, ids::CustomerId, slots::max_min_shares},
    std::time::{Duration, Instant},
};

/// Interval between reviews of the entries' demand.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the demand that an entry stated no longer counts.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Range of the time for whose calls an entry may hold credit, in seconds. It covers the interval between requests, and
/// bridges a change of the leader if there is enough credit.
const HORIZON: (f64, f64) = (0.3, 1.0);
/// Part of the allowance that entries may hold in advance.
const ADVANCE_SHARE: f64 = 0.7;
/// Standard deviations of a Poisson process that an entry's credit covers.
const DEVIATIONS: f64 = 1.5;
/// Credit that is kept for entries with waiting calls, and its maximum part of the allowance.
const RESERVE: f64 = 4.0;
const RESERVE_SHARE: f64 = 0.25;
/// Ratio of the demand to the rate above which calls are refused without a wait for credit.
const EXCESS: f64 = 1.15;
/// Time constant with which the demand of all entries is smoothed before it is compared with the rate. The demand of a
/// small customer varies by a third at random.
const DEMAND_MEMORY: Duration = Duration::from_millis(1_500);

/// Credit that an entry holds, as far as the leader knows.
#[derive(Clone, Debug)]
struct Holding {
    /// Calls per second that arrive at the entry.
    demand: f64,
    /// Credit that it stated, admitted calls that were not sent included.
    held: u32,
    /// When that credit expires at the latest, and the demand is forgotten.
    until: Instant,
    /// Credit that it has spent lately, which it may give back if the calls did not run.
    spent: f64,
    /// When the entry last stated its demand.
    stated_at: Instant,
    /// Credit in answers that the entry has not acknowledged: number of the request, amount, and latest expiry.
    unconfirmed: Vec<(u64, u32, Instant)>,
}

impl Holding {
    fn total(&self, now: Instant) -> f64 {
        let held = if now < self.until { self.held } else { 0 };
        let unconfirmed = self.unconfirmed.iter().filter(|(.., until)| now < *until).map(|(_, amount, _)| amount);
        f64::from(held) + unconfirmed.copied().map(f64::from).sum::<f64>()
    }

    /// Returns the credit that the entry should hold if there is enough.
    fn wanted(&self, horizon: f64) -> f64 {
        let calls = self.demand * horizon;
        (calls + DEVIATIONS * calls.sqrt()).ceil()
    }
}

/// Credit of one customer at the leader: a bucket whose level and lent credit together do not exceed the allowance.
/// Therefore no more calls than the allowance exceed the rate in any time, whenever the lent credit is used.
#[derive(Clone, Debug)]
pub(super) struct PoolCustomer {
    pub(super) name: CustomerId,
    limit: QuotaLimit,
    allowance: f64,
    /// Credit that can be lent.
    pub(super) level: f64,
    /// Share of the rates, summed up over time in seconds, up to which the bucket was filled.
    filled_at: f64,
    holdings: FastMap<u32, Holding>,
    /// Lent credit that may still be used.
    outstanding: f64,
    /// Credit that was lent since this leader began, without what was given back.
    pub(super) lent: f64,
    reviewed_at: Instant,
    next_review: Instant,
    /// Calls per second that arrive at all entries.
    demand: f64,
    /// The same, smoothed.
    usual_demand: f64,
    horizon: f64,
    /// Maximum credit of an entry if there is not enough for all.
    water_level: f64,
}

impl PoolCustomer {
    /// Creates an empty bucket.
    pub(super) fn new(now: Instant, name: CustomerId, filled_at: f64) -> Self {
        Self {
            name,
            limit: QuotaLimit { rate: 0.0, burst: 0.0 },
            allowance: 0.0,
            level: 0.0,
            filled_at,
            holdings: FastMap::default(),
            outstanding: 0.0,
            lent: 0.0,
            reviewed_at: now,
            next_review: now,
            demand: 0.0,
            usual_demand: 0.0,
            horizon: HORIZON.0,
            water_level: f64::INFINITY,
        }
    }

    pub(super) fn set_limit(&mut self, limit: QuotaLimit, tolerance: QuotaTolerance) {
        self.limit = limit;
        self.allowance = limit.allowance(tolerance);
    }

    /// Returns the maximum of level and lent credit together.
    fn capacity(&self, share: f64) -> f64 {
        if share > 0.0 { (self.allowance * share).max(1.0) } else { 0.0 }
    }

    /// Fills the bucket.
    pub(super) fn fill(&mut self, filled: f64, share: f64) {
        let amount = self.limit.rate * (filled - self.filled_at).max(0.0);
        self.filled_at = filled;
        let capacity = self.capacity(share);
        let room = (capacity - self.level - self.outstanding).max(0.0);
        self.level = (self.level + amount.min(room)).min(capacity);
    }

    /// Forgets what an entry holds, because its process has ended.
    pub(super) fn remove_entry(&mut self, entry: u32) {
        // The credit may have been used, so that it does not return to the bucket.
        self.holdings.remove(&entry);
    }

    /// Processes the demand of an entry. Credit is lent only if the entry is connected. `acknowledged` is the last
    /// request whose answer the entry has received.
    pub(super) fn lend(
        &mut self,
        now: Instant,
        share: f64,
        entry: (u32, bool),
        numbers: (u64, Option<u64>),
        demand: &CreditDemand,
    ) -> CreditGrant {
        let ((entry, is_connected), (number, acknowledged)) = (entry, numbers);
        self.record(now, entry, acknowledged, demand);
        if now >= self.next_review {
            self.review(now, share);
        }
        let (held, wanted) = match self.holdings.get(&entry) {
            Some(holding) => (holding.total(now), holding.wanted(self.horizon)),
            None => (0.0, 0.0),
        };
        let unused = f64::from(demand.queued);
        let is_over = self.usual_demand > EXCESS * self.limit.rate * share;
        // With less than one call for each entry, those that ask first get one.
        let target = wanted.min(self.water_level.max(1.0)).floor() + unused;
        let waiting = f64::from(demand.waiting);
        let urgent = if is_over { waiting.min(target.max(1.0)) } else { waiting };
        let reserve = RESERVE.min(RESERVE_SHARE * self.capacity(share));
        let planned = (target - held).min(self.level - reserve).max(0.0).floor();
        let missing = (urgent - (held - unused).max(0.0) - planned).max(0.0);
        let lent = if is_connected { planned + missing.min(self.level - planned).max(0.0).floor() } else { 0.0 };
        self.level -= lent;
        self.outstanding += lent;
        self.lent += lent;
        let is_short = self.level < 1.0 + reserve;
        if lent > 0.0
            && let Some(holding) = self.holdings.get_mut(&entry)
        {
            holding.unconfirmed.push((number, lent as u32, now + LEASE));
        }
        CreditGrant {
            customer: demand.customer,
            lent: lent as u32,
            target: target.max(held.min(target) + lent) as u32,
            is_exceeded: is_connected && is_over && is_short,
        }
    }

    /// Records what an entry states.
    fn record(&mut self, now: Instant, entry: u32, acknowledged: Option<u64>, demand: &CreditDemand) {
        let empty = Holding { demand: 0.0, held: 0, until: now, spent: 0.0, stated_at: now, unconfirmed: Vec::new() };
        let holding = self.holdings.entry(entry).or_insert(empty);
        let before = holding.total(now);
        holding.unconfirmed.retain(|(number, _, until)| now < *until && acknowledged.is_none_or(|last| *number > last));
        // An entry that states more than there can be must not stop the filling for longer than a lease.
        let most = (self.allowance.ceil() as u32).saturating_add(1);
        holding.held = demand.credit.saturating_add(demand.queued).min(most);
        holding.demand = f64::from(demand.demand) / 10.0;
        holding.until = now + LEASE.max(DEMAND_TIMEOUT);
        let after = holding.total(now);
        let elapsed = now.saturating_duration_since(holding.stated_at);
        holding.stated_at = now;
        let spent = holding.spent * (-elapsed.as_secs_f64() / LEASE.as_secs_f64()).exp() + before - after;
        // Only credit that this leader has lent can be given back to it.
        let returned = f64::from(demand.returned).min(spent.max(0.0));
        holding.spent = (spent - returned).max(0.0);
        self.outstanding = (self.outstanding + after - before).max(0.0);
        self.level += returned;
        self.lent -= returned;
    }

    /// Removes expired credit, and determines how much credit entries may hold.
    fn review(&mut self, now: Instant, share: f64) {
        let elapsed = now.saturating_duration_since(self.reviewed_at);
        (self.reviewed_at, self.next_review) = (now, now + REVIEW_INTERVAL);
        self.holdings.retain(|_, holding| now < holding.until || holding.total(now) > 0.0);
        self.outstanding = self.holdings.values().map(|holding| holding.total(now)).sum();
        let active = self.holdings.values().filter(|holding| now < holding.until);
        let active: Vec<&Holding> = active.filter(|holding| holding.demand > 0.0).collect();
        self.demand = active.iter().map(|holding| holding.demand).sum();
        let weight = 1.0 - (-elapsed.as_secs_f64() / DEMAND_MEMORY.as_secs_f64()).exp();
        self.usual_demand += (self.demand - self.usual_demand) * weight;
        let capacity = self.capacity(share);
        self.horizon = (ADVANCE_SHARE * capacity / self.demand.max(f64::MIN_POSITIVE)).clamp(HORIZON.0, HORIZON.1);
        let wanted: Vec<_> = active.iter().map(|holding| (holding.wanted(self.horizon), 1.0)).collect();
        let total: f64 = wanted.iter().map(|(wanted, _)| wanted).sum();
        let available = self.level + self.outstanding;
        self.water_level = f64::INFINITY;
        if total > available {
            self.water_level = max_min_shares(available, &wanted).into_iter().fold(0.0, f64::max);
        }
    }
}
