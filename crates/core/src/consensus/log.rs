//! The in-memory part of the replicated log.

use {
    super::{Entry, Members, Payload, Recovered, Snapshot},
    crate::ids::{LogIndex, Term},
    std::{collections::VecDeque, sync::Arc},
};

/// The last snapshot, some of the entries that it covers, and all entries after it.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct Log {
    /// The last snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Members as of the last entry, committed or not.
    pub members: Members,
    /// Index of the last membership change if it is in memory; otherwise an index that a snapshot covers.
    pub change_index: LogIndex,
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(recovered: &Recovered) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = &recovered.snapshot {
            log.reset(snapshot.clone());
        }
        for entry in &recovered.entries {
            log.append(entry.clone());
        }
        log
    }

    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Term of an entry; `None` if the entry is not in memory.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index { Some(self.base_term) } else { self.get(index).map(|entry| entry.term) }
    }

    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Index of the first entry in memory of the run of entries that have the same term as the given one.
    pub fn term_start(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut start = index;
        while start > self.base_index + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Entries starting at an index, at most `limit` bytes but at least one entry.
    pub fn slice(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            size += entry.size();
            if size > limit && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index += 1;
        }
        slice
    }

    pub fn append(&mut self, entry: Entry) {
        if change(&mut self.members, &entry.payload) {
            self.change_index = entry.index;
        }
        self.entries.push_back(entry);
    }

    pub fn truncate(&mut self, from: LogIndex) {
        let keep = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.members = self.members_at(self.last_index());
        let is_change = |entry: &&Entry| matches!(entry.payload, Payload::Admit(_) | Payload::Remove(_));
        self.change_index = self.entries.iter().rev().find(is_change).map_or(self.base_index, |entry| entry.index);
    }

    /// Members as of an entry that is not older than the snapshot.
    pub fn members_at(&self, index: LogIndex) -> Members {
        let covered = self.snapshot_index();
        let mut members = self.snapshot.as_ref().map(|snapshot| snapshot.members.clone()).unwrap_or_default();
        for entry in self.entries.iter().filter(|entry| entry.index > covered && entry.index <= index) {
            change(&mut members, &entry.payload);
        }
        members
    }

    /// Replaces the snapshot. At most `keep` entries and `keep_bytes` bytes of the covered entries stay in memory,
    /// for replicas that are only slightly behind.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep: usize, keep_bytes: usize) {
        let covered = usize::try_from(snapshot.index.saturating_sub(self.base_index)).unwrap_or(usize::MAX);
        let covered = covered.min(self.entries.len());
        let mut kept = 0;
        let mut size = 0;
        for entry in self.entries.iter().take(covered).rev() {
            size += entry.size();
            if kept == keep || size > keep_bytes {
                break;
            }
            kept += 1;
        }
        for entry in self.entries.drain(..covered - kept) {
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log with a snapshot.
    pub fn reset(&mut self, snapshot: Arc<Snapshot>) {
        self.entries.clear();
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.members = snapshot.members.clone();
        self.change_index = snapshot.index;
        self.snapshot = Some(snapshot);
    }
}

/// Applies an entry to the members; returns whether it is a membership change.
fn change(members: &mut Members, payload: &Payload) -> bool {
    match payload {
        Payload::Admit(member) => members.admit(member.clone()),
        Payload::Remove(member) => members.remove(&member.replica),
        Payload::Noop | Payload::Command(_) => return false,
    }
    true
}
