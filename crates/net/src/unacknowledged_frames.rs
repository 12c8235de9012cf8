//! Frames that were written but not acknowledged.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Minimum throughput of a link; the slowest link has 12 Mbit/s. The timeout for an acknowledgement increases with the
/// number of bytes in flight, so that a large frame on a slow link does not look like a dead connection.
const MIN_BYTES_PER_SECOND: u32 = 1024 * 1024;

/// Lengths and acknowledgement deadlines of the frames that were written but not acknowledged.
#[derive(Debug, Default)]
pub(crate) struct UnacknowledgedFrames {
    frames: VecDeque<(usize, Instant)>,
    bytes: usize,
}

impl UnacknowledgedFrames {
    /// Returns the timeout for the acknowledgement of a frame that is written now.
    pub(crate) fn ack_timeout(&self, length: usize, timeout: Duration) -> Duration {
        let bytes = u32::try_from(self.bytes + length).unwrap_or(u32::MAX);
        timeout + Duration::from_secs(1) * bytes / MIN_BYTES_PER_SECOND
    }

    pub(crate) fn push(&mut self, length: usize, deadline: Instant) {
        self.frames.push_back((length, deadline));
        self.bytes += length;
    }

    /// Processes acknowledgements; returns `false` if there are more of them than frames.
    pub(crate) fn acknowledge(&mut self, count: usize) -> bool {
        for _ in 0..count {
            let Some((length, _)) = self.frames.pop_front() else { return false };
            self.bytes -= length;
        }
        true
    }

    /// Returns the deadline for the acknowledgement of the oldest frame.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.frames.front().map(|(_, deadline)| *deadline)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
