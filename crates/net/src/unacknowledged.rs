//! Frames that were written and not acknowledged.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Bytes per second that any link carries; the slowest has 12 Mbit/s. The time for an acknowledgement grows with
/// what is on the way, so that a large frame on a slow link does not look like a dead connection.
const BYTES_PER_SECOND: u32 = 1024 * 1024;

/// Frames that were written and not acknowledged, with the time by which they must be.
#[derive(Debug, Default)]
pub(crate) struct Unacknowledged {
    frames: VecDeque<(usize, Instant)>,
    bytes: usize,
}

impl Unacknowledged {
    /// Time within which a frame that is written now must be acknowledged.
    pub(crate) fn allowance(&self, length: usize, timeout: Duration) -> Duration {
        let bytes = u32::try_from(self.bytes + length).unwrap_or(u32::MAX);
        timeout + Duration::from_secs(1) * bytes / BYTES_PER_SECOND
    }

    pub(crate) fn push(&mut self, length: usize, deadline: Instant) {
        self.frames.push_back((length, deadline));
        self.bytes += length;
    }

    /// Takes acknowledgements; returns whether there were as many frames.
    pub(crate) fn acknowledge(&mut self, count: usize) -> bool {
        for _ in 0..count {
            let Some((length, _)) = self.frames.pop_front() else { return false };
            self.bytes -= length;
        }
        true
    }

    /// When the oldest frame must be acknowledged.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.frames.front().map(|(_, deadline)| *deadline)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
