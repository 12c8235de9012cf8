//! Slots of the servers of one service at its coordinator.

use {
    super::NameHash,
    crate::collections::FastMap,
    rand::{RngExt, rngs::SmallRng},
};

/// Maximum number of servers sampled for one grant.
const MAX_PICK_ATTEMPTS: usize = 6;

#[derive(Clone, Debug, Default)]
struct ServerSlots {
    capacity: u32,
    taken: u32,
    position: Option<usize>,
}

/// Slots of the servers of one service, with an index of the servers with a free slot.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotPool {
    servers: FastMap<NameHash, ServerSlots>,
    free_servers: Vec<NameHash>,
    free_count: u32,
    capacity: u32,
}

impl SlotPool {
    /// Sets the number of slots of each server that is open for new calls; returns the servers that are no longer open.
    pub(super) fn set_capacity(&mut self, servers: &FastMap<NameHash, u32>) -> Vec<NameHash> {
        let mut closed: Vec<_> = self.servers.keys().filter(|server| !servers.contains_key(*server)).copied().collect();
        closed.sort_unstable();
        let mut opened: Vec<_> = servers.iter().collect();
        opened.sort_unstable();
        for (server, slots) in
            opened.into_iter().map(|(server, slots)| (*server, *slots)).chain(closed.iter().map(|server| (*server, 0)))
        {
            self.change(server, |entry| entry.capacity = slots);
        }
        closed
    }

    /// Changes the number of taken slots of a server by the difference between `before` and `after`.
    pub(super) fn set_taken(&mut self, server: NameHash, before: u32, after: u32) {
        if before != after {
            self.change(server, |slots| slots.taken = slots.taken - before + after);
        }
    }

    /// Picks a server with a free slot that is not refused: the one with more free slots out of two random candidates.
    pub(super) fn pick(&self, rng: &mut SmallRng, is_refused: impl Fn(NameHash) -> bool) -> Option<NameHash> {
        let mut best: Option<NameHash> = None;
        let mut candidates = 0;
        for _ in 0..MAX_PICK_ATTEMPTS {
            let server = *self.free_servers.get(rng.random_range(0..self.free_servers.len().max(1)))?;
            if is_refused(server) {
                continue;
            }
            best = best.filter(|best| self.free_at(*best) >= self.free_at(server)).or(Some(server));
            candidates += 1;
            if candidates == 2 {
                break;
            }
        }
        best
    }

    pub(super) fn free_count(&self) -> u32 {
        self.free_count
    }

    /// Returns the total number of slots of all open servers.
    pub(super) fn capacity(&self) -> u32 {
        self.capacity
    }

    /// Returns the number of taken slots that exceed the capacity of a server.
    pub(super) fn excess(&self, server: NameHash) -> u32 {
        self.servers.get(&server).map_or(0, |slots| slots.taken.saturating_sub(slots.capacity))
    }

    fn free_at(&self, server: NameHash) -> u32 {
        self.servers.get(&server).map_or(0, |slots| slots.capacity.saturating_sub(slots.taken))
    }

    fn change(&mut self, server: NameHash, change: impl FnOnce(&mut ServerSlots)) {
        let slots = self.servers.entry(server).or_default();
        let free = |slots: &ServerSlots| slots.capacity.saturating_sub(slots.taken);
        let (capacity_before, free_before) = (slots.capacity, free(slots));
        change(slots);
        let free_after = free(slots);
        self.capacity = self.capacity - capacity_before + slots.capacity;
        self.free_count = self.free_count - free_before + free_after;
        let position = slots.position;
        let is_unused = slots.capacity == 0 && slots.taken == 0;
        match position {
            None if free_after > 0 => {
                slots.position = Some(self.free_servers.len());
                self.free_servers.push(server);
            }
            Some(position) if free_after == 0 => {
                slots.position = None;
                self.free_servers.swap_remove(position);
                let moved = self.free_servers.get(position).and_then(|moved| self.servers.get_mut(moved));
                if let Some(moved) = moved {
                    moved.position = Some(position);
                }
            }
            _ => {}
        }
        if is_unused {
            self.servers.remove(&server);
        }
    }
}
