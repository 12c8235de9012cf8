//! The directory.

use {
    super::{DIRECTORY_BYTES, Floors, HISTORY, Held, OUT_OF_REACH},
    crate::{
        collections::{FastMap, FastSet},
        fleet::{FleetLogEvent, ReceivedRecord, Renewal, ServerRecord, UsableServer},
        ids::{InstanceId, ServerId},
    },
    std::{
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Longest warm-up of a server. What a heartbeat states is not bounded, and a longer time than the clock can hold
/// would stop the replica.
const LONGEST_WARM_UP: Duration = Duration::from_secs(24 * 3_600);

/// What an announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::fleet) enum Heard {
    /// A newer one is known.
    Old,
    /// It renewed a record.
    Renewed,
    /// It added or changed a record.
    Changed,
    /// The directory is full.
    Full,
}

/// Servers that announced themselves to any replica, with revisions of what entries use of them.
#[derive(Clone, Debug, Default)]
pub(in crate::fleet) struct Directory {
    pub(super) records: FastMap<ServerId, Held>,
    addresses: FastMap<SocketAddr, ServerId>,
    floors: Floors,
    bytes: usize,
    revision: u64,
    /// Servers that the last revisions changed, the newest last.
    changes: VecDeque<ServerId>,
}

impl Directory {
    pub(in crate::fleet) fn revision(&self) -> u64 {
        self.revision
    }

    /// The incarnation that is held of a server.
    pub(in crate::fleet) fn incarnation(&self, server: &str) -> Option<u64> {
        self.records.get(server).map(|held| held.record.incarnation)
    }

    pub(in crate::fleet) fn heard(&self, now: Instant, server: &str) -> Option<ReceivedRecord> {
        self.records.get(server).map(|held| held.heard(now))
    }

    pub(in crate::fleet) fn renewal(&self, now: Instant, server: &str) -> Option<Renewal> {
        self.records.get(server).map(|held| held.renewal(now))
    }

    /// Every record.
    pub(in crate::fleet) fn all(&self, now: Instant) -> Vec<ReceivedRecord> {
        self.records.values().map(|held| held.heard(now)).collect()
    }

    /// Every usable server that was heard within a time.
    pub(in crate::fleet) fn usable(&self, now: Instant, within: Duration) -> Vec<UsableServer> {
        let usable = self.records.values().filter(|held| held.is_usable() && held.is_heard_within(now, within));
        usable.map(|held| held.usable(now)).collect()
    }

    /// Whether it is known what changed after a revision.
    pub(in crate::fleet) fn remembers(&self, after: u64) -> bool {
        self.revision.checked_sub(after).is_some_and(|behind| behind <= self.changes.len() as u64)
    }

    /// What changed after a revision: servers that are usable now, and those that are not. None if a usable one
    /// was not heard within a time.
    pub(in crate::fleet) fn changed(
        &self,
        now: Instant,
        after: u64,
        within: Duration,
    ) -> Option<(Vec<UsableServer>, Vec<ServerId>)> {
        let behind = usize::try_from(self.revision.checked_sub(after)?).ok()?;
        let first = self.changes.len().checked_sub(behind)?;
        let (mut usable, mut removed, mut seen) = (Vec::new(), Vec::new(), FastSet::default());
        for server in self.changes.range(first..).filter(|server| seen.insert(*server)) {
            match self.records.get(server).filter(|held| held.is_usable()) {
                Some(held) if held.is_heard_within(now, within) => usable.push(held.usable(now)),
                Some(_) => return None,
                None => removed.push(server.clone()),
            }
        }
        Some((usable, removed))
    }

    /// Takes an announcement. `content` is none if this replica heard it itself. `departed` is the last incarnation of the server that departed.
    pub(in crate::fleet) fn hear(
        &mut self,
        now: Instant,
        record: ServerRecord,
        content: Option<u64>,
        (heard_by, heard_at): (InstanceId, Instant),
        departed: Option<u64>,
        logs: &mut Vec<FleetLogEvent>,
    ) -> Heard {
        let server = record.server.clone();
        let before = self.records.get(&server);
        let is_old =
            before.map_or(self.floors.covers(&server, record.order()), |held| held.record.order() >= record.order());
        if is_old {
            return Heard::Old;
        }
        let rival = self.addresses.get(&record.address).filter(|rival| **rival != server).cloned();
        let rival_incarnation = rival.as_ref().and_then(|rival| self.incarnation(rival));
        if (rival_incarnation, rival.as_ref()) > (Some(record.incarnation), Some(&server)) {
            return Heard::Old;
        }
        let mut held = Held {
            content: content.unwrap_or(record.sequence),
            heard_at,
            heard_by,
            warm_until: heard_at + record.warm_up.min(LONGEST_WARM_UP),
            is_departed: departed.is_some_and(|departed| record.incarnation <= departed),
            is_restored: false,
            record,
        };
        let bytes = self.bytes - before.map_or(0, Held::size) + held.size();
        if bytes > DIRECTORY_BYTES {
            return Heard::Full;
        }
        let mut heard = Heard::Changed;
        let is_same_for_entries = match before {
            Some(before) => {
                if before.is_same(&held, now) {
                    heard = Heard::Renewed;
                    held.content = content.map_or(before.content, |content| content.max(before.content));
                    held.warm_until = before.warm_until;
                }
                before.is_same_for_entries(&held, now)
            }
            None => !held.is_usable(),
        };
        if before.is_none_or(|before| before.record.incarnation != held.record.incarnation) {
            logs.push(FleetLogEvent::ServerJoined(server.clone(), held.record.incarnation));
        }
        if let (Some(rival), Some(incarnation)) = (rival, rival_incarnation) {
            logs.push(FleetLogEvent::ServerReplaced(rival.clone(), incarnation));
            self.remove(now, &rival);
        }
        if let Some(before) = self.records.get(&server)
            && before.record.address != held.record.address
        {
            self.addresses.remove(&before.record.address);
        }
        self.bytes = self.bytes - self.records.get(&server).map_or(0, Held::size) + held.size();
        self.addresses.insert(held.record.address, server.clone());
        self.floors.remove(&server);
        self.records.insert(server.clone(), held);
        if !is_same_for_entries {
            self.raise(server);
        }
        heard
    }

    /// Takes a renewal that another replica heard at a time; returns whether the record is needed.
    pub(in crate::fleet) fn renew(&mut self, renewal: &Renewal, heard_by: &InstanceId, heard_at: Instant) -> bool {
        let order = (renewal.incarnation, renewal.sequence);
        let Some(held) = self.records.get_mut(&renewal.server) else {
            return !self.floors.covers(&renewal.server, order);
        };
        if held.record.order() >= order {
            return false;
        }
        if held.record.incarnation != renewal.incarnation || held.content < renewal.content {
            return true;
        }
        held.record.sequence = renewal.sequence;
        held.is_restored = false;
        if heard_at > held.heard_at {
            (held.heard_at, held.heard_by) = (heard_at, heard_by.clone());
        }
        false
    }

    /// Marks the incarnations of a server up to one as departed. Entries may hold a server that this replica
    /// has not heard of, so the revision rises in any case.
    pub(in crate::fleet) fn depart(&mut self, server: &ServerId, incarnation: u64) {
        if let Some(held) = self.records.get_mut(server) {
            held.is_departed |= held.record.incarnation <= incarnation;
        }
        self.raise(server.clone());
    }

    /// Removes servers that no replica has heard from for a time, but for those that are kept. A kept one is
    /// removed after a longer time.
    pub(in crate::fleet) fn remove_silent(
        &mut self,
        now: Instant,
        silence: Duration,
        is_kept: impl Fn(&ServerId, &InstanceId) -> bool,
        logs: &mut Vec<FleetLogEvent>,
    ) {
        let mut silent = self.silent(now, silence);
        silent.retain(|server| {
            let held = self.records.get(server);
            held.is_some_and(|held| !is_kept(server, &held.heard_by) || !held.is_heard_within(now, OUT_OF_REACH))
        });
        for server in silent {
            if let Some(incarnation) = self.incarnation(&server) {
                logs.push(FleetLogEvent::ServerTimedOut(server.clone(), incarnation));
            }
            self.remove(now, &server);
        }
    }

    /// Servers that no replica has heard from for a time.
    pub(in crate::fleet) fn silent(&self, now: Instant, silence: Duration) -> Vec<ServerId> {
        let silent = |held: &&Held| !held.is_heard_within(now, silence);
        self.records.values().filter(silent).map(|held| held.record.server.clone()).collect()
    }

    pub(super) fn remove(&mut self, now: Instant, server: &ServerId) {
        let Some(held) = self.records.remove(server) else { return };
        self.bytes -= held.size();
        if self.addresses.get(&held.record.address) == Some(server) {
            self.addresses.remove(&held.record.address);
        }
        self.floors.add(now, server.clone(), held.record.order());
        if held.is_usable() {
            self.raise(server.clone());
        }
    }

    fn raise(&mut self, server: ServerId) {
        self.revision += 1;
        self.changes.push_back(server);
        if self.changes.len() > HISTORY {
            self.changes.pop_front();
        }
    }
}
