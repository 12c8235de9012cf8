//! Reading the log back.

use {
    crate::record::{self, LogBody, LogRecord},
    hemlockford_core::{
        consensus::{Entry, HardState},
        errors::{Result, corrupt},
        ids::{LogIndex, Term},
    },
};

/// Bytes that the search for intact records behind damage may checksum for each byte of the log. Bytes that look like
/// overlapping records would otherwise take a time that grows with the square of the log. What a crash tears does not
/// come near this.
const SEARCH_FACTOR: usize = 16;

/// What the log says in the end.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// The last vote.
    pub vote: HardState,
    /// Entries after the last snapshot.
    pub entries: Vec<Entry>,
    /// Length of the intact records.
    pub len: usize,
    snapshot: (LogIndex, Term),
}

impl Replay {
    /// Reads a log. A torn tail is left out; damage before the tail is an error.
    pub fn read(file: &str, data: &[u8]) -> Result<Self> {
        let mut replay = Self::default();
        while replay.len < data.len() {
            let Some((LogRecord { body, .. }, len)) = record::decode::<LogRecord>(&data[replay.len..]) else {
                replay.check_tail(file, data)?;
                break;
            };
            let offset = replay.len;
            if !replay.take(body) {
                return Err(corrupt(format!("{file}: the record at offset {offset} does not follow the one before")));
            }
            replay.len += len;
        }
        Ok(replay)
    }

    fn take(&mut self, body: LogBody) -> bool {
        match body {
            LogBody::Vote(vote) => self.vote = vote,
            LogBody::Entry(entry) => {
                if entry.index != self.last_index() + 1 {
                    return false;
                }
                self.entries.push(entry);
            }
            LogBody::Truncate(from) => {
                if from <= self.snapshot.0 {
                    return false;
                }
                self.entries.retain(|entry| entry.index < from);
            }
            LogBody::Snapshot(index, term) => self.cover(index, term),
        }
        true
    }

    fn last_index(&self) -> LogIndex {
        self.entries.last().map_or(self.snapshot.0, |entry| entry.index)
    }

    /// Removes what a snapshot covers.
    pub fn cover(&mut self, index: LogIndex, term: Term) {
        let is_held = self.entries.iter().any(|entry| (entry.index, entry.term) == (index, term));
        self.entries.retain(|entry| is_held && entry.index > index);
        self.snapshot = (index, term);
    }

    /// Last entry covered by a snapshot, with its term.
    pub fn covered(&self) -> (LogIndex, Term) {
        self.snapshot
    }

    /// Checks that what cannot be read was not durable yet: no intact record behind it was written when
    /// this place was durable already.
    fn check_tail(&self, file: &str, data: &[u8]) -> Result<()> {
        let damaged = self.len;
        let mut left = SEARCH_FACTOR * data.len();
        for offset in damaged + 1..data.len() {
            // A record is written behind what was durable before, which rules out nearly all other bytes.
            let Some((durable, len)) = record::peek(&data[offset..]) else { continue };
            if durable <= damaged as u64 || durable > offset as u64 {
                continue;
            }
            if len > left {
                return Err(corrupt(format!(
                    "{file}: the record at offset {damaged} is damaged, and too much behind it looks like records"
                )));
            }
            left -= len;
            if record::decode::<LogRecord>(&data[offset..]).is_some() {
                return Err(corrupt(format!(
                    "{file}: the record at offset {damaged} is damaged, but the one at offset {offset} is intact"
                )));
            }
        }
        Ok(())
    }
}
