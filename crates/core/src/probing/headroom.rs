//! Slots that calls with ample time leave free for calls with little time.

use {
    super::{ActiveCall, Baseline, Server, WorkEstimate},
    std::time::{Duration, Instant},
};

/// A call whose objective leaves more than this multiple of its work has ample time: it can wait for a slot several times
/// as long as most calls take.
const AMPLE_TIME: f64 = 5.0;

impl Server {
    /// Returns whether the server may get this call.
    ///
    /// Calls with ample time leave a slot free while calls of a kind with much less time arrive. This answers a burst of
    /// calls that could wait, such as downloads, at servers that also serve calls with a short objective: without it the
    /// burst takes every slot, and each urgent call waits for the end of one of them.
    pub(super) fn has_room_for(&self, now: Instant, active: &ActiveCall, baseline: &Baseline) -> bool {
        let is_within_headroom = || {
            let usable = self.useful_slots().saturating_sub(1).max(1);
            self.load(now, baseline).round() < f64::from(usable)
        };
        self.has_room(now, baseline) && (!leaves_headroom(now, active, &baseline.work) || is_within_headroom())
    }
}

/// Returns whether a call leaves slots free for calls with less time. It uses them too once its own time is short.
pub(super) fn leaves_headroom(now: Instant, active: &ActiveCall, work: &WorkEstimate) -> bool {
    let objective = active.call.options.objective;
    has_ample_time(active.time_to_objective(now), work.of(objective)) && work.has_tighter_kind(now, objective)
}

fn has_ample_time(left: Duration, work: f64) -> bool {
    left.as_secs_f64() > AMPLE_TIME * work
}
