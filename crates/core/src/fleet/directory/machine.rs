//! Directory of servers with a revision history.

use {
    super::{MAX_CHANGES, MAX_DIRECTORY_BYTES, MAX_SERVER_SILENCE, StoredRecord, Tombstones},
    crate::{
        collections::{FastMap, FastSet},
        fleet::{FleetLogEvent, ReceivedRecord, Renewal, ServerRecord, UsableServer},
        ids::{DataCentreId, InstanceId, ServerId, ServiceId},
    },
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Maximum warm-up of a server. The value in a heartbeat is unbounded, and adding a too large one to an `Instant` would
/// overflow and stop the replica.
const MAX_WARM_UP: Duration = Duration::from_secs(24 * 3_600);

/// Effect of an announcement on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::fleet) enum AnnouncementOutcome {
    /// A newer announcement is known.
    Stale,
    /// The configuration does not name its service, but that of the server that has the id or the address.
    UnknownService,
    /// It renewed a record.
    Renewed,
    /// It added or changed a record.
    Changed,
    /// The directory is full.
    Full,
}

/// Servers that announced themselves to any replica. The revision increases with every change that affects entries.
#[derive(Clone, Debug, Default)]
pub(in crate::fleet) struct Directory {
    pub(super) records: FastMap<ServerId, StoredRecord>,
    addresses: FastMap<SocketAddr, ServerId>,
    /// Services that the configuration names.
    services: FastSet<ServiceId>,
    /// Data centres whose servers entries do not use.
    evacuated: FastSet<DataCentreId>,
    tombstones: Tombstones,
    bytes: usize,
    revision: u64,
    /// Server that each of the last revisions changed, newest last.
    changes: VecDeque<ServerId>,
}

impl Directory {
    pub(in crate::fleet) fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the services that the configuration names. A record of another service comes from another writer, or from a
    /// server that starts before its service is configured. Returns the draining servers, with their incarnations, whose
    /// service was not named before.
    pub(in crate::fleet) fn set_services<'a>(&mut self, names: impl Iterator<Item = &'a str>) -> Vec<(ServerId, u64)> {
        let services: FastSet<ServiceId> = names.map(ServiceId::from).collect();
        let mut draining = Vec::new();
        for stored in self.records.values_mut().filter(|stored| services.contains(&stored.record.service)) {
            let record = &stored.record;
            if record.is_draining && !stored.is_departed && !self.services.contains(&record.service) {
                draining.push((record.server.clone(), record.incarnation));
            }
            stored.was_configured = true;
        }
        self.services = services;
        draining
    }

    fn is_configured(&self, record: &ServerRecord) -> bool {
        self.services.contains(&record.service)
    }

    /// Returns the incarnation of a server.
    pub(in crate::fleet) fn incarnation(&self, server: &str) -> Option<u64> {
        self.records.get(server).map(|stored| stored.record.incarnation)
    }

    /// Returns the incarnation that a departure without one concerns. A record of a service that the configuration never
    /// named does not count, as it may come from another writer.
    pub(in crate::fleet) fn departing_incarnation(&self, server: &str) -> Option<u64> {
        self.records.get(server).filter(|stored| stored.was_configured).map(|stored| stored.record.incarnation)
    }

    /// Returns whether the configuration names a service, or named it since this incarnation of a server of that service
    /// announced itself.
    pub(in crate::fleet) fn was_configured(&self, server: &str, service: &str, incarnation: u64) -> bool {
        let is_same =
            |stored: &&StoredRecord| *stored.record.service == *service && stored.record.incarnation == incarnation;
        self.services.contains(service)
            || self.records.get(server).filter(is_same).is_some_and(|stored| stored.was_configured)
    }

    pub(in crate::fleet) fn received_record(&self, now: Instant, server: &str) -> Option<ReceivedRecord> {
        self.records.get(server).map(|stored| stored.to_received(now))
    }

    pub(in crate::fleet) fn renewal(&self, now: Instant, server: &str) -> Option<Renewal> {
        self.records.get(server).map(|stored| stored.to_renewal(now))
    }

    /// Returns every record.
    pub(in crate::fleet) fn all_records(&self, now: Instant) -> Vec<ReceivedRecord> {
        self.records.values().map(|stored| stored.to_received(now)).collect()
    }

    /// Returns every usable server that announced itself within a time.
    pub(in crate::fleet) fn usable_servers(&self, now: Instant, within: Duration) -> Vec<UsableServer> {
        let usable =
            self.records.values().filter(|stored| stored.is_usable() && stored.is_received_within(now, within));
        usable.map(|stored| stored.to_usable(now)).collect()
    }

    /// Returns whether the changes after a revision are still known.
    pub(in crate::fleet) fn has_changes_since(&self, after: u64) -> bool {
        self.revision.checked_sub(after).is_some_and(|behind| behind <= self.changes.len() as u64)
    }

    /// Returns the changes after a revision: servers that are usable now, and servers that are not. Returns `None` if
    /// a usable server did not announce itself within a time.
    pub(in crate::fleet) fn changes_since(
        &self,
        now: Instant,
        after: u64,
        within: Duration,
    ) -> Option<(Vec<UsableServer>, Vec<ServerId>)> {
        let behind = usize::try_from(self.revision.checked_sub(after)?).ok()?;
        let first = self.changes.len().checked_sub(behind)?;
        let (mut usable, mut removed, mut seen) = (Vec::new(), Vec::new(), FastSet::default());
        for server in self.changes.range(first..).filter(|server| seen.insert(*server)) {
            match self.records.get(server).filter(|stored| stored.is_usable()) {
                Some(stored) if stored.is_received_within(now, within) => usable.push(stored.to_usable(now)),
                Some(_) => return None,
                None => removed.push(server.clone()),
            }
        }
        Some((usable, removed))
    }

    /// Applies an announcement. `content_sequence` is `None` if this replica received it from the server. `departed` is
    /// the last departed incarnation of the server.
    pub(in crate::fleet) fn apply_announcement(
        &mut self,
        now: Instant,
        record: ServerRecord,
        content_sequence: Option<u64>,
        (received_by, received_at): (InstanceId, Instant),
        departed: Option<u64>,
        logs: &mut Vec<FleetLogEvent>,
    ) -> AnnouncementOutcome {
        let server = record.server.clone();
        let previous = self.records.get(&server);
        let conflicting = self.addresses.get(&record.address).filter(|conflicting| **conflicting != server).cloned();
        let holder = conflicting.as_ref().and_then(|conflicting| self.records.get(conflicting));
        let conflicting_incarnation = holder.map(|holder| holder.record.incarnation);
        // A record of a service that the configuration names is never replaced by one of another service, and replaces
        // such a one whatever its incarnation.
        let is_configured = self.is_configured(&record);
        let yields_to = |stored: &StoredRecord| !is_configured && self.is_configured(&stored.record);
        let supersedes = |stored: &StoredRecord| is_configured && !self.is_configured(&stored.record);
        if previous.is_some_and(yields_to) || holder.is_some_and(yields_to) {
            logs.push(FleetLogEvent::UnknownService(server, record.service));
            return AnnouncementOutcome::UnknownService;
        }
        let is_stale = match previous {
            Some(stored) => !supersedes(stored) && stored.record.order() >= record.order(),
            None => self.tombstones.covers(&server, record.order()),
        };
        let is_older = (conflicting_incarnation, conflicting.as_ref()) > (Some(record.incarnation), Some(&server));
        if is_stale || is_older && !holder.is_some_and(supersedes) {
            return AnnouncementOutcome::Stale;
        }
        let mut stored = StoredRecord {
            content_sequence: content_sequence.unwrap_or(record.sequence),
            received_at,
            received_by,
            warm_until: received_at + record.warm_up.min(MAX_WARM_UP),
            is_departed: departed.is_some_and(|departed| record.incarnation <= departed),
            is_evacuated: self.evacuated.contains(&record.data_centre),
            is_restored: false,
            was_configured: is_configured || previous.is_some_and(|previous| previous.vouches_for(&record)),
            record,
        };
        let bytes = self.bytes - previous.map_or(0, StoredRecord::size) + stored.size();
        if bytes > MAX_DIRECTORY_BYTES {
            return AnnouncementOutcome::Full;
        }
        let mut outcome = AnnouncementOutcome::Changed;
        let is_equivalent_for_entries = match previous {
            Some(previous) => {
                if previous.has_same_content(&stored, now) {
                    outcome = AnnouncementOutcome::Renewed;
                    stored.content_sequence = content_sequence
                        .map_or(previous.content_sequence, |sequence| sequence.max(previous.content_sequence));
                    stored.warm_until = previous.warm_until;
                }
                previous.is_equivalent_for_entries(&stored, now)
            }
            None => !stored.is_usable(),
        };
        if previous.is_none_or(|previous| previous.record.incarnation != stored.record.incarnation) {
            logs.push(FleetLogEvent::ServerJoined(server.clone(), stored.record.incarnation));
        }
        if let (Some(conflicting), Some(incarnation)) = (conflicting, conflicting_incarnation) {
            logs.push(FleetLogEvent::ServerReplaced(conflicting.clone(), incarnation));
            self.remove(now, &conflicting);
        }
        if let Some(previous) = self.records.get(&server)
            && previous.record.address != stored.record.address
        {
            self.addresses.remove(&previous.record.address);
        }
        self.bytes = self.bytes - self.records.get(&server).map_or(0, StoredRecord::size) + stored.size();
        self.addresses.insert(stored.record.address, server.clone());
        self.tombstones.remove(&server);
        self.records.insert(server.clone(), stored);
        if !is_equivalent_for_entries {
            self.record_change(server);
        }
        outcome
    }

    /// Applies a renewal that another replica received; returns whether the full record is needed.
    pub(in crate::fleet) fn renew(
        &mut self,
        renewal: &Renewal,
        received_by: &InstanceId,
        received_at: Instant,
    ) -> bool {
        let order = (renewal.incarnation, renewal.sequence);
        let Some(stored) = self.records.get_mut(&renewal.server) else {
            return !self.tombstones.covers(&renewal.server, order);
        };
        if stored.record.order() >= order {
            return false;
        }
        if stored.record.incarnation != renewal.incarnation || stored.content_sequence < renewal.content_sequence {
            return true;
        }
        stored.record.sequence = renewal.sequence;
        stored.is_restored = false;
        if received_at > stored.received_at {
            (stored.received_at, stored.received_by) = (received_at, received_by.clone());
        }
        false
    }

    /// Marks all incarnations of a server up to the given one as departed. Entries may use a server that this replica
    /// does not know, so the revision always increases.
    pub(in crate::fleet) fn mark_departed(&mut self, server: &ServerId, incarnation: u64) {
        if let Some(stored) = self.records.get_mut(server) {
            stored.is_departed |= stored.record.incarnation <= incarnation;
        }
        self.record_change(server.clone());
    }

    /// Sets whether entries use the servers of a data centre. Their records are kept and renewed meanwhile, so that
    /// entries get all of them back at once.
    pub(in crate::fleet) fn set_evacuated(&mut self, data_centre: &DataCentreId, is_evacuated: bool) {
        match is_evacuated {
            true => drop(self.evacuated.insert(data_centre.clone())),
            false => drop(self.evacuated.remove(data_centre)),
        }
        let mut changed = Vec::new();
        for (server, stored) in self.records.iter_mut().filter(|(_, stored)| stored.record.data_centre == *data_centre)
        {
            let was_usable = stored.is_usable();
            stored.is_evacuated = is_evacuated;
            if stored.is_usable() != was_usable {
                changed.push(server.clone());
            }
        }
        changed.into_iter().for_each(|server| self.record_change(server));
    }

    /// Removes servers that have not announced themselves to any replica within `timeout`. Those for which `is_kept`
    /// holds are removed only after [`MAX_SERVER_SILENCE`].
    pub(in crate::fleet) fn remove_timed_out(
        &mut self,
        now: Instant,
        timeout: Duration,
        is_kept: impl Fn(&ServerId, &InstanceId) -> bool,
        logs: &mut Vec<FleetLogEvent>,
    ) {
        let mut timed_out = self.timed_out(now, timeout);
        timed_out.retain(|server| {
            let stored = self.records.get(server);
            stored.is_some_and(|stored| {
                !is_kept(server, &stored.received_by) || !stored.is_received_within(now, MAX_SERVER_SILENCE)
            })
        });
        for server in timed_out {
            if let Some(incarnation) = self.incarnation(&server) {
                logs.push(FleetLogEvent::ServerTimedOut(server.clone(), incarnation));
            }
            self.remove(now, &server);
        }
    }

    /// Returns servers that have not announced themselves to any replica within `timeout`.
    pub(in crate::fleet) fn timed_out(&self, now: Instant, timeout: Duration) -> Vec<ServerId> {
        let timed_out = |stored: &&StoredRecord| !stored.is_received_within(now, timeout);
        self.records.values().filter(timed_out).map(|stored| stored.record.server.clone()).collect()
    }

    pub(super) fn remove(&mut self, now: Instant, server: &ServerId) {
        let Some(stored) = self.records.remove(server) else { return };
        self.bytes -= stored.size();
        if self.addresses.get(&stored.record.address) == Some(server) {
            self.addresses.remove(&stored.record.address);
        }
        // The order of another writer's record must not count against the server that has the name.
        if self.services.is_empty() || self.is_configured(&stored.record) {
            self.tombstones.add(now, server.clone(), stored.record.order());
        }
        if stored.is_usable() {
            self.record_change(server.clone());
        }
    }

    fn record_change(&mut self, server: ServerId) {
        self.revision += 1;
        self.changes.push_back(server);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
