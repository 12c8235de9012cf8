//! The expected cost of sending a call to a server, as a share of the call's value.

use {
    super::{ActiveCall, Baseline, Server},
    std::time::{Duration, Instant},
};

/// Cost of an answer that misses the objective, as a share of the call's value: nine tenths are lost.
const LATE_COST: f64 = 0.9;
/// Spread of a call's duration around the expected one, as a share of the time left. The probability of being
/// late rises from 1/8 to 7/8 between two spreads below and two above. The spread is wide, because the speed
/// of 4 in 10 servers changes during a call of 160 ms.
const LATE_SPREAD: f64 = 0.15;
/// Cost of a latency as long as the objective, as a share of the call's value. It decides between servers that
/// all meet the objective. It is low enough to keep a look-up in its data centre unless another one is faster
/// by more than a fifth of the objective.
const LATENCY_COST: f64 = 0.1;
/// Cost of the traffic of a 5 KB look-up to another data centre, as a share of the call's value: a fiftieth.
const REMOTE_COST: f64 = 0.02;
/// Cost of the traffic of a 60 KB upload to another data centre, as a share of the call's value: a sixth.
const REMOTE_UPLOAD_COST: f64 = 0.167;
/// Round trip to another data centre, in seconds. It takes 1.8 to 2.8 ms.
const REMOTE_ROUND_TRIP: f64 = 0.002;
/// Cost of a new connection, as a share of the call's value: a sixtieth.
const CONNECTION_COST: f64 = 1.0 / 60.0;
/// Time for which an idle connection is assumed to stay open.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A server slows down when more than this share of its slots is busy.
pub(super) const BUSY_THRESHOLD: f64 = 0.8;
/// Increase of the duration of work at a busy server, as a share of the duration otherwise.
pub(super) const BUSY_SLOWDOWN: f64 = 0.7;
/// Cost of sending a call for each call that the server is already running, as a share of the call's value, in
/// addition to the probability of making them late.
const CROWDING_COST: f64 = 0.03;
/// Share of a running call's duration that overlaps with a call that is added.
const SHARED_TIME_SHARE: f64 = 0.5;
/// Time for which a cold server works at half speed.
const COLD_PERIOD: Duration = Duration::from_secs(3);
/// Factor by which work takes longer at a cold server.
const COLD_SLOWDOWN: f64 = 2.0;

/// The expected cost of sending a call to a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Cost {
    /// Expected seconds until the answer.
    pub(super) seconds: f64,
    /// Expected loss as a share of the call's value.
    pub(super) loss: f64,
    /// The part of the loss that is due to time, including that of the other calls at the server.
    pub(super) delay: f64,
    /// Expected number of calls at the server, without this one.
    pub(super) load: f64,
    /// Expected factor by which work takes longer than at nominal speed.
    pub(super) work_factor: f64,
}

impl Cost {
    pub(super) fn estimate(now: Instant, active: &ActiveCall, server: &Server, baseline: &Baseline) -> Self {
        let slots = f64::from(server.slots());
        let load = server.load(now, baseline);
        let is_cold = now < server.view.ready_since + COLD_PERIOD || server.is_cold(now);
        let work_factor =
            server.slowdown(now, baseline) * busy_factor(load, slots) * if is_cold { COLD_SLOWDOWN } else { 1.0 };
        let work = baseline.work.of(active.call.options.objective);
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
        // The other calls are assumed to have the same objective.
        let alone = work * work_factor / busy_factor(load, slots);
        let slowed = 1.0 + SHARED_TIME_SHARE * (busy_factor(load, slots) - 1.0);
        let others_late = late_probability(alone * slowed, objective) - late_probability(alone, objective);
        let crowding = (CROWDING_COST + LATE_COST * others_late) * load.min(slots);
        let loss = failure + (1.0 - failure) * answered + crowding + bytes + connection;
        Self { seconds, loss, delay: answered + crowding, load, work_factor }
    }

    /// Returns the loss at an idle server of the own data centre at nominal speed, the lowest that a probe
    /// can find.
    pub(super) fn minimum_loss(now: Instant, active: &ActiveCall, baseline: &Baseline) -> f64 {
        let objective = active.call.options.objective;
        let seconds = baseline.work.of(objective);
        LATE_COST * late_probability(seconds, active.time_to_objective(now).as_secs_f64())
            + LATENCY_COST * seconds / objective.as_secs_f64().max(1e-3)
    }
}

/// Returns the probability that an answer expected after `seconds` takes longer than `left`.
fn late_probability(seconds: f64, left: f64) -> f64 {
    let left = left.max(1e-3);
    1.0 / (1.0 + (-(seconds / left - 1.0) / LATE_SPREAD).exp())
}

/// Returns the factor by which work takes longer with one more call. A load between whole numbers is an
/// expected value.
fn busy_factor(load: f64, slots: f64) -> f64 {
    let fast_slots = (BUSY_THRESHOLD * slots).floor();
    1.0 + BUSY_SLOWDOWN * (load + 1.0 - fast_slots).clamp(0.0, 1.0)
}
