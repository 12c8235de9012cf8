//! Permits of one service that this entry holds.

use {
    super::{NameHash, ServerPermits, name_hash},
    crate::{collections::FastMap, ids::InstanceId},
    std::time::Instant,
};

/// Permits of one service that this entry holds, with an index of the servers with a free permit.
#[derive(Debug, Default)]
pub(super) struct Holder {
    permits: FastMap<NameHash, ServerPermits>,
    free_servers: Vec<NameHash>,
    free_count: u32,
    in_flight: u32,
    granted: u32,
    /// Coordinator to which the entry reports.
    pub(super) coordinator: Option<InstanceId>,
    /// Number of the last full report; grants that refer to another one are ignored.
    pub(super) full_report: u32,
    /// Whether the coordinator has adopted the reported permits.
    pub(super) is_adopted: bool,
    /// Time until which permits of the previous coordinator may be used.
    pub(super) previous_lease_end: Option<Instant>,
    /// Whether the entry uses its own share because no coordinator is reachable.
    pub(super) is_fallback: bool,
    /// Time since which permits have been unusable because there is no valid lease.
    pub(super) unusable_since: Option<Instant>,
    /// Minimum number of free permits since the last review.
    pub(super) min_free: u32,
    /// Time when the last call started.
    pub(super) last_call_start: Option<Instant>,
    /// Time when the last call ended.
    pub(super) last_call_end: Option<Instant>,
    /// Number of needed permits in the last report.
    pub(super) reported_need: u32,
    /// Time of the last report with needed permits.
    pub(super) need_reported_at: Option<Instant>,
    /// Time since which calls have been waiting without interruption.
    pub(super) waiting_since: Option<Instant>,
}

impl Holder {
    /// Sets the servers that are open for new calls, with the number of slots of each.
    pub(super) fn set_servers(
        &mut self,
        own_hash: NameHash,
        configured_entries: usize,
        servers: &FastMap<NameHash, u32>,
    ) {
        for permits in self.permits.values_mut() {
            permits.is_open = false;
            permits.fallback = 0;
        }
        let total: u32 = servers.values().sum();
        let share = total.div_ceil(configured_entries.max(1) as u32).max(1);
        let slots = servers.iter().flat_map(|(server, slots)| (0..*slots).map(move |slot| (*server, slot)));
        let mut ranked: Vec<_> =
            slots.map(|(server, slot)| (name_hash::rank(server ^ (u64::from(slot) << 43), own_hash), server)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        for server in servers.keys() {
            self.permits.entry(*server).or_default().is_open = true;
        }
        for (_, server) in ranked.iter().take(share as usize) {
            self.permits.entry(*server).or_default().fallback += 1;
        }
        self.reindex();
    }

    /// Rebuilds the index of free permits after a change of many servers.
    pub(super) fn reindex(&mut self) {
        self.free_servers.clear();
        self.free_count = 0;
        self.permits.retain(|_, permits| {
            (permits.position, permits.counted) = (None, 0);
            !permits.is_unused()
        });
        let mut servers: Vec<_> = self.permits.keys().copied().collect();
        // The order must not depend on the insertion history of the map, so that runs are reproducible.
        servers.sort_unstable();
        for server in servers {
            self.refresh(server);
        }
    }

    /// Returns the servers with granted permits that are not open for new calls.
    pub(super) fn closed_servers(&self) -> Vec<NameHash> {
        let closed = self.permits.iter().filter(|(_, permits)| !permits.is_open && permits.granted > 0);
        let mut closed: Vec<_> = closed.map(|(server, _)| *server).collect();
        closed.sort_unstable();
        closed
    }

    /// Sets the number of permits granted for a server; returns the number of permits held afterwards.
    pub(super) fn set_granted(&mut self, server: NameHash, count: u32) -> u32 {
        let permits = self.permits.entry(server).or_default();
        self.granted = self.granted - permits.granted + count;
        permits.granted = count;
        let held = permits.held();
        self.refresh(server);
        held
    }

    /// Records the sequence number of the message that first carried the permits for a server; returns whether it is
    /// newer than the last one.
    pub(super) fn update_version(&mut self, server: NameHash, version: u64) -> bool {
        let permits = self.permits.entry(server).or_default();
        let is_newer = version > permits.version;
        permits.version = permits.version.max(version);
        is_newer
    }

    /// Resets the sequence numbers of the permits when a new full report starts.
    pub(super) fn reset_versions(&mut self) {
        self.permits.values_mut().for_each(|permits| permits.version = 0);
    }

    /// Drops all granted permits.
    pub(super) fn drop_granted(&mut self) {
        self.permits.values_mut().for_each(|permits| permits.granted = 0);
        self.granted = 0;
        self.reindex();
    }

    /// Records the start of a call.
    pub(super) fn start_call(&mut self, server: NameHash) {
        self.permits.entry(server).or_default().in_flight += 1;
        self.in_flight += 1;
        self.refresh(server);
        self.min_free = self.min_free.min(self.free_count);
    }

    /// Records the end of a call; returns whether it had been running on a permit that is no longer granted.
    pub(super) fn end_call(&mut self, server: NameHash) -> bool {
        let Some(permits) = self.permits.get_mut(&server) else { return false };
        let was_excess = permits.in_flight > permits.granted;
        self.in_flight -= u32::from(permits.in_flight > 0);
        permits.in_flight = permits.in_flight.saturating_sub(1);
        if permits.is_unused() {
            self.remove_free(server);
            self.permits.remove(&server);
        } else {
            self.refresh(server);
        }
        was_excess
    }

    /// Returns the servers with a free permit.
    pub(super) fn free_servers(&self) -> &[NameHash] {
        &self.free_servers
    }

    pub(super) fn free_count(&self) -> u32 {
        self.free_count
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn granted(&self) -> u32 {
        self.granted
    }

    pub(super) fn server(&self, server: NameHash) -> Option<&ServerPermits> {
        self.permits.get(&server)
    }

    /// Returns the servers for which permits are held.
    pub(super) fn held_servers(&self) -> Vec<NameHash> {
        let mut held: Vec<_> =
            self.permits.iter().filter(|(_, permits)| permits.held() > 0).map(|(server, _)| *server).collect();
        held.sort_unstable();
        held
    }

    fn refresh(&mut self, server: NameHash) {
        let Some(permits) = self.permits.get_mut(&server) else { return };
        let limit = if self.is_fallback { permits.fallback } else { permits.granted };
        let free = if permits.is_open { limit.saturating_sub(permits.in_flight) } else { 0 };
        self.free_count = self.free_count - permits.counted + free;
        permits.counted = free;
        match permits.position {
            None if free > 0 => {
                permits.position = Some(self.free_servers.len());
                self.free_servers.push(server);
            }
            Some(_) if free == 0 => self.remove_free(server),
            _ => {}
        }
    }

    fn remove_free(&mut self, server: NameHash) {
        let Some(permits) = self.permits.get_mut(&server) else { return };
        self.free_count -= permits.counted;
        permits.counted = 0;
        let Some(position) = permits.position.take() else { return };
        self.free_servers.swap_remove(position);
        if let Some(moved) = self.free_servers.get(position)
            && let Some(permits) = self.permits.get_mut(moved)
        {
            permits.position = Some(position);
        }
    }
}
