//! A data folder: what is durable and what is only written.

use {
    hemlockford_core::{
        consensus::{Entry, Recovered, Snapshot, Vote},
        control::Write,
        ids::Incarnation,
    },
    std::{collections::VecDeque, sync::Arc},
};

/// A data folder. A crash loses what was not synced.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    incarnation: Incarnation,
    vote: Vote,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
    pending: VecDeque<(u64, Write)>,
}

impl Disk {
    /// Makes an empty folder.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Writes without syncing.
    pub fn write(&mut self, sequence: u64, write: Write) {
        self.pending.push_back((sequence, write));
    }

    /// Makes every write up to a sequence durable.
    pub fn sync(&mut self, up_to: u64) {
        while let Some((_, write)) = self.pending.pop_front_if(|(sequence, _)| *sequence <= up_to) {
            self.keep(write);
        }
    }

    /// Makes everything that was written durable.
    pub fn sync_all(&mut self) {
        self.sync(u64::MAX);
    }

    /// Loses what was not synced.
    pub fn crash(&mut self) {
        self.pending.clear();
    }

    /// Returns what a process that starts finds.
    pub fn recovered(&self) -> Recovered {
        Recovered {
            incarnation: self.incarnation,
            vote: self.vote.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }

    fn keep(&mut self, write: Write) {
        match write {
            Write::Vote(vote) => self.vote = vote,
            Write::Append(entries) => self.entries.extend(entries),
            Write::Truncate(from) => self.entries.retain(|entry| entry.index < from),
            Write::Snapshot(snapshot) => {
                let is_last = |entry: &Entry| (entry.index, entry.term) == (snapshot.index, snapshot.term);
                match self.entries.iter().any(is_last) {
                    true => self.entries.retain(|entry| entry.index > snapshot.index),
                    false => self.entries.clear(),
                }
                self.snapshot = Some(snapshot);
            }
        }
    }
}
