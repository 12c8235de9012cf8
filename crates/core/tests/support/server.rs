//! A simulated server that runs as many calls concurrently as it has slots and queues the others.

use std::{collections::VecDeque, time::Duration};

/// First identifier of probes, which distinguishes them from calls.
pub const FIRST_PROBE: u64 = 1 << 60;

/// A simulated server in virtual time.
#[derive(Debug)]
pub struct Server {
    pub id: Box<str>,
    pub slots: usize,
    /// Factor on the duration of calls.
    pub slowness: f64,
    pub running: Vec<u64>,
    pub queued: VecDeque<(u64, Duration)>,
    /// Maximum number of calls that were at the server at the same time.
    pub max_calls: usize,
}

impl Server {
    pub fn new(id: &str, slots: usize) -> Self {
        Self { id: id.into(), slots, slowness: 1.0, running: Vec::new(), queued: VecDeque::new(), max_calls: 0 }
    }

    pub fn push(&mut self, call: u64, work: Duration) {
        self.queued.push_back((call, work.mul_f64(self.slowness)));
        let all = self.running.iter().chain(self.queued.iter().map(|(call, _)| call));
        // Probes are not counted: they need no permit, so there may be one in addition to as many calls as
        // slots.
        self.max_calls = self.max_calls.max(all.filter(|call| **call < FIRST_PROBE).count());
    }

    /// Starts the next call if a slot is free.
    pub fn start(&mut self) -> Option<(u64, Duration)> {
        let next = (self.running.len() < self.slots).then(|| self.queued.pop_front())??;
        self.running.push(next.0);
        Some(next)
    }

    /// Removes a call; returns whether it was at the server.
    pub fn remove(&mut self, call: u64) -> bool {
        let before = self.running.len() + self.queued.len();
        self.running.retain(|running| *running != call);
        self.queued.retain(|queued| queued.0 != call);
        before > self.running.len() + self.queued.len()
    }
}
