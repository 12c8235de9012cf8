//! The expected cost of sending a call to a server, as a part of the call's worth.

use {
    super::{ActiveCall, Baseline, Server},
    std::time::{Duration, Instant},
};

/// An answer later than the objective loses nine tenths of its worth.
const LATE_COST: f64 = 0.9;
/// Spread of the time of a call around the expected one, as a part of the time left; the chance of being late
/// rises from an eighth to seven eighths within twice this on both sides. The pace of 4 servers in 10 is
/// drawn anew while a call of 160 ms runs, so that the spread is wide.
const LATE_SPREAD: f64 = 0.15;
/// Cost of a latency as long as the objective. It decides between servers that all make the objective, and
/// is small enough that a look-up stays in its data centre for a gain of less than a fifth of the objective.
const LATENCY_COST: f64 = 0.1;
/// A 5 KB look-up to another data centre costs a fiftieth of its worth in bytes.
const REMOTE_COST: f64 = 0.02;
/// A 60 KB upload to another data centre costs a sixth of its worth.
const REMOTE_UPLOAD_COST: f64 = 0.167;
/// Both ways to another data centre take 1.8 to 2.8 ms.
const REMOTE_ROUND_TRIP: f64 = 0.002;
/// A new connection costs a sixtieth of a call.
const CONNECTION_COST: f64 = 1.0 / 60.0;
/// Time for which a connection that is not in use is assumed to stay open.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A server with more than this part of its slots busy works slower.
pub(super) const BUSY_THRESHOLD: f64 = 0.8;
/// Factor on the time of work at a busy server, less one.
pub(super) const BUSY_SLOWDOWN: f64 = 0.7;
/// Cost of one more call for each that runs at a server already, beside the chance that it makes them late.
const CROWDING_COST: f64 = 0.03;
/// Part of a running call that is slowed down by a call that joins it.
const SHARED_TIME_SHARE: f64 = 0.5;
/// A cold server works at half speed for this time.
const COLD_PERIOD: Duration = Duration::from_secs(3);
const COLD_SLOWDOWN: f64 = 2.0;

/// The expected cost of sending a call to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Expected seconds until the answer.
    pub(super) seconds: f64,
    /// Expected loss as a part of the call's worth.
    pub(super) loss: f64,
    /// The part of it that is for time, that of the calls at the server included.
    pub(super) delay: f64,
    /// Expected calls at the server, without this one.
    pub(super) load: f64,
    /// Expected factor on the work.
    pub(super) work_factor: f64,
}

impl Cost {
    pub(super) fn estimate(now: Instant, active: &ActiveCall, server: &Server, baseline: &Baseline) -> Self {
        let slots = f64::from(server.slots());
        let load = server.load(now, baseline);
        let is_cold = now < server.view.ready_since + COLD_PERIOD;
        let work_factor =
            server.slowdown(now, baseline) * busy_factor(load, slots) * if is_cold { COLD_SLOWDOWN } else { 1.0 };
        let work = baseline.work(active.call.options.objective);
        let queue = (load + 1.0 - slots).max(0.0) / slots;
        let round_trip = if server.is_remote { REMOTE_ROUND_TRIP } else { 0.0 };
        let seconds = work * work_factor * (1.0 + queue) + round_trip;

        let objective = active.call.options.objective.as_secs_f64().max(1e-3);
        let own_late = late_probability(seconds, active.time_to_objective(now).as_secs_f64());
        let bytes = match (server.is_remote, active.call.upload) {
            (false, _) => 0.0,
            (true, false) => REMOTE_COST,
            (true, true) => REMOTE_UPLOAD_COST,
        };
        let is_connected = active.call.idempotent
            && server.in_flight == 0
            && server.last_end.is_some_and(|at| now.saturating_duration_since(at) < CONNECTION_IDLE_TIMEOUT);
        let connection = if is_connected { 0.0 } else { CONNECTION_COST };
        let failure = server.failure_rate(now);
        let answered = LATE_COST * own_late + LATENCY_COST * (seconds / objective).min(10.0);
        // The others are taken to be of the same route.
        let alone = work * work_factor / busy_factor(load, slots);
        let slowed = 1.0 + SHARED_TIME_SHARE * (busy_factor(load, slots) - 1.0);
        let others_late = late_probability(alone * slowed, objective) - late_probability(alone, objective);
        let crowding = (CROWDING_COST + LATE_COST * others_late) * load.min(slots);
        let loss = failure + (1.0 - failure) * answered + crowding + bytes + connection;
        Self { seconds, loss, delay: answered + crowding, load, work_factor }
    }

    /// Loss at an idle server of the own data centre with usual pace, the least that a probe can find.
    pub(super) fn minimum_loss(now: Instant, active: &ActiveCall, baseline: &Baseline) -> f64 {
        let objective = active.call.options.objective;
        let seconds = baseline.work(objective);
        LATE_COST * late_probability(seconds, active.time_to_objective(now).as_secs_f64())
            + LATENCY_COST * seconds / objective.as_secs_f64().max(1e-3)
    }
}

/// Chance that an answer expected after `seconds` comes later than `left`.
fn late_probability(seconds: f64, left: f64) -> f64 {
    let left = left.max(1e-3);
    1.0 / (1.0 + (-(seconds / left - 1.0) / LATE_SPREAD).exp())
}

/// Factor on work with one more call; loads between whole numbers are expectations.
fn busy_factor(load: f64, slots: f64) -> f64 {
    let quiet = (BUSY_THRESHOLD * slots).floor();
    1.0 + BUSY_SLOWDOWN * (load + 1.0 - quiet).clamp(0.0, 1.0)
}
