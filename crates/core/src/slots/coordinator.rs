//! The permits of one service that this instance grants as its coordinator.

use {
    super::{Allocation, COLLECT_TIMEOUT, EntryState, NameHash, Outbox, RETRANSMIT_INTERVAL, SlotPool, SlotReport},
    crate::{collections::FastMap, ids::InstanceId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time for which an entry is not granted permits for a server that it refused. A refusal expires without a message.
const REFUSAL_DURATION: Duration = Duration::from_secs(1);

/// The permits of one service that this instance grants while it is the coordinator. For each server, the upper bounds
/// of all entries count as taken, so a slot is free only when no entry can use it.
#[derive(Debug, Default)]
pub(super) struct Coordinator {
    pub(super) service: NameHash,
    pub(super) is_active: bool,
    /// Whether the coordinator has time-based work to do.
    pub(super) needs_tick: bool,
    pub(super) entries: BTreeMap<InstanceId, EntryState>,
    pub(super) pool: SlotPool,
    /// Weights of the configured customers.
    pub(super) weights: FastMap<NameHash, u32>,
    /// Entries and servers whose grants have changed.
    pub(super) changes: Vec<(InstanceId, NameHash)>,
    /// Time since which entries have been waiting while no slot is free.
    pub(super) contended_since: Option<Instant>,
    pub(super) reallocated_at: Option<Instant>,
    /// Time when the shares of customers were last sent to the entries.
    pub(super) shares_sent_at: Option<Instant>,
    collecting_until: Option<Instant>,
    may_finish_early: bool,
}

impl Coordinator {
    /// Starts the coordinator role. No permits are granted until all live entries have reported or
    /// [`COLLECT_TIMEOUT`] has passed.
    pub(super) fn start(&mut self, now: Instant, may_finish_early: bool) {
        (self.is_active, self.needs_tick) = (true, true);
        self.may_finish_early = may_finish_early;
        self.collecting_until = Some(now + COLLECT_TIMEOUT);
        let entries: Vec<_> = self.entries.keys().cloned().collect();
        entries.iter().for_each(|entry| self.reset(entry));
    }

    /// Ends the coordinator role. Entries that have not noticed are notified, so that their permits are not renewed.
    pub(super) fn stop(&mut self) {
        (self.is_active, self.needs_tick) = (false, false);
        let entries: Vec<_> = self.entries.keys().cloned().collect();
        entries.iter().for_each(|entry| self.reset(entry));
        self.entries.values_mut().for_each(|entry| entry.is_resync_due = true);
    }

    /// Returns whether permits may be granted. Ends the collection of reports when it is complete or has timed out.
    pub(super) fn is_ready(&mut self, now: Instant, live: &[InstanceId]) -> bool {
        let Some(until) = self.collecting_until else { return true };
        let has_reported = |id: &InstanceId| self.entries.get(id).is_some_and(|entry| entry.is_complete);
        if now < until && !(self.may_finish_early && live.iter().all(has_reported)) {
            return false;
        }
        self.collecting_until = None;
        true
    }

    /// Requests a full report from entries whose allocations were discarded, until it arrives.
    pub(super) fn resync(&mut self, now: Instant, live: &[InstanceId]) {
        self.needs_tick = self.collecting_until.is_some();
        for (id, entry) in &mut self.entries {
            // An entry that has started its full report is not asked again, because it would start over.
            if entry.stale_report.is_none_or(|stale_report| entry.full_report > stale_report) || !live.contains(id) {
                continue;
            }
            self.needs_tick = true;
            if entry.resync_at.is_none_or(|at| now >= at + RETRANSMIT_INTERVAL) {
                entry.resync_at = Some(now);
                entry.is_resync_due = true;
            }
        }
    }

    /// Discards the allocations of an entry, which must send a full report.
    pub(super) fn reset(&mut self, id: &InstanceId) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        for (server, allocation) in entry.allocations.drain() {
            self.pool.set_taken(server, allocation.upper_bound, 0);
        }
        entry.reset();
    }

    /// Removes an entry.
    pub(super) fn remove(&mut self, id: &InstanceId) {
        self.reset(id);
        self.entries.remove(id);
    }

    /// Handles the report of an entry. `grants` contains the grants that the entry has not confirmed.
    pub(super) fn report(&mut self, now: Instant, from: &InstanceId, report: &SlotReport, grants: &Outbox) {
        if self.entries.get(from).is_some_and(|entry| entry.full_report < report.full_report) {
            self.reset(from);
        }
        let entry = self.entries.entry(from.clone()).or_default();
        if entry.stale_report.is_some_and(|stale_report| report.full_report <= stale_report) {
            entry.is_resync_due = true;
            return;
        }
        if report.full_report < entry.full_report {
            return;
        }
        entry.full_report = report.full_report;
        (entry.need, entry.in_flight) = (report.need, report.in_flight);
        entry.need_at = Some(now);
        if !report.demand.is_empty() {
            entry.demand.clone_from(&report.demand);
            entry.demand_at = Some(now);
        }
        for holding in &report.holdings {
            let allocation = entry.allocations.entry(holding.server).or_default();
            if holding.refused {
                entry.refused.insert(holding.server, now + REFUSAL_DURATION);
            } else {
                entry.refused.remove(&holding.server);
            }
            let before = *allocation;
            if grants.contains(self.service, holding.server) {
                // The entry has not yet applied a grant that overrides this report.
                allocation.upper_bound = allocation.upper_bound.max(holding.held);
            } else {
                let target = if entry.is_complete { allocation.target.min(holding.held) } else { holding.held };
                *allocation = Allocation { target, upper_bound: holding.held.max(target), unconfirmed: 0 };
            }
            entry.target = entry.target - before.target + allocation.target;
            self.pool.set_taken(holding.server, before.upper_bound, allocation.upper_bound);
            if allocation.target == 0 && allocation.upper_bound == 0 {
                entry.allocations.remove(&holding.server);
            }
        }
        entry.is_adoption_due |= report.complete && !report.adopted;
        if report.complete && !entry.is_complete {
            entry.is_complete = true;
            let held: Vec<_> = entry.allocations.keys().copied().collect();
            self.trim(from, held);
        }
    }

    /// Handles the confirmation of a grant.
    pub(super) fn confirm(&mut self, from: &InstanceId, server: NameHash) {
        let Some(entry) = self.entries.get_mut(from) else { return };
        let Some(allocation) = entry.allocations.get_mut(&server) else { return };
        let before = *allocation;
        allocation.upper_bound = allocation.target;
        allocation.unconfirmed = 0;
        entry.unconfirmed -= before.unconfirmed;
        self.pool.set_taken(server, before.upper_bound, allocation.upper_bound);
        if allocation.target == 0 && allocation.upper_bound == 0 {
            entry.allocations.remove(&server);
        }
    }

    /// Sets the number of permits that an entry is to hold for a server.
    pub(super) fn set_target(&mut self, id: &InstanceId, server: NameHash, target: u32) {
        let Some(entry) = self.entries.get_mut(id) else { return };
        let allocation = entry.allocations.entry(server).or_default();
        let before = *allocation;
        allocation.target = target;
        allocation.upper_bound = allocation.upper_bound.max(target);
        allocation.unconfirmed += target.saturating_sub(before.target);
        entry.unconfirmed = entry.unconfirmed - before.unconfirmed + allocation.unconfirmed;
        entry.target = entry.target - before.target + target;
        self.pool.set_taken(server, before.upper_bound, allocation.upper_bound);
        self.changes.push((id.clone(), server));
    }

    /// Sets the number of slots of each open server; permits for other servers are reclaimed.
    pub(super) fn set_capacity(&mut self, servers: &FastMap<NameHash, u32>) {
        self.pool.set_capacity(servers);
        if !self.is_active {
            return;
        }
        let entries: Vec<_> = self.entries.keys().cloned().collect();
        for id in &entries {
            let held: Vec<_> = self.entries[id].allocations.keys().copied().collect();
            self.trim(id, held);
        }
    }

    /// Reclaims permits of an entry that exceed the slots of the servers.
    fn trim(&mut self, id: &InstanceId, mut servers: Vec<NameHash>) {
        servers.sort_unstable();
        for server in servers {
            let target = self
                .entries
                .get(id)
                .and_then(|entry| entry.allocations.get(&server))
                .map_or(0, |allocation| allocation.target);
            let excess = self.pool.excess(server).min(target);
            if excess > 0 {
                self.set_target(id, server, target - excess);
            }
        }
    }
}
