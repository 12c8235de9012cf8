//! Mean work of the kinds of calls of one service.

use {
    crate::collections::FastMap,
    std::time::{Duration, Instant},
};

/// Work assumed before the first answer, as a share of the objective. It is 0.32 to 0.42 for most routes of today's
/// users.
const INITIAL_WORK: f64 = 0.4;
/// Smoothing factor after the first answers; an entry sees a few answers a second.
const SMOOTHING: f64 = 0.05;
/// Factor by which one answer may differ from the mean and count in full. The slowdown of a server changes during a call.
const MAX_DEVIATION: f64 = 4.0;
/// Maximum number of kinds. Changes of the configuration bring new objectives.
const MAX_KINDS: usize = 64;
/// Time for which a kind without calls is taken into account by calls of other kinds.
const RECENT: Duration = Duration::from_secs(5);
/// A kind with an objective below this share of another one's has less time to wait.
const TIGHTER_SHARE: f64 = 0.5;

/// Mean work of the kinds of calls of one service. Calls with the same objective are of one kind: a service may serve calls
/// of 200 ms that are due in 500 ms beside downloads of 400 ms that are due in 4 s, and a common mean makes the former
/// look late before they are sent.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkEstimate {
    kinds: FastMap<Duration, Kind>,
    /// Mean over all answers.
    mean: Option<f64>,
    answers: u32,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    /// Seconds of work at nominal speed on a server that is not busy.
    work: f64,
    answers: u32,
    last_arrival: Instant,
}

impl WorkEstimate {
    /// Returns the seconds of work at nominal speed for a call with this objective.
    pub(super) fn of(&self, objective: Duration) -> f64 {
        self.kinds.get(&objective).map_or(initial(objective), |kind| kind.work)
    }

    /// Returns the mean seconds of work of all calls of the service; before the first answer that of this objective.
    pub(super) fn mean(&self, objective: Duration) -> f64 {
        self.mean.unwrap_or(initial(objective))
    }

    /// Returns the mean seconds of work of all calls of the service, if there were any answers.
    pub(super) fn observed_mean(&self) -> Option<f64> {
        self.mean
    }

    /// Records the arrival of a call.
    pub(super) fn record_arrival(&mut self, now: Instant, objective: Duration) {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(&objective) {
            self.kinds.clear();
        }
        let new = Kind { work: initial(objective), answers: 0, last_arrival: now };
        self.kinds.entry(objective).or_insert(new).last_arrival = now;
    }

    /// Records the time of a complete answer and the work factor that was expected of the server.
    pub(super) fn observe(&mut self, seconds: f64, work_factor: f64, objective: Duration) {
        let seen = seconds / work_factor;
        let mean = self.mean(objective);
        self.mean = Some(next_mean(mean, seen, self.answers));
        self.answers = self.answers.saturating_add(1);
        if let Some(kind) = self.kinds.get_mut(&objective) {
            kind.work = next_mean(kind.work, seen, kind.answers);
            kind.answers = kind.answers.saturating_add(1);
        }
    }

    /// Returns whether calls of a kind that has much less time than one with this objective arrived lately.
    pub(super) fn has_tighter_kind(&self, now: Instant, objective: Duration) -> bool {
        let is_tighter = |other: &Duration| other.as_secs_f64() < TIGHTER_SHARE * objective.as_secs_f64();
        let is_recent = |kind: &Kind| now.saturating_duration_since(kind.last_arrival) < RECENT;
        self.kinds.iter().any(|(other, kind)| is_tighter(other) && is_recent(kind))
    }
}

fn initial(objective: Duration) -> f64 {
    INITIAL_WORK * objective.as_secs_f64()
}

/// Returns the mean with one more answer. The assumed value counts as one answer, and each of the first answers as much as
/// those before it.
fn next_mean(mean: f64, seen: f64, answers: u32) -> f64 {
    let weight = SMOOTHING.max(1.0 / (f64::from(answers) + 2.0));
    let seen = seen.clamp(mean / MAX_DEVIATION, mean * MAX_DEVIATION);
    mean + weight * (seen - mean)
}
