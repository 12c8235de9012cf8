//! A data folder in memory that loses unsynced writes in a crash.

use {
    hemlockford_core::{
        consensus::{Entry, HardState, Member, Members, Payload, Recovered, Snapshot, Write},
        ids::{Incarnation, LogIndex},
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Content of a folder.
#[derive(Clone, Debug, Default, Hash)]
pub struct DiskImage {
    /// The vote.
    pub hard_state: HardState,
    /// The snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
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

    /// Whether the part of the log up to `commit` admits a member.
    pub fn admits(&self, member: &Member, commit: LogIndex) -> bool {
        let is_in_snapshot = |members: &Members| members.incarnation(&member.replica) == Some(member.incarnation);
        self.snapshot.as_ref().is_some_and(|snapshot| is_in_snapshot(&snapshot.members))
            || self
                .entries
                .iter()
                .any(|entry| entry.index <= commit && matches!(&entry.payload, Payload::Admit(held) if held == member))
    }
}

/// Writes that a disk reports as durable and that a crash then drops, to show that the checks notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LostWrites {
    /// None.
    #[default]
    None,
    /// Votes.
    Votes,
    /// All.
    All,
}

/// A data folder in memory.
#[derive(Clone, Debug, Default, Hash)]
pub struct FakeDisk {
    /// Incarnation of the folder.
    pub incarnation: Incarnation,
    /// What a crash leaves.
    pub durable: DiskImage,
    /// What the process sees.
    pub cached: DiskImage,
    /// Writes that the disk reports as durable and that a crash then drops.
    pub lost_writes: LostWrites,
    unsynced: VecDeque<(u64, Write)>,
}

impl FakeDisk {
    /// An empty folder.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, ..Self::default() }
    }

    /// Takes a write without making it durable.
    pub fn write(&mut self, sequence: u64, write: Write) {
        self.cached.apply(write.clone());
        self.unsynced.push_back((sequence, write));
    }

    /// Last write that is not durable yet.
    pub fn last_unsynced(&self) -> Option<u64> {
        self.unsynced.back().map(|(sequence, _)| *sequence)
    }

    /// Makes writes durable up to a sequence.
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

    /// Drops what is not durable. Some leading unsynced writes may survive.
    pub fn crash(&mut self, survivors: usize) {
        let survivors: Vec<_> = self.unsynced.drain(..).take(survivors).collect();
        for (_, write) in survivors {
            self.make_durable(write);
        }
        self.cached = self.durable.clone();
    }

    /// Whether the folder holds no part of a log.
    pub fn is_empty(&self) -> bool {
        self.cached.entries.is_empty() && self.cached.snapshot.is_none()
    }

    /// What a process finds at start.
    pub fn recover(&self) -> Recovered {
        Recovered {
            incarnation: self.incarnation,
            hard_state: self.durable.hard_state.clone(),
            snapshot: self.durable.snapshot.clone(),
            entries: self.durable.entries.clone(),
        }
    }
}
