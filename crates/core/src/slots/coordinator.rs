//! The permits of one service that this instance hands out.

use {
    super::{Allotment, COLLECT, Member, NameHash, Outbox, REPEAT, SlotPool, SlotReport},
    crate::{collections::FastMap, ids::InstanceId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time for which an entry gets no permits for a server that it refused; a refusal is lifted by that time
/// without a message.
const REFUSAL: Duration = Duration::from_secs(1);

/// The permits of one service that this instance hands out while it is the coordinator. For every server
/// the sum of the bounds of all entries is counted as taken, so a slot is free only when no entry can use it.
#[derive(Debug, Default)]
pub(super) struct Coordinator {
    pub(super) service: NameHash,
    pub(super) is_active: bool,
    /// Whether something is to be done as time passes.
    pub(super) is_busy: bool,
    pub(super) members: BTreeMap<InstanceId, Member>,
    pub(super) pool: SlotPool,
    /// Weights of the customers that the text names.
    pub(super) weights: FastMap<NameHash, u32>,
    /// Grants whose record has changed.
    pub(super) changes: Vec<(InstanceId, NameHash)>,
    /// Since when entries have been waiting while no slot is free.
    pub(super) contended_since: Option<Instant>,
    pub(super) shared_at: Option<Instant>,
    /// When the entries were last told the shares of customers.
    pub(super) told_at: Option<Instant>,
    collecting_until: Option<Instant>,
    may_finish_early: bool,
}

impl Coordinator {
    /// Starts the role. Nothing is granted until all live entries have reported or [`COLLECT`] has passed.
    pub(super) fn start(&mut self, now: Instant, may_finish_early: bool) {
        (self.is_active, self.is_busy) = (true, true);
        self.may_finish_early = may_finish_early;
        self.collecting_until = Some(now + COLLECT);
        let members: Vec<_> = self.members.keys().cloned().collect();
        members.iter().for_each(|member| self.reset(member));
    }

    /// Ends the role. Entries that have not noticed are told, so that their permits are not renewed.
    pub(super) fn stop(&mut self) {
        (self.is_active, self.is_busy) = (false, false);
        let members: Vec<_> = self.members.keys().cloned().collect();
        members.iter().for_each(|member| self.reset(member));
        self.members.values_mut().for_each(|member| member.is_resync_due = true);
    }

    /// Returns whether grants may be made, which ends the collection of reports when it is due.
    pub(super) fn is_ready(&mut self, now: Instant, live: &[InstanceId]) -> bool {
        let Some(until) = self.collecting_until else { return true };
        let has_reported = |id: &InstanceId| self.members.get(id).is_some_and(|member| member.is_complete);
        if now < until && !(self.may_finish_early && live.iter().all(has_reported)) {
            return false;
        }
        self.collecting_until = None;
        true
    }

    /// Asks entries whose allotments are gone to report anew, until they do.
    pub(super) fn resync(&mut self, now: Instant, live: &[InstanceId]) {
        self.is_busy = self.collecting_until.is_some();
        for (id, member) in &mut self.members {
            // An entry that has begun to report anew is not asked again while the rest of its report follows,
            // as it would start from the beginning.
            if member.stale.is_none_or(|stale| member.attach > stale) || !live.contains(id) {
                continue;
            }
            self.is_busy = true;
            if member.resync_at.is_none_or(|at| now >= at + REPEAT) {
                member.resync_at = Some(now);
                member.is_resync_due = true;
            }
        }
    }

    /// Forgets what an entry holds; it has to report anew.
    pub(super) fn reset(&mut self, id: &InstanceId) {
        let Some(member) = self.members.get_mut(id) else { return };
        for (server, allotment) in member.allotments.drain() {
            self.pool.take(server, allotment.bound, 0);
        }
        member.reset();
    }

    /// Forgets an entry.
    pub(super) fn remove(&mut self, id: &InstanceId) {
        self.reset(id);
        self.members.remove(id);
    }

    /// Takes what an entry reports. `grants` holds the grants that the entry has not confirmed.
    pub(super) fn report(&mut self, now: Instant, from: &InstanceId, report: &SlotReport, grants: &Outbox) {
        if self.members.get(from).is_some_and(|member| member.attach < report.full_report) {
            self.reset(from);
        }
        let member = self.members.entry(from.clone()).or_default();
        if member.stale.is_some_and(|stale| report.full_report <= stale) {
            member.is_resync_due = true;
            return;
        }
        if report.full_report < member.attach {
            return;
        }
        member.attach = report.full_report;
        (member.need, member.in_flight) = (report.need, report.in_flight);
        member.need_at = Some(now);
        if !report.demand.is_empty() {
            member.demand.clone_from(&report.demand);
            member.listed_at = Some(now);
        }
        for holding in &report.holdings {
            let allotment = member.allotments.entry(holding.server).or_default();
            if holding.refused {
                member.refused.insert(holding.server, now + REFUSAL);
            } else {
                member.refused.remove(&holding.server);
            }
            let before = *allotment;
            if grants.contains(self.service, holding.server) {
                // The entry has yet to apply a grant that overrides what it says here.
                allotment.bound = allotment.bound.max(holding.held);
            } else {
                let target = if member.is_complete { allotment.target.min(holding.held) } else { holding.held };
                *allotment = Allotment { target, bound: holding.held.max(target), raised: 0 };
            }
            member.target = member.target - before.target + allotment.target;
            self.pool.take(holding.server, before.bound, allotment.bound);
            if allotment.target == 0 && allotment.bound == 0 {
                member.allotments.remove(&holding.server);
            }
        }
        member.is_adoption_due |= report.complete && !report.adopted;
        if report.complete && !member.is_complete {
            member.is_complete = true;
            let held: Vec<_> = member.allotments.keys().copied().collect();
            self.trim(from, held);
        }
    }

    /// Takes the confirmation of a grant.
    pub(super) fn confirm(&mut self, from: &InstanceId, server: NameHash) {
        let Some(member) = self.members.get_mut(from) else { return };
        let Some(allotment) = member.allotments.get_mut(&server) else { return };
        let before = *allotment;
        allotment.bound = allotment.target;
        allotment.raised = 0;
        member.raised -= before.raised;
        self.pool.take(server, before.bound, allotment.bound);
        if allotment.target == 0 && allotment.bound == 0 {
            member.allotments.remove(&server);
        }
    }

    /// Sets the permits that an entry shall hold.
    pub(super) fn set_target(&mut self, id: &InstanceId, server: NameHash, target: u32) {
        let Some(member) = self.members.get_mut(id) else { return };
        let allotment = member.allotments.entry(server).or_default();
        let before = *allotment;
        allotment.target = target;
        allotment.bound = allotment.bound.max(target);
        allotment.raised += target.saturating_sub(before.target);
        member.raised = member.raised - before.raised + allotment.raised;
        member.target = member.target - before.target + target;
        self.pool.take(server, before.bound, allotment.bound);
        self.changes.push((id.clone(), server));
    }

    /// Sets the slots of the servers that are open; permits for others are taken back.
    pub(super) fn set_capacity(&mut self, servers: &FastMap<NameHash, u32>) {
        self.pool.set_capacity(servers);
        if !self.is_active {
            return;
        }
        let members: Vec<_> = self.members.keys().cloned().collect();
        for id in &members {
            let held: Vec<_> = self.members[id].allotments.keys().copied().collect();
            self.trim(id, held);
        }
    }

    /// Takes back permits of an entry for which the servers have no slots.
    fn trim(&mut self, id: &InstanceId, mut servers: Vec<NameHash>) {
        servers.sort_unstable();
        for server in servers {
            let target = self
                .members
                .get(id)
                .and_then(|member| member.allotments.get(&server))
                .map_or(0, |allotment| allotment.target);
            let excess = self.pool.excess(server).min(target);
            if excess > 0 {
                self.set_target(id, server, target - excess);
            }
        }
    }
}
