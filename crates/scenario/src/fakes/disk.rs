//! In-memory data folder that loses unsynced writes in a crash.

use {
    hemlockford_core::{
        consensus::{Entry, HardState, Member, Members, Payload, Recovered, Snapshot, Write},
        ids::{Incarnation, LogIndex},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Contents of a data folder.
#[derive(Clone, Debug, Default, Hash)]
pub struct DiskImage {
    /// Term, vote and membership state of consensus.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DiskImage {
    fn apply(&mut self, write: Write) {
        match write {
            Write::HardState(hard_state) => self.hard_state = hard_state,
            Write::Append(entries) => self.entries.extend(entries),
            Write::Truncate(from) => self.entries.retain(|entry| entry.index < from),
            Write::Snapshot(snapshot) => {
                let is_covered = self.term(snapshot.index) == Some(snapshot.term);
                self.entries.retain(|entry| is_covered && entry.index > snapshot.index);
                self.snapshot = Some(snapshot);
            }
        }
    }

    fn term(&self, index: LogIndex) -> Option<u64> {
        self.entries.iter().find(|entry| entry.index == index).map(|entry| entry.term)
    }

    /// Returns whether the log up to `commit` admits a member.
    pub fn admits(&self, member: &Member, commit: LogIndex) -> bool {
        let is_in_snapshot = |members: &Members| members.incarnation(&member.replica) == Some(member.incarnation);
        self.snapshot.as_ref().is_some_and(|snapshot| is_in_snapshot(&snapshot.members))
            || self
                .entries
                .iter()
                .any(|entry| entry.index <= commit && matches!(&entry.payload, Payload::Admit(held) if held == member))
    }
}

/// Writes that a faulty disk reports as durable but loses in a crash. Used to show that the checks detect this.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LostWrites {
    /// No writes; the disk works correctly.
    #[default]
    None,
    /// Writes of the hard state.
    Votes,
    /// All writes.
    All,
}

/// In-memory data folder.
#[derive(Clone, Debug, Default, Hash)]
pub struct FakeDisk {
    /// Incarnation of the folder.
    pub incarnation: Incarnation,
    /// Contents that survive a crash.
    pub durable: DiskImage,
    /// Contents as seen by the running process, including unsynced writes.
    pub cached: DiskImage,
    /// Writes that the disk reports as durable but loses in a crash.
    pub lost_writes: LostWrites,
    unsynced: VecDeque<(u64, Write)>,
}

impl FakeDisk {
    /// Creates an empty folder.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Buffers a write without making it durable.
    pub fn write(&mut self, sequence: u64, write: Write) {
        self.cached.apply(write.clone());
        self.unsynced.push_back((sequence, write));
    }

    /// Returns the sequence number of the last unsynced write.
    pub fn last_unsynced(&self) -> Option<u64> {
        self.unsynced.back().map(|(sequence, _)| *sequence)
    }

    /// Makes writes up to a sequence number durable.
    pub fn sync(&mut self, up_to: u64) {
        while let Some((_, write)) = self.unsynced.pop_front_if(|(sequence, _)| *sequence <= up_to) {
            self.make_durable(write);
        }
    }

    fn make_durable(&mut self, write: Write) {
        let is_durable = match self.lost_writes {
            LostWrites::None => true,
            LostWrites::Votes => !matches!(write, Write::HardState(_)),
            LostWrites::All => false,
        };
        if is_durable {
            self.durable.apply(write);
        }
    }

    /// Discards unsynced writes except the first `survivors`.
    pub fn crash(&mut self, survivors: usize) {
        let survivors: Vec<_> = self.unsynced.drain(..).take(survivors).collect();
        for (_, write) in survivors {
            self.make_durable(write);
        }
        self.cached = self.durable.clone();
    }

    /// Returns whether the folder contains neither log entries nor a snapshot.
    pub fn is_empty(&self) -> bool {
        self.cached.entries.is_empty() && self.cached.snapshot.is_none()
    }

    /// Returns the state that a process recovers at start.
    pub fn recover(&self) -> Recovered {
        Recovered {
            incarnation: self.incarnation,
            hard_state: self.durable.hard_state.clone(),
            snapshot: self.durable.snapshot.clone(),
            entries: self.durable.entries.clone(),
        }
    }
}
