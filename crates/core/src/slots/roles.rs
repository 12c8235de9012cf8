//! Selection of coordinators, and full reports of entries to a new coordinator.

use {
    super::{NameHash, ServiceSlots, Slots, name_hash},
    crate::ids::InstanceId,
    std::time::{Duration, Instant},
};

impl Slots {
    /// Selects the coordinator of a service; starts or stops the role if this instance is concerned.
    pub(super) fn assign_coordinator(&mut self, now: Instant, service: NameHash) {
        let chosen =
            self.live_entries.iter().max_by_key(|id| (name_hash::rank(service, name_hash(id)), (*id).clone())).cloned();
        let Some(chosen) = chosen else { return };
        let Some(slots) = self.services.get_mut(&service) else { return };
        if chosen != self.own_id {
            if slots.coordinator.is_active {
                slots.coordinator.stop();
                self.changed_services.insert(service);
            }
        } else if !slots.coordinator.is_active {
            slots.coordinator.is_active = true;
            self.counters.coordinator_starts += 1;
            self.start_coordinating(now, service);
        }
        if self.services[&service].holder.coordinator.as_ref() != Some(&chosen) {
            self.start_full_report(now, service, chosen, None);
        }
    }

    /// Starts the coordinator role for a service from scratch, if this instance has it.
    pub(super) fn start_coordinating(&mut self, now: Instant, service: NameHash) {
        let is_settled = self.live_entries.len() >= self.configured_entries
            || self.started_at.is_some_and(|at| now >= at + super::COLLECT_TIMEOUT);
        let Some(slots) = self.services.get_mut(&service) else { return };
        if slots.coordinator.is_active {
            slots.coordinator.start(now, is_settled);
            for link in self.links.values_mut() {
                let next = link.next_sequence();
                link.grants.forget(service, next);
            }
        }
    }

    /// Starts to report all holdings to a coordinator that has no state of them. The permits may be used until the lease
    /// of the coordinator that granted them ends. `lease_end` overrides the end of that lease if the lease may have been
    /// renewed after it expired.
    pub(super) fn start_full_report(
        &mut self,
        now: Instant,
        service: NameHash,
        to: InstanceId,
        lease_end: Option<Instant>,
    ) {
        let Some(slots) = self.services.get_mut(&service) else { return };
        let holder = &mut slots.holder;
        let previous = holder.coordinator.replace(to.clone());
        if let Some(link) = previous.and_then(|id| self.links.get_mut(&id)) {
            if holder.is_adopted {
                holder.previous_lease_end = lease_end.or(link.lease_end());
            }
            let next = link.next_sequence();
            link.holdings.forget(service, next);
        }
        if holder.previous_lease_end.is_none_or(|end| now >= end) {
            // Permits whose lease has expired may have been granted to another entry.
            holder.drop_granted();
        }
        holder.is_adopted = false;
        // All services share one counter. Otherwise a service that is removed and added again would restart at a number
        // that its coordinator considers outdated.
        self.last_full_report += 1;
        holder.full_report = self.last_full_report;
        holder.reset_versions();
        let held = holder.held_servers();
        let link = self.links.entry(to).or_default();
        let next = link.next_sequence();
        for server in held {
            link.holdings.mark(service, server, next);
        }
        link.due_reports.insert(service);
        link.schedule(now, Duration::ZERO);
    }

    /// Repeats the report of a service until its coordinator has adopted the permits.
    pub(super) fn report_until_adopted(&mut self, now: Instant, service: NameHash) {
        let Some(slots) = self.services.get(&service) else { return };
        let Some(coordinator) = slots.holder.coordinator.clone().filter(|_| !slots.holder.is_adopted) else { return };
        let link = self.links.entry(coordinator).or_default();
        if link.is_retransmit_due(now) {
            link.due_reports.insert(service);
            link.schedule(now, Duration::ZERO);
        }
    }

    /// Revokes all permits of an entry that was silent for the duration of its lease.
    pub(super) fn revoke(&mut self, id: &InstanceId) {
        self.counters.revocations += 1;
        if let Some(link) = self.links.get_mut(id) {
            link.revoke();
        }
        for (service, slots) in &mut self.services {
            slots.coordinator.reset(id);
            if slots.coordinator.is_active {
                self.changed_services.insert(*service);
            }
        }
    }

    /// Returns whether any service has permits allocated to an entry.
    pub(super) fn has_allocations(&self, id: &InstanceId) -> bool {
        let has_allocations =
            |slots: &ServiceSlots| slots.coordinator.entries.get(id).is_some_and(|entry| !entry.allocations.is_empty());
        self.services.values().any(has_allocations)
    }
}
