//! Slot sharing of one instance, as entry and as coordinator.

use {
    super::{ACK_DELAY, CustomerShare, Link, NameHash, ServiceSlots, SlotCounters, name_hash},
    crate::{
        collections::{FastMap, FastSet},
        ids::{Incarnation, InstanceId},
    },
    rand::rngs::SmallRng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Gap between two events that indicates that the process was frozen. Its peers may have selected new coordinators by
/// then, because a peer is suspected after 1 s without a heartbeat, and the last one may have been sent 250 ms earlier.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(700);

/// Slot sharing of one instance, as entry and as coordinator.
#[derive(Debug)]
pub struct Slots {
    pub(super) own_id: InstanceId,
    pub(super) incarnation: Incarnation,
    pub(super) configured_entries: usize,
    pub(super) rng: SmallRng,
    pub(super) live_entries: Vec<InstanceId>,
    pub(super) links: BTreeMap<InstanceId, Link>,
    pub(super) services: FastMap<NameHash, ServiceSlots>,
    /// Services whose permits must be reallocated.
    pub(super) changed_services: BTreeSet<NameHash>,
    pub(super) counters: SlotCounters,
    last_event: Option<Instant>,
    pub(super) started_at: Option<Instant>,
    last_tick: Option<Instant>,
    /// Number of the last full report of any service.
    pub(super) last_full_report: u32,
}

impl Slots {
    /// Creates the state of an instance without services and peers. `configured_entries` is the number of entries in the
    /// settings.
    pub fn new(own_id: InstanceId, incarnation: Incarnation, configured_entries: usize, rng: SmallRng) -> Self {
        let own_link = Link::local();
        Self {
            live_entries: vec![own_id.clone()],
            links: BTreeMap::from([(own_id.clone(), own_link)]),
            own_id,
            incarnation,
            configured_entries: configured_entries.max(1),
            rng,
            services: FastMap::default(),
            changed_services: BTreeSet::new(),
            counters: SlotCounters::default(),
            last_event: None,
            started_at: None,
            last_tick: None,
            last_full_report: 0,
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> SlotCounters {
        self.counters
    }

    /// Records the time of an event; must be called before the event is handled. If the process was frozen, revokes all
    /// permits that it had granted.
    pub fn begin_event(&mut self, now: Instant) {
        self.started_at.get_or_insert(now);
        let was_frozen = self.last_event.is_some_and(|last| now >= last + FREEZE_THRESHOLD);
        self.last_event = Some(now);
        if was_frozen {
            // Earlier grants are no longer accounted for, so they must not be used any longer.
            self.links.values_mut().for_each(Link::revoke);
            let services: Vec<_> = self.services.keys().copied().collect();
            for service in services {
                self.start_coordinating(now, service);
            }
        }
    }

    /// Sets the live entries.
    pub fn set_peers(&mut self, now: Instant, peers: Vec<InstanceId>) {
        self.live_entries = peers;
        self.live_entries.push(self.own_id.clone());
        self.live_entries.sort_unstable();
        self.live_entries.dedup();
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        for service in services {
            self.assign_coordinator(now, service);
        }
        let (live, links) = (&self.live_entries, &mut self.links);
        let removed: Vec<_> = links.keys().filter(|id| !live.contains(id)).cloned().collect();
        for id in removed {
            let is_needed = self.has_allocations(&id) || self.links[&id].has_lease(now);
            if !is_needed {
                self.services.values_mut().for_each(|service| service.coordinator.remove(&id));
            }
        }
    }

    /// Sets the servers of a service that are open for new calls, with the number of slots of each.
    pub fn set_servers(&mut self, now: Instant, service: NameHash, servers: FastMap<NameHash, u32>) {
        let own_hash = name_hash(&self.own_id);
        let slots = self.services.entry(service).or_default();
        if slots.servers == servers {
            return;
        }
        slots.coordinator.service = service;
        slots.holder.set_servers(own_hash, self.configured_entries, &servers);
        slots.coordinator.set_capacity(&servers);
        slots.total_slots = servers.values().sum();
        slots.servers = servers;
        for server in slots.holder.closed_servers() {
            if let Some(slots) = self.services.get_mut(&service) {
                slots.holder.set_granted(server, 0);
            }
            self.mark_holding(now, service, server, ACK_DELAY);
        }
        self.assign_coordinator(now, service);
        self.changed_services.insert(service);
    }

    /// Adds or updates a configured service with the weights of its configured customers.
    pub fn set_service(&mut self, now: Instant, service: NameHash, weights: FastMap<NameHash, u32>) {
        let slots = self.services.entry(service).or_default();
        slots.coordinator.weights = weights;
        if slots.holder.coordinator.is_none() {
            // A service without servers also needs a coordinator: peers that have selected this instance repeat their
            // reports until it replies.
            self.assign_coordinator(now, service);
        }
    }

    /// Removes all services except the given ones.
    pub fn retain_services(&mut self, services: &FastSet<NameHash>) {
        self.services.retain(|service, _| services.contains(service));
        for link in self.links.values_mut() {
            link.retain(services);
        }
    }

    /// Returns the servers of a service with a free permit that may be used now.
    pub fn free_servers(&mut self, now: Instant, service: NameHash) -> &[NameHash] {
        let Some(slots) = self.services.get_mut(&service) else { return &[] };
        let was_fallback = slots.holder.is_fallback;
        if !slots.update_usable(now, &self.links) {
            return &[];
        }
        self.counters.fallbacks += u64::from(slots.holder.is_fallback && !was_fallback);
        slots.holder.free_servers()
    }

    /// Records the start of a call to a server.
    pub fn start_call(&mut self, now: Instant, service: NameHash, server: NameHash) {
        let Some(slots) = self.services.get_mut(&service) else { return };
        slots.holder.start_call(server);
        slots.holder.last_call_start = Some(now);
    }

    /// Records the end of a call to a server.
    pub fn end_call(&mut self, now: Instant, service: NameHash, server: NameHash) {
        let Some(slots) = self.services.get_mut(&service) else { return };
        slots.holder.last_call_end = Some(now);
        if slots.holder.end_call(server) {
            // The permit was reclaimed while the call was running; the coordinator is waiting for it.
            self.mark_holding(now, service, server, Duration::ZERO);
        }
    }

    /// Sets the number of waiting calls of a service and the mean service time of a call.
    pub fn set_waiting(&mut self, now: Instant, service: NameHash, waiting: u32, service_time: Duration) {
        let Some(slots) = self.services.get_mut(&service) else { return };
        let Some(coordinator) = slots.holder.coordinator.clone() else { return };
        if slots.set_waiting(now, waiting, service_time, coordinator == self.own_id) {
            let link = self.links.entry(coordinator).or_default();
            link.due_reports.insert(service);
            link.schedule(now, Duration::ZERO);
        }
    }

    /// Returns the shares of customers at this entry while the service is overloaded.
    pub fn shares(&self, now: Instant, service: NameHash) -> &[CustomerShare] {
        match self.services.get(&service) {
            Some(slots) if slots.shares_end.is_some_and(|end| now < end) => &slots.shares,
            _ => &[],
        }
    }

    /// Returns the number of granted permits that this entry may use now for a server. Its fallback share is not
    /// included.
    pub fn permits(&self, now: Instant, service: NameHash, server: NameHash) -> u32 {
        let Some(slots) = self.services.get(&service) else { return 0 };
        let holder = &slots.holder;
        let link = holder.coordinator.as_ref().and_then(|id| self.links.get(id));
        let is_leased = holder.is_adopted && link.is_some_and(|link| link.has_lease(now));
        let is_previous = !holder.is_adopted && holder.previous_lease_end.is_some_and(|end| now < end);
        if is_leased || is_previous { holder.server(server).map_or(0, |permits| permits.granted) } else { 0 }
    }

    /// Estimates the number of permits that this entry can soon have for a service: the number it holds, or an equal
    /// share of all slots if that is greater, because permits follow the load. Under overload, other customers may leave
    /// it less, so half of the equal share is used.
    pub fn expected_permits(&self, now: Instant, service: NameHash) -> u32 {
        let Some(slots) = self.services.get(&service) else { return 0 };
        let held = slots.holder.granted().max(slots.holder.in_flight());
        let equal_share = slots.total_slots.div_ceil(self.live_entries.len() as u32);
        held.max(if slots.is_listing(now) { equal_share / 2 } else { equal_share })
    }

    /// Estimates the number of slots of a service that are in use by all entries. The coordinator counts them; other
    /// entries extrapolate from their own calls.
    pub fn slots_in_use(&self, service: NameHash) -> u32 {
        let Some(slots) = self.services.get(&service) else { return 0 };
        if slots.coordinator.is_active {
            slots.coordinator.entries.values().map(|entry| entry.target).sum()
        } else {
            slots.holder.in_flight() * self.live_entries.len() as u32
        }
    }

    /// Returns the coordinator of a service.
    pub fn coordinator(&self, service: NameHash) -> Option<&InstanceId> {
        self.services.get(&service)?.holder.coordinator.as_ref()
    }

    /// Handles time-based work: revocations, returns of idle permits, reports and retransmissions.
    pub fn tick(&mut self, now: Instant) {
        if self.last_tick == Some(now) {
            return;
        }
        self.last_tick = Some(now);
        let silent: Vec<_> =
            self.links.iter().filter(|(_, link)| link.is_silent(now)).map(|(id, _)| id.clone()).collect();
        for id in &silent {
            if self.has_allocations(id) {
                self.revoke(id);
            }
        }
        let mut services: Vec<_> = self.services.keys().copied().collect();
        services.sort_unstable();
        for service in services {
            let Some(slots) = self.services.get_mut(&service) else { continue };
            if slots.coordinator.needs_tick {
                self.changed_services.insert(service);
            }
            let surplus = slots.review_idle(now);
            if surplus > 0 {
                self.release_idle(now, service, surplus, ACK_DELAY);
            }
            let Some(slots) = self.services.get_mut(&service) else { continue };
            if slots.is_listing_due(now)
                && let Some(link) = slots.holder.coordinator.as_ref().and_then(|id| self.links.get_mut(id))
            {
                link.due_reports.insert(service);
                link.schedule(now, Duration::ZERO);
            }
            self.report_until_adopted(now, service);
        }
        self.retransmit(now);
    }

    /// Schedules retransmissions of unacknowledged messages and renewals of leases.
    fn retransmit(&mut self, now: Instant) {
        let due: Vec<_> =
            self.links.iter().filter(|(_, link)| link.is_retransmit_due(now)).map(|(id, _)| id.clone()).collect();
        for id in due {
            let link = &self.links[&id];
            if link.has_unacknowledged() || link.needs_renewal(now) && self.holds_permits_from(&id) {
                self.links.entry(id).or_default().schedule(now, Duration::ZERO);
            }
        }
    }

    /// Returns idle permits to the coordinator.
    pub(super) fn release_idle(&mut self, now: Instant, service: NameHash, count: u32, within: Duration) {
        for _ in 0..count {
            let Some(slots) = self.services.get_mut(&service) else { return };
            if slots.holder.is_fallback {
                return;
            }
            let Some(server) = slots.holder.free_servers().last().copied() else { return };
            let granted = slots.holder.server(server).map_or(0, |permits| permits.granted);
            slots.holder.set_granted(server, granted.saturating_sub(1));
            self.mark_holding(now, service, server, within);
        }
    }

    /// Schedules a report of the permits held for a server.
    pub(super) fn mark_holding(&mut self, now: Instant, service: NameHash, server: NameHash, within: Duration) {
        let coordinator = self.services.get(&service).and_then(|slots| slots.holder.coordinator.clone());
        let Some(coordinator) = coordinator else { return };
        let link = self.links.entry(coordinator).or_default();
        let next = link.next_sequence();
        link.holdings.mark(service, server, next);
        link.schedule(now, within);
    }

    /// Schedules a report of the permits held for a server, together with the acknowledgement of a grant.
    pub(super) fn mark_applied(&mut self, now: Instant, service: NameHash, server: NameHash) {
        let coordinator = self.services.get(&service).and_then(|slots| slots.holder.coordinator.clone());
        let Some(link) = coordinator.and_then(|id| self.links.get_mut(&id)) else { return };
        let next = link.next_sequence();
        link.holdings.mark_urgent(service, server, next);
        link.schedule(now, Duration::ZERO);
    }
}
