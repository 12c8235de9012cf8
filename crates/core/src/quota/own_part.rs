//! The part of a customer's rate that belongs to an entry while it is cut off from the leader.

use {
    super::{OWN_PART_UNTIL, QuotaLimit},
    std::time::{Duration, Instant},
};

/// The part of a customer's rate that belongs to an entry while it is cut off from the leader.
///
/// If the entry's part of the tolerance holds a whole call, the part is a token bucket. Otherwise all entries together
/// could admit more calls at once than the tolerance permits, one each. Then the entries take turns, in the order of
/// their positions: each may admit one call in its turn, and only as many turns overlap as the tolerance permits.
#[derive(Clone, Copy, Debug)]
pub(super) enum OwnPart {
    /// A token bucket.
    Bucket { rate: f64, capacity: f64, tokens: f64, updated_at: Instant },
    /// Turns: the first one begins at `first`, and each further one a period later.
    Turns { first: Instant, period: f64, length: f64, used: Option<u64> },
    /// The leader may have given the part to other entries.
    Ended,
}

impl OwnPart {
    /// Creates the part of one of several entries; it is empty at first.
    pub(super) fn new(since: Instant, limit: QuotaLimit, allowance: f64, (entries, index): (u32, usize)) -> Self {
        let entries = f64::from(entries.max(1));
        let capacity = allowance / entries;
        if capacity >= 1.0 {
            return Self::Bucket { rate: limit.rate / entries, capacity, tokens: 0.0, updated_at: since };
        }
        let period = entries / limit.rate;
        let phase = (index as f64 % entries) / entries;
        let first = Duration::try_from_secs_f64(period * phase).unwrap_or(OWN_PART_UNTIL).min(OWN_PART_UNTIL);
        Self::Turns { first: since + first, period, length: allowance / limit.rate, used: None }
    }

    /// Takes credit for one call, given the number of admitted calls that have not been sent yet.
    pub(super) fn try_take(&mut self, now: Instant, queued: u32) -> bool {
        match self {
            Self::Bucket { rate, capacity, tokens, updated_at } => {
                let filled = *tokens + *rate * now.saturating_duration_since(*updated_at).as_secs_f64();
                *tokens = filled.min((*capacity - f64::from(queued)).max(0.0));
                *updated_at = now;
                let is_taken = *tokens >= 1.0;
                *tokens -= if is_taken { 1.0 } else { 0.0 };
                is_taken
            }
            Self::Turns { first, period, length, used } => {
                let Some(elapsed) = now.checked_duration_since(*first) else { return false };
                let turn = (elapsed.as_secs_f64() / *period) as u64;
                let is_open = elapsed.as_secs_f64() - turn as f64 * *period < *length;
                let is_taken = is_open && queued == 0 && used.is_none_or(|used| turn > used);
                if is_taken {
                    *used = Some(turn);
                }
                is_taken
            }
            Self::Ended => false,
        }
    }

    /// Returns credit of a call that was not run.
    pub(super) fn give_back(&mut self) {
        match self {
            Self::Bucket { capacity, tokens, .. } => *tokens = (*tokens + 1.0).min(*capacity),
            Self::Turns { used, .. } => *used = None,
            Self::Ended => {}
        }
    }
}
