//! Credit that the leader of the replicas lends to entries.

use {
    super::{
        CreditGrant, CreditRequest, CreditResponse, OWN_PART_UNTIL, PoolCustomer, PoolEntry, QuotaLimit, QuotaTolerance,
    },
    crate::{
        collections::FastMap,
        config::Configuration,
        ids::{CustomerId, Incarnation, InstanceId},
        slots::{NameHash, name_hash},
    },
    std::time::{Duration, Instant},
};

/// Interval between reviews of the entries that are connected.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two calls for which the buckets are filled. A leader that was frozen for longer does not know
/// which entries were connected, and another one may have led.
const MAX_FILL: Duration = Duration::from_millis(100);
/// Time after the beginning of a pool in which entries that it does not know may use their own parts, because a former
/// leader has answered them: [`OWN_PART_UNTIL`], and the time in which the former leader learns that it was replaced.
const FORMER_PARTS_UNTIL: Duration = Duration::from_secs(12);
/// Maximum number of entries.
const MAX_ENTRIES: usize = 4_096;
/// Maximum credit that is lent at once for a customer that has no limit at the leader.
const MAX_UNLIMITED: u32 = 10_000;

/// Credit that the leader of the replicas lends to entries.
///
/// ```
/// use {
///     hemlockford_core::{
///         config::Configuration,
///         quota::{CreditPool, CreditRequest, QuotaTolerance},
///     },
///     std::time::Instant,
/// };
/// let now = Instant::now();
/// let config = Configuration::parse("[change]\nnumber = 1\n[customer a]\nrate = 5\n").unwrap();
/// let mut pool = CreditPool::new(now, 1, QuotaTolerance::default());
/// pool.configure(now, &config);
/// let request = CreditRequest { number: 1, acknowledged: None, entries: 0, customers: Vec::new() };
/// let response = pool.handle(now, &"entry".into(), 1, &request).unwrap();
/// assert_eq!((response.echo, response.entries), (1, 1));
/// ```
#[derive(Debug)]
pub struct CreditPool {
    session: u32,
    tolerance: QuotaTolerance,
    customers: FastMap<NameHash, PoolCustomer>,
    entries: FastMap<InstanceId, PoolEntry>,
    last_id: u32,
    began: Instant,
    /// Highest number of entries among which a former leader divided the rates, as entries state it.
    former_divisor: u32,
    /// Number of entries among which the rates are divided.
    divisor: u32,
    /// Part of the rates that belongs to the connected entries.
    share: f64,
    /// That part, summed up over time in seconds.
    filled: f64,
    advanced_at: Instant,
    next_review: Instant,
}

impl CreditPool {
    /// Creates a pool without customers. The session differs between leaders and between their terms, and is not 0.
    pub fn new(now: Instant, session: u32, tolerance: QuotaTolerance) -> Self {
        Self {
            session,
            tolerance,
            customers: FastMap::default(),
            entries: FastMap::default(),
            last_id: 0,
            began: now,
            former_divisor: 0,
            divisor: 1,
            share: 0.0,
            filled: 0.0,
            advanced_at: now,
            next_review: now,
        }
    }

    /// Replaces the limits by those of a configuration.
    pub fn configure(&mut self, now: Instant, config: &Configuration) {
        self.set_limits(now, QuotaLimit::all(config).map(|(name, limit)| (name.clone(), limit)));
    }

    /// Replaces the limits. A customer that has one already keeps its credit, as far as the new limit permits.
    pub fn set_limits(&mut self, now: Instant, limits: impl IntoIterator<Item = (CustomerId, QuotaLimit)>) {
        self.advance(now);
        let mut former = std::mem::take(&mut self.customers);
        for (name, limit) in limits {
            let hash = name_hash(&name);
            let known = former.remove(&hash).filter(|known| known.name == name);
            let mut customer = known.unwrap_or_else(|| PoolCustomer::new(now, name, self.filled));
            customer.fill(self.filled, self.share);
            customer.set_limit(limit, self.tolerance);
            customer.fill(self.filled, self.share);
            self.customers.insert(hash, customer);
        }
    }

    /// Returns whether no customer has a limit.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Processes a request, and returns the answer unless the request is repeated or overtaken.
    pub fn handle(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        request: &CreditRequest,
    ) -> Option<CreditResponse> {
        self.advance(now);
        if now.saturating_duration_since(self.began) < FORMER_PARTS_UNTIL {
            self.former_divisor = self.former_divisor.max(request.entries.min(MAX_ENTRIES as u32));
        }
        let was_connected = self.entries.get(from).map(|entry| entry.is_connected(now));
        let (id, is_connected, acknowledged) = self.record_request(now, from, incarnation, request)?;
        if was_connected != Some(is_connected) {
            self.review(now);
        }
        let numbers = (request.number, acknowledged);
        let mut customers = Vec::with_capacity(request.customers.len());
        for demand in &request.customers {
            let grant = match self.customers.get_mut(&demand.customer) {
                Some(customer) => {
                    customer.fill(self.filled, self.share);
                    customer.lend(now, self.share, (id, is_connected), numbers, demand)
                }
                None => unlimited(demand.customer, demand.demand, demand.waiting),
            };
            customers.push(grant);
        }
        let part = 1.0 / f64::from(self.divisor);
        if let Some(entry) = self.entries.get_mut(from) {
            entry.answer(now, request.number, part);
        }
        let (echo, session, entries) = (request.number, self.session, self.divisor);
        Some(CreditResponse { echo, leader: None, session, entries, customers })
    }

    /// Accounts for the time that has passed. It must be called at least every 100 ms.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.advanced_at).min(MAX_FILL);
        self.filled += self.share * elapsed.as_secs_f64();
        self.advanced_at = now;
        if now >= self.next_review {
            self.review(now);
        }
    }

    /// Returns the credit left of each customer, and the credit lent so far.
    pub fn credits(&self) -> impl Iterator<Item = (&CustomerId, f64, f64)> {
        self.customers.values().map(|customer| (&customer.name, customer.level, customer.lent))
    }

    /// Returns the numbers of connected entries and of those among which the rates are divided.
    pub fn connected(&self) -> (usize, u32) {
        (self.entries.values().filter(|entry| entry.is_connected(self.advanced_at)).count(), self.divisor)
    }

    /// Records the sender of a request. Returns its number, whether it is connected, and the last request whose answer
    /// it has received.
    fn record_request(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        request: &CreditRequest,
    ) -> Option<(u32, bool, Option<u64>)> {
        let known = self.entries.get(from).map(|entry| (entry.id, entry.incarnation));
        match known {
            Some((_, latest)) if incarnation < latest => return None,
            Some((id, earlier)) if earlier < incarnation => {
                self.customers.values_mut().for_each(|customer| customer.remove_entry(id));
                self.entries.remove(from);
            }
            None if self.entries.len() >= MAX_ENTRIES => return None,
            _ => {}
        }
        let last_id = &mut self.last_id;
        let entry = self.entries.entry(from.clone()).or_insert_with(|| {
            *last_id += 1;
            PoolEntry::new(now, *last_id, incarnation)
        });
        if entry.last.is_some_and(|last| request.number <= last) {
            return None;
        }
        (entry.last, entry.seen_at) = (Some(request.number), now);
        if let Some(acknowledged) = request.acknowledged.filter(|acknowledged| acknowledged.session == self.session) {
            entry.acknowledge(acknowledged.number);
        }
        Some((entry.id, entry.is_connected(now), entry.acknowledged.map(|(number, _)| number)))
    }

    /// Determines the part of the rates that belongs to the connected entries.
    fn review(&mut self, now: Instant) {
        self.next_review = now + REVIEW_INTERVAL;
        self.entries.retain(|_, entry| now.saturating_duration_since(entry.seen_at) < OWN_PART_UNTIL);
        let connected = self.entries.values().filter(|entry| entry.is_connected(now)).count();
        if now.saturating_duration_since(self.began) >= FORMER_PARTS_UNTIL {
            self.former_divisor = 0;
        }
        self.divisor = self.former_divisor.max(self.entries.len() as u32).max(1);
        // An entry that is not connected may use the part that it was told, even if there are more entries now.
        let others = self.entries.values().filter(|entry| !entry.is_connected(now));
        let reserved: f64 = others.map(|entry| entry.part).sum();
        self.share = (connected as f64 / f64::from(self.divisor)).min(1.0 - reserved).max(0.0);
    }
}

/// Answers an entry that has an earlier configuration, in which the customer has a limit.
fn unlimited(customer: NameHash, demand: u32, waiting: u32) -> CreditGrant {
    let lent = (demand / 10).saturating_add(waiting).saturating_add(1).min(MAX_UNLIMITED);
    CreditGrant { customer, lent, target: lent, is_exceeded: false }
}
