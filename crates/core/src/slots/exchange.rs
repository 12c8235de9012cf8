//! Handling of received slot messages and construction of outgoing ones.

use {
    super::{
        ACK_DELAY, CustomerDemand, Holding, LEASE_DURATION, LISTING_DURATION, MAX_CUSTOMERS, MAX_SERVICES, NameHash,
        Permit, Received, SlotGrant, SlotMessage, SlotReport, Slots, UNLISTED,
    },
    crate::ids::InstanceId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

impl Slots {
    /// Handles a message from another instance, or from this one in its other role.
    pub fn receive(&mut self, now: Instant, from: &InstanceId, message: &SlotMessage) {
        if self.links.get(from).is_some_and(|link| link.is_silent(now)) && self.has_allocations(from) {
            self.revoke(from);
        }
        let header = message.header();
        let link = self.links.entry(from.clone()).or_default();
        link.receive_ack(self.incarnation, header);
        let has_grants = matches!(message, SlotMessage::Update(_, _, grants) if !grants.is_empty());
        if has_grants && !link.holdings.has_room() {
            // Applied grants must be reported in the message that acknowledges them, so that a permit that was
            // reclaimed while its call is running is not granted again. The grants will be retransmitted.
            self.counters.dropped += 1;
            return;
        }
        let lease_end = link.lease_end();
        let (current, is_new) = match link.receive_header(now, self.incarnation, header) {
            Received::Dropped => {
                self.counters.dropped += 1;
                return;
            }
            Received::New => (None, true),
            Received::Current { is_new, is_revoked, is_current_epoch } => {
                (Some((is_revoked, is_current_epoch)), is_new)
            }
        };
        self.counters.received += 1;
        if is_new {
            self.handle_restart(now, from, lease_end);
        }
        let Some((is_revoked, is_current_epoch)) = current else { return };
        if is_revoked {
            self.handle_revocation(now, from);
        }
        let Some(link) = self.links.get_mut(from) else { return };
        if header.wants_ack {
            link.schedule(now, ACK_DELAY);
        }
        if !is_current_epoch {
            // The entry must be informed of the new epoch.
            link.schedule(now, Duration::ZERO);
        }
        let next = link.next_sequence();
        // Confirmations are handled first: the reports in this message reflect the state after the grants were applied.
        for (service, server) in link.grants.confirm(header.ack, next) {
            if let Some(slots) = self.services.get_mut(&service) {
                slots.coordinator.confirm(from, server);
                self.changed_services.insert(service);
            }
        }
        if let SlotMessage::Update(_, reports, grants) = message {
            for grant in grants {
                self.apply_grant(now, from, grant, header.sequence, lease_end);
            }
            if is_current_epoch {
                for report in reports {
                    self.handle_report(now, from, report);
                }
            }
        }
    }

    /// Allocates the permits of changed services and appends the messages that are due. `demand` returns the calls of a
    /// service by customer.
    pub fn flush(
        &mut self,
        now: Instant,
        demand: &dyn Fn(NameHash) -> Vec<CustomerDemand>,
        messages: &mut Vec<(InstanceId, SlotMessage)>,
    ) {
        for service in std::mem::take(&mut self.changed_services) {
            self.allocate(now, service);
        }
        let due: Vec<_> = self.links.iter().filter(|(_, link)| link.is_due(now)).map(|(id, _)| id.clone()).collect();
        for id in due {
            let message = self.build_message(now, &id, demand);
            if id != self.own_id {
                self.counters.sent += 1;
                self.counters.renewals += u64::from(matches!(message, SlotMessage::Renew(_)));
            }
            messages.push((id, message));
        }
    }

    /// Returns whether this entry holds permits granted by `peer`.
    pub(super) fn holds_permits_from(&self, peer: &InstanceId) -> bool {
        let holds = |holder: &super::Holder| holder.coordinator.as_ref() == Some(peer) && holder.granted() > 0;
        self.services.values().any(|slots| holds(&slots.holder))
    }

    fn allocate(&mut self, now: Instant, service: NameHash) {
        let Some(slots) = self.services.get_mut(&service) else { return };
        slots.coordinator.allocate(now, &self.live_entries, &mut self.rng);
        for (id, server) in std::mem::take(&mut slots.coordinator.changes) {
            let link = self.links.entry(id).or_default();
            let next = link.next_sequence();
            link.grants.mark(service, server, next);
            link.schedule(now, Duration::ZERO);
        }
        for (id, entry) in &slots.coordinator.entries {
            if entry.is_adoption_due || entry.is_resync_due || entry.recall > 0 || entry.is_overload_notice_due {
                let link = self.links.entry(id.clone()).or_default();
                link.due_replies.insert(service);
                link.schedule(now, Duration::ZERO);
            }
        }
    }

    fn build_message(
        &mut self,
        now: Instant,
        to: &InstanceId,
        demand: &dyn Fn(NameHash) -> Vec<CustomerDemand>,
    ) -> SlotMessage {
        let holds_permits = self.holds_permits_from(to);
        let link = self.links.entry(to.clone()).or_default();
        let mut reports: BTreeMap<NameHash, Vec<NameHash>> = BTreeMap::new();
        link.holdings.records().for_each(|(service, server, _)| reports.entry(service).or_default().push(server));
        let mut grants: BTreeMap<NameHash, Vec<(NameHash, u64)>> = BTreeMap::new();
        for (service, server, first) in link.grants.records() {
            grants.entry(service).or_default().push((server, first));
        }
        for service in take_some(&mut link.due_reports) {
            reports.entry(service).or_default();
        }
        for service in take_some(&mut link.due_replies) {
            grants.entry(service).or_default();
        }
        let has_more = !link.due_reports.is_empty() || !link.due_replies.is_empty();
        let wants_ack = link.has_unacknowledged() || holds_permits && link.needs_renewal(now);
        let header = link.next_header(now, self.incarnation, wants_ack);
        let sequence = header.sequence;
        if has_more {
            link.schedule(now, Duration::ZERO);
        }
        if reports.is_empty() && grants.is_empty() {
            return SlotMessage::Renew(header);
        }
        let mut room = MAX_CUSTOMERS;
        let reports = reports
            .into_iter()
            .filter_map(|(service, servers)| self.build_report(now, to, service, &servers, demand, &mut room));
        let reports = reports.collect();
        let mut room = MAX_CUSTOMERS;
        let grants = grants
            .into_iter()
            .filter_map(|(service, servers)| self.build_grant(to, service, &servers, sequence, &mut room));
        let grants = grants.collect();
        SlotMessage::Update(header, reports, grants)
    }

    fn build_report(
        &mut self,
        now: Instant,
        to: &InstanceId,
        service: NameHash,
        servers: &[NameHash],
        demand: &dyn Fn(NameHash) -> Vec<CustomerDemand>,
        room: &mut usize,
    ) -> Option<SlotReport> {
        let slots = self.services.get_mut(&service)?;
        let mut customers = if slots.begin_listing(now) { demand(service) } else { Vec::new() };
        let holder = &slots.holder;
        customers
            .sort_unstable_by_key(|demand| (std::cmp::Reverse(demand.waiting + demand.in_flight), demand.customer));
        if customers.len() > *room {
            let rest = customers.split_off(room.saturating_sub(1));
            if *room > 0 {
                let sum = |part: fn(&CustomerDemand) -> u32| rest.iter().map(part).sum();
                let (waiting, in_flight) = (sum(|rest| rest.waiting), sum(|rest| rest.in_flight));
                customers.push(CustomerDemand { customer: UNLISTED, waiting, in_flight });
            }
        }
        *room -= customers.len();
        let holding = |server: &NameHash| {
            let permits = holder.server(*server).cloned().unwrap_or_default();
            Holding { server: *server, held: permits.held(), refused: !permits.is_open, in_flight: permits.in_flight }
        };
        Some(SlotReport {
            service,
            full_report: holder.full_report,
            complete: self.links.get(to)?.holdings.is_complete(service),
            adopted: holder.is_adopted,
            need: if slots.waiting > 0 { holder.reported_need } else { 0 },
            in_flight: holder.in_flight(),
            demand: customers,
            holdings: servers.iter().map(holding).collect(),
        })
    }

    fn build_grant(
        &mut self,
        to: &InstanceId,
        service: NameHash,
        servers: &[(NameHash, u64)],
        sequence: u64,
        room: &mut usize,
    ) -> Option<SlotGrant> {
        let entry = self.services.get_mut(&service)?.coordinator.entries.get_mut(to)?;
        let permit = |(server, first): &(NameHash, u64)| Permit {
            server: *server,
            count: entry.allocations.get(server).map_or(0, |allocation| allocation.target),
            age: sequence.saturating_sub(*first) as u32,
        };
        let permits = servers.iter().map(permit).collect();
        let mut shares = std::mem::take(&mut entry.shares);
        shares.truncate(*room);
        *room -= shares.len();
        entry.is_adoption_due = false;
        Some(SlotGrant {
            service,
            full_report: entry.full_report,
            resync: std::mem::take(&mut entry.is_resync_due),
            overload: std::mem::take(&mut entry.is_overload_notice_due),
            recall: std::mem::take(&mut entry.recall),
            permits,
            shares,
        })
    }

    /// Applies the permits that a coordinator granted or reclaimed.
    fn apply_grant(
        &mut self,
        now: Instant,
        from: &InstanceId,
        grant: &SlotGrant,
        sequence: u64,
        lease_end: Option<Instant>,
    ) {
        let Some(slots) = self.services.get_mut(&grant.service) else { return };
        if slots.holder.coordinator.as_ref() != Some(from) || slots.holder.full_report != grant.full_report {
            return;
        }
        if grant.resync {
            return self.start_full_report(now, grant.service, from.clone(), lease_end);
        }
        slots.holder.is_adopted = true;
        slots.holder.previous_lease_end = None;
        if grant.overload {
            slots.listing_end = Some(now + LISTING_DURATION);
        }
        if !grant.shares.is_empty() {
            slots.shares.clone_from(&grant.shares);
            slots.shares_end = Some(now + LEASE_DURATION);
        }
        for permit in &grant.permits {
            let Some(slots) = self.services.get_mut(&grant.service) else { return };
            if !slots.holder.update_version(permit.server, sequence.saturating_sub(u64::from(permit.age))) {
                continue;
            }
            let before = slots.holder.server(permit.server).map_or(0, |permits| permits.granted);
            // Permits for a server that is not open at this entry are returned immediately.
            let is_open = slots.holder.server(permit.server).is_some_and(|permits| permits.is_open);
            let count = if is_open { permit.count } else { 0 };
            let held = slots.holder.set_granted(permit.server, count);
            if count < before || held != permit.count {
                self.mark_applied(now, grant.service, permit.server);
            }
        }
        if grant.recall > 0 {
            self.release_idle(now, grant.service, grant.recall, Duration::ZERO);
            if let Some(link) = self.links.get_mut(from) {
                link.due_reports.insert(grant.service);
                link.schedule(now, Duration::ZERO);
            }
        }
    }

    fn handle_report(&mut self, now: Instant, from: &InstanceId, report: &SlotReport) {
        let Some(slots) = self.services.get_mut(&report.service) else { return };
        if !slots.coordinator.is_active {
            return;
        }
        let Some(link) = self.links.get(from) else { return };
        slots.coordinator.report(now, from, report, &link.grants);
        self.changed_services.insert(report.service);
    }

    /// Handles the restart of a peer: its permits as an entry are lost, and as a coordinator it has no state.
    fn handle_restart(&mut self, now: Instant, peer: &InstanceId, lease_end: Option<Instant>) {
        self.restart_attached(now, peer, |holder| {
            if holder.is_adopted {
                (holder.is_adopted, holder.previous_lease_end) = (false, lease_end);
            }
        });
        self.services.values_mut().for_each(|slots| slots.coordinator.remove(peer));
        let active = self.services.iter().filter(|(_, slots)| slots.coordinator.is_active).map(|(service, _)| *service);
        self.changed_services.extend(active);
    }

    /// Handles the revocation of all permits by a coordinator.
    fn handle_revocation(&mut self, now: Instant, peer: &InstanceId) {
        self.restart_attached(now, peer, |holder| {
            holder.drop_granted();
            holder.previous_lease_end = None;
            holder.is_adopted = false;
        });
    }

    /// Changes the holders of all services that `peer` coordinates, and starts a full report for each.
    fn restart_attached(&mut self, now: Instant, peer: &InstanceId, change: impl Fn(&mut super::Holder)) {
        let attached = self.services.iter().filter(|(_, slots)| slots.holder.coordinator.as_ref() == Some(peer));
        let attached: BTreeSet<_> = attached.map(|(service, _)| *service).collect();
        for service in attached {
            if let Some(slots) = self.services.get_mut(&service) {
                change(&mut slots.holder);
            }
            self.start_full_report(now, service, peer.clone(), None);
        }
    }
}

/// Removes and returns as many services as one message lists.
fn take_some(services: &mut BTreeSet<NameHash>) -> Vec<NameHash> {
    let taken: Vec<_> = services.iter().copied().take(MAX_SERVICES).collect();
    taken.iter().for_each(|service| {
        services.remove(service);
    });
    taken
}
