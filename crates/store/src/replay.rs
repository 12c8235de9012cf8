//! Replay of the log.

use {
    crate::record::{self, LogBody, LogRecord},
    hemlockford_core::{
        consensus::{Entry, HardState},
        errors::{Result, corrupt},
        ids::{LogIndex, Term},
    },
};

/// Maximum number of bytes to checksum per byte of the log while searching for intact records after a corrupt one. It
/// prevents quadratic time on bytes that look like overlapping records; a torn write stays far below it.
const MAX_SEARCH_FACTOR: usize = 16;

/// State at the end of the log.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// The last hard state.
    pub hard_state: HardState,
    /// Entries after the last snapshot.
    pub entries: Vec<Entry>,
    /// Total length of the intact records.
    pub intact_len: usize,
    /// Last entry that a snapshot named by the log covers.
    snapshot_position: (LogIndex, Term),
    /// Last entry that the snapshot in the folder covers.
    stored: (LogIndex, Term),
    /// Whether the log does not name the snapshot in the folder.
    pub is_snapshot_unnamed: bool,
    /// Whether entries follow a snapshot that the log does not name.
    pub has_gap: bool,
}

impl Replay {
    /// Replays a log. A torn tail is ignored; corruption before the tail is an error. `stored` is the last entry that the
    /// snapshot in the folder covers.
    pub fn read(file: &str, data: &[u8], stored: (LogIndex, Term)) -> Result<Self> {
        let mut replay = Self { stored, ..Self::default() };
        while replay.intact_len < data.len() {
            let Some((LogRecord { body, .. }, len)) = record::decode::<LogRecord>(&data[replay.intact_len..]) else {
                replay.check_tail(file, data)?;
                break;
            };
            let offset = replay.intact_len;
            if !replay.apply(body) {
                return Err(corrupt(format!("{file}: the record at offset {offset} does not follow the previous one")));
            }
            replay.intact_len += len;
        }
        if replay.snapshot_position.0 < stored.0 {
            replay.is_snapshot_unnamed = true;
            replay.apply_snapshot(stored.0, stored.1);
        }
        Ok(replay)
    }

    fn apply(&mut self, body: LogBody) -> bool {
        match body {
            LogBody::HardState(hard_state) => self.hard_state = hard_state,
            LogBody::Entry(entry) => {
                if entry.index != self.last_index() + 1 && !self.skip_to(entry.index) {
                    return false;
                }
                self.entries.push(entry);
            }
            LogBody::Truncate(from) => {
                if from <= self.snapshot_position.0 {
                    return false;
                }
                self.entries.retain(|entry| entry.index < from);
            }
            LogBody::Snapshot(index, term) => self.apply_snapshot(index, term),
        }
        true
    }

    /// Prepares for an entry that does not follow the last one. Up to version 1210964, a process that was killed between
    /// replacing the snapshot and naming it in the log appended the next entries without naming it. Returns whether the
    /// snapshot in the folder covers all entries before this one.
    fn skip_to(&mut self, index: LogIndex) -> bool {
        let (covered, term) = self.stored;
        if self.snapshot_position.0 >= covered || index > covered + 1 {
            return false;
        }
        self.has_gap = true;
        if index == covered + 1 {
            self.apply_snapshot(covered, term);
        } else {
            self.entries.retain(|entry| entry.index < index);
        }
        true
    }

    fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot_position.0, |entry| entry.index)
    }

    /// Removes the entries that a snapshot covers.
    fn apply_snapshot(&mut self, index: LogIndex, term: Term) {
        let is_held = self.entries.iter().any(|entry| (entry.index, entry.term) == (index, term));
        self.entries.retain(|entry| is_held && entry.index > index);
        self.snapshot_position = (index, term);
    }

    /// Index and term of the last entry that a snapshot covers.
    pub fn snapshot_position(&self) -> (LogIndex, Term) {
        self.snapshot_position
    }

    /// Checks that the unreadable tail was not durable yet: no later intact record was written when this position was
    /// already durable.
    fn check_tail(&self, file: &str, data: &[u8]) -> Result<()> {
        let corrupt_offset = self.intact_len;
        let mut remaining = MAX_SEARCH_FACTOR * data.len();
        for offset in corrupt_offset + 1..data.len() {
            // A record starts at or after its durable length, which rules out almost all other bytes.
            let Some((durable_len, len)) = record::peek(&data[offset..]) else { continue };
            if durable_len <= corrupt_offset as u64 || durable_len > offset as u64 {
                continue;
            }
            if len > remaining {
                return Err(corrupt(format!(
                    "{file}: the record at offset {corrupt_offset} is damaged, and too much of the data after it \
                     looks like records"
                )));
            }
            remaining -= len;
            if record::decode::<LogRecord>(&data[offset..]).is_some() {
                return Err(corrupt(format!(
                    "{file}: the record at offset {corrupt_offset} is damaged, but the later one at offset \
                     {offset} is intact"
                )));
            }
        }
        Ok(())
    }
}
