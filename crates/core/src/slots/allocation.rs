//! Allocation of the slots of one service to entries and customers.

use {
    super::{Coordinator, CustomerDemand, CustomerShare, MAX_CUSTOMERS, NameHash, UNLISTED, max_min_shares},
    crate::{collections::FastMap, ids::InstanceId},
    rand::rngs::SmallRng,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Minimum time between two recalls of idle permits from the same entry. A reply takes about 4 ms over a link with a
/// latency of 1 ms, and stays valid for a while because calls take longer than that.
const RECALL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which calls must be waiting before permits in use are reallocated. Shorter queues drain before a
/// reallocation could help.
const CONTENTION_DELAY: Duration = Duration::from_millis(5);
/// Minimum time between two reallocations.
const REALLOCATION_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which the demand that an entry lists by customer is valid; two such reports may be lost.
const DEMAND_LIFETIME: Duration = Duration::from_millis(200);
/// Weight of calls that are not listed by customer, much larger than that of any customer; a customer without a
/// configured weight has 1.
const UNLISTED_WEIGHT: f64 = 1e6;
/// Minimum time between two messages with the shares of customers.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Replaces a weight of zero, so that such a customer is still served when slots are idle.
const MIN_WEIGHT: f64 = 0.01;

impl Coordinator {
    /// Grants free slots, recalls idle permits and, under sustained overload, reallocates permits in use.
    pub(super) fn allocate(&mut self, now: Instant, live: &[InstanceId], rng: &mut SmallRng) {
        if !self.is_active {
            return;
        }
        self.resync(now, live);
        if !self.is_ready(now, live) {
            return;
        }
        self.grant_free(now, live, rng);
        let unmet: u32 = self.entries.values().map(|entry| entry.unmet_need(now)).sum();
        if unmet == 0 {
            self.contended_since = None;
            return;
        }
        self.needs_tick = true;
        self.recall_idle(now, unmet);
        let since = *self.contended_since.get_or_insert(now);
        let is_due = self.reallocated_at.is_none_or(|at| now >= at + REALLOCATION_INTERVAL);
        if now >= since + CONTENTION_DELAY && is_due {
            self.reallocated_at = Some(now);
            self.reallocate(now);
        }
    }

    /// Grants free slots, one at a time, to the entry with the fewest permits relative to its entitlement.
    fn grant_free(&mut self, now: Instant, live: &[InstanceId], rng: &mut SmallRng) {
        let (mut served, mut failed) = (Vec::new(), Vec::new());
        while self.pool.free_count() > 0 {
            let satisfaction = |entry: &super::EntryState| f64::from(entry.target) / entry.entitlement(now);
            let waiting = self
                .entries
                .iter()
                .filter(|(id, entry)| entry.unmet_need(now) > 0 && live.contains(id) && !failed.contains(*id));
            let next = waiting
                .min_by(|a, b| {
                    // Ties go to the entry whose last grant is the oldest.
                    satisfaction(a.1).total_cmp(&satisfaction(b.1)).then(a.1.granted_at.cmp(&b.1.granted_at))
                })
                .map(|(id, _)| id.clone());
            let Some(id) = next else { break };
            if !self.grant(now, &id, rng) {
                // This entry refuses all servers with free slots; another entry may accept them.
                failed.push(id);
                continue;
            }
            if !served.contains(&id) {
                served.push(id);
            }
        }
        // An entry that requested permits is likely to need more soon. Granting it some of the idle slots in advance
        // saves another message.
        let extra = self.pool.free_count() / (2 * self.entries.len().max(1) as u32);
        for id in served {
            for _ in 0..extra {
                self.grant(now, &id, rng);
            }
        }
    }

    fn grant(&mut self, now: Instant, id: &InstanceId, rng: &mut SmallRng) -> bool {
        let Some(entry) = self.entries.get(id) else { return false };
        let Some(server) = self.pool.pick(rng, |server| entry.refuses(now, server)) else { return false };
        let held = entry.allocations.get(&server).map_or(0, |allocation| allocation.target);
        self.set_target(id, server, held + 1);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.granted_at = Some(now);
        }
        true
    }

    /// Recalls permits from the entries that reported the most idle ones.
    fn recall_idle(&mut self, now: Instant, unmet: u32) {
        let is_due = |at: Option<Instant>| at.is_none_or(|at| now >= at + RECALL_INTERVAL);
        let mut remaining = unmet;
        let mut idle: Vec<_> = self.entries.values_mut().filter(|entry| entry.idle_permits() > 0).collect();
        idle.sort_by_key(|entry| std::cmp::Reverse(entry.idle_permits()));
        for entry in idle {
            if remaining == 0 {
                return;
            }
            let count = entry.idle_permits().min(remaining);
            remaining -= count;
            if is_due(entry.recalled_at) {
                entry.recall = count;
                entry.recalled_at = Some(now);
            }
        }
    }

    /// Divides all slots between customers by weight, and the share of each customer between entries by its demand
    /// there. Entries that hold more than their fair share lose permits if another entry has less than its own.
    fn reallocate(&mut self, now: Instant) {
        let fair_shares = self.fair_shares(now);
        // Every entry with waiting calls is entitled to at least one permit; otherwise its calls would never start.
        let shortfall_of = |(id, fair_share): (&InstanceId, &f64)| {
            let entry = &self.entries[id];
            let fair_share = fair_share.floor().max(1.0) as u32;
            if entry.unmet_need(now) > 0 { fair_share.saturating_sub(entry.target) } else { 0 }
        };
        let shortfall: u32 = fair_shares.iter().map(shortfall_of).sum();
        // Reclaimed permits become free when the entry confirms the reduction or its calls end.
        let pending: u32 = self.entries.values().map(|entry| entry.pending_release()).sum();
        let mut shortfall = shortfall.saturating_sub(pending);
        let is_starving = self.entries.values().any(|entry| entry.unmet_need(now) > 0 && entry.target == 0);
        let mut is_reclaimed = false;
        for (id, fair_share) in &fair_shares {
            let surplus = self.entries[id].target.saturating_sub(fair_share.ceil().max(1.0) as u32).min(shortfall);
            shortfall -= surplus;
            is_reclaimed |= surplus > 0;
            self.reclaim(id, surplus);
        }
        if is_starving && !is_reclaimed {
            // There are fewer slots than entries, so the entries take turns.
            let holders = self.entries.iter().filter(|(_, entry)| entry.target > 0);
            if let Some(id) = holders.min_by_key(|(_, entry)| entry.granted_at).map(|(id, _)| id.clone()) {
                self.reclaim(&id, 1);
            }
        }
    }

    /// Reclaims permits from an entry, one per server in turn.
    fn reclaim(&mut self, id: &InstanceId, count: u32) {
        let mut allocations: Vec<_> =
            self.entries[id].allocations.iter().map(|(server, allocation)| (allocation.target, *server)).collect();
        allocations.sort_unstable_by(|a, b| b.cmp(a));
        let (mut remaining, mut depth) = (count, 0);
        while remaining > 0 && allocations.iter().any(|allocation| allocation.0 > depth) {
            for (target, server) in allocations.iter().filter(|allocation| allocation.0 > depth) {
                if remaining > 0 {
                    remaining -= 1;
                    self.set_target(id, *server, target - depth - 1);
                }
            }
            depth += 1;
        }
    }

    /// Returns the fair share of each entry and stores the shares of its customers.
    fn fair_shares(&mut self, now: Instant) -> BTreeMap<InstanceId, f64> {
        for entry in self.entries.values_mut() {
            if entry.demand_at.is_some_and(|at| now >= at + DEMAND_LIFETIME) {
                entry.demand.clear();
            }
        }
        let mut totals: BTreeMap<NameHash, f64> = BTreeMap::new();
        // Load by entry and customer. The listed demand may be older than the entry's total, so it is scaled to match.
        let loads: Vec<(InstanceId, Vec<(NameHash, f64)>)> = self
            .entries
            .iter()
            .map(|(id, entry)| {
                let listed: f64 = entry.demand.iter().map(|demand| f64::from(demand.waiting + demand.in_flight)).sum();
                if listed == 0.0 {
                    return (id.clone(), vec![(UNLISTED, f64::from(entry.load()))]);
                }
                let scale = f64::from((entry.need + entry.in_flight).max(1)) / listed;
                let load = |demand: &CustomerDemand| f64::from(demand.waiting + demand.in_flight) * scale;
                (id.clone(), entry.demand.iter().map(|demand| (demand.customer, load(demand))).collect())
            })
            .collect();
        let is_overloaded = self.entries.values().any(|entry| !entry.demand.is_empty());
        for (customer, load) in loads.iter().flat_map(|(_, loads)| loads) {
            *totals.entry(*customer).or_default() += load;
        }
        // Entries that do not list customers have no long queues; their permits are not reallocated to others.
        let weight = |customer: &NameHash| match *customer {
            UNLISTED => UNLISTED_WEIGHT,
            _ => self.weights.get(customer).map_or(1.0, |weight| f64::from(*weight).max(MIN_WEIGHT)),
        };
        let demands: Vec<_> = totals.iter().map(|(customer, total)| (*total, weight(customer))).collect();
        let shares = max_min_shares(f64::from(self.pool.capacity()), &demands);
        // Slots available to a customer of weight 1. A customer with lower demand is not limited to its demand.
        let share_per_weight =
            demands.iter().zip(&shares).map(|((_, weight), share)| share / weight).fold(0.0, f64::max);
        let shares: FastMap<NameHash, f64> = totals.keys().copied().zip(shares).collect();
        let is_recently_sent = self.shares_sent_at.is_some_and(|at| now < at + SHARE_UPDATE_INTERVAL);
        if is_overloaded && !is_recently_sent {
            self.shares_sent_at = Some(now);
        }
        let mut fair_shares = BTreeMap::new();
        for (id, loads) in loads {
            let fraction = |(customer, load): &(NameHash, f64)| load / totals[customer].max(f64::MIN_POSITIVE);
            let share =
                |load: &(NameHash, f64)| (share_per_weight * weight(&load.0) * fraction(load) * 10.0).ceil() as u32;
            let sum: f64 = loads.iter().map(|load| shares[&load.0] * fraction(load)).sum();
            fair_shares.insert(id.clone(), sum);
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            entry.fair_share = is_overloaded.then_some((now, sum));
            if !is_overloaded || is_recently_sent {
                continue;
            }
            entry.is_overload_notice_due = true;
            let listed = loads.iter().filter(|(customer, _)| *customer != UNLISTED).take(MAX_CUSTOMERS);
            entry.shares = listed.map(|load| CustomerShare { customer: load.0, tenths: share(load) }).collect();
        }
        fair_shares
    }
}
