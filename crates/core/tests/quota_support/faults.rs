//! Faults of entries and leaders.

use {
    super::World,
    rand::{RngExt, seq::IndexedRandom},
    std::time::Duration,
};

impl World {
    /// Runs until a time after the start. About every second an entry is killed and started again, killed and replaced
    /// by one with another name, cut off or frozen, each for up to 4 s.
    pub fn run_with_churn(&mut self, until: Duration, interval: Duration) {
        let mut next_fault = self.now - self.start;
        loop {
            self.repairs.sort_unstable();
            let next = self.repairs.first().map_or(next_fault, |(at, _)| next_fault.min(*at)).min(until);
            self.run_until(next);
            if next >= until {
                return;
            }
            let due = self.repairs.iter().take_while(|(at, _)| *at <= next).count();
            for (_, entry) in self.repairs.drain(..due).collect::<Vec<_>>() {
                self.repair(entry);
            }
            if next >= next_fault {
                let busy: Vec<_> = self.repairs.iter().map(|(_, entry)| *entry).collect();
                if let Some(entry) = self.fail_one(&busy) {
                    let time = Duration::from_secs(1).mul_f64(self.rng.random_range(0.3..4.0));
                    self.repairs.push((next + time, entry));
                }
                next_fault = next + interval.mul_f64(self.rng.random_range(0.5..1.5));
            }
        }
    }

    /// Makes a running entry fail; returns it if it is to be repaired.
    fn fail_one(&mut self, busy: &[usize]) -> Option<usize> {
        let is_running = |index: &usize| self.entries[*index].holder.is_some() && !busy.contains(index);
        let running: Vec<_> = (0..self.entries.len()).filter(is_running).collect();
        let entry = *running.choose(&mut self.rng)?;
        match self.rng.random_range(0..4) {
            0 => self.kill_entry(entry),
            1 => {
                // The entry is replaced by one with another name, which gets its traffic.
                self.kill_entry(entry);
                let name = format!("{}'", self.entries[entry].name);
                self.entries[entry].name = name.into();
                self.entries[entry].incarnation += 100;
            }
            2 => self.entries[entry].is_cut = true,
            _ => {
                let time = Duration::from_secs(1).mul_f64(self.rng.random_range(0.2..4.0));
                self.entries[entry].frozen_until = Some(self.now + time);
                return None;
            }
        }
        Some(entry)
    }

    fn repair(&mut self, entry: usize) {
        self.entries[entry].is_cut = false;
        if self.entries[entry].holder.is_none() {
            self.start_entry(entry);
        }
    }

    /// Ends the leader's process; another replica leads after an election.
    pub fn replace_leader(&mut self, from: usize, to: usize, election: Duration) {
        self.replicas[from].pool = None;
        self.replicas[from].is_alive = false;
        let until = self.now - self.start + election;
        self.run_until(until);
        self.replicas[from].is_alive = true;
        self.lead(to);
    }
}
