//! In-memory data folder.

use {
    hemlockford_core::{
        consensus::{Entry, HardState, Payload, Recovered, Snapshot, Write},
        ledger::Command,
    },
    std::{collections::VecDeque, sync::Arc},
};

/// Durable contents of a data folder, and the writes that are not durable yet.
#[derive(Debug, Default)]
pub struct Disk {
    pub incarnation: u64,
    vote: HardState,
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<Entry>,
    /// Saved directory. Saves are atomic and survive a crash.
    pub directory: Vec<u8>,
    /// Number of saves of the directory so far.
    pub saves: usize,
    pending: VecDeque<(u64, Write)>,
    /// Number of log entries appended so far, durable or not.
    pub appended: usize,
}

impl Disk {
    pub fn new(incarnation: u64) -> Self {
        Self { incarnation, ..Self::default() }
    }

    pub fn write(&mut self, sequence: u64, write: Write) {
        if let Write::Append(entries) = &write {
            self.appended += entries.len();
        }
        self.pending.push_back((sequence, write));
    }

    pub fn sync(&mut self, up_to: u64) {
        while let Some((_, write)) = self.pending.pop_front_if(|(sequence, _)| *sequence <= up_to) {
            match write {
                Write::HardState(vote) => self.vote = vote,
                Write::Append(entries) => self.entries.extend(entries),
                Write::Truncate(from) => self.entries.retain(|entry| entry.index < from),
                Write::Snapshot(snapshot) => {
                    let held = self.entries.iter().find(|entry| entry.index == snapshot.index);
                    let is_covered = held.is_some_and(|entry| entry.term == snapshot.term);
                    self.entries.retain(|entry| is_covered && entry.index > snapshot.index);
                    self.snapshot = Some(snapshot);
                }
            }
        }
    }

    /// Returns the sequence number of the last write that is not durable.
    pub fn pending(&self) -> Option<u64> {
        self.pending.back().map(|(sequence, _)| *sequence)
    }

    pub fn crash(&mut self) {
        self.pending.clear();
    }

    /// Replaces the commands in the log, as if another version had written them.
    pub fn edit_commands(&mut self, edit: impl Fn(Command) -> Command) {
        self.replace_commands(|command| Some(edit(command).encode().unwrap()));
    }

    /// Replaces the encodings of some commands in the log.
    pub fn replace_commands(&mut self, replace: impl Fn(Command) -> Option<Vec<u8>>) {
        for entry in &mut self.entries {
            if let Payload::Command(bytes) = &entry.payload
                && let Some(other) = replace(Command::decode(bytes).unwrap())
            {
                entry.payload = Payload::Command(other.into());
            }
        }
    }

    pub fn recovered(&self) -> Recovered {
        Recovered {
            incarnation: self.incarnation,
            hard_state: self.vote.clone(),
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}
