//! Time that a state machine takes for each event.

use {
    crate::counters::Counters,
    prometheus::Histogram,
    slog::{Logger, warn},
    std::time::{Duration, Instant},
};

/// Time from which on an event is logged. The next heartbeat is late by as much; a follower waits 350 ms for one.
const SLOW_EVENT: Duration = Duration::from_millis(100);

/// Records the time that a state machine takes for each event. Meanwhile nothing else is handled.
pub(super) struct EventTimes {
    seconds: Histogram,
    log: Logger,
}

impl EventTimes {
    pub(super) fn new(counters: &Counters, log: &Logger) -> Self {
        Self { seconds: counters.event_seconds.clone(), log: log.clone() }
    }

    /// Records one event.
    pub(super) fn record(&self, event: &'static str, started: Instant, ended: Instant) {
        let time = ended.saturating_duration_since(started);
        self.seconds.observe(time.as_secs_f64());
        if time >= SLOW_EVENT {
            warn!(self.log, "slow event"; "event" => event, "ms" => time.as_millis());
        }
    }
}
