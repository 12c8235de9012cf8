//! Period in which a server is cold and tolerates few calls.

use {
    super::Fleet,
    hemlockford_core::dispatch::ServerState,
    std::time::{Duration, Instant},
};

/// Length of the windows in which calls are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Period in which a server is cold, and the calls that it got in it.
#[derive(Clone, Debug)]
pub struct ColdPeriod {
    pub since: Instant,
    pub until: Instant,
    /// Whether health responses state the time left.
    pub is_stated: bool,
    calls: Vec<Instant>,
}

impl ColdPeriod {
    /// Returns the time left that a health response states.
    pub fn stated(&self, now: Instant) -> Option<Duration> {
        self.is_stated.then(|| self.until.saturating_duration_since(now))
    }

    pub fn record_call(&mut self, now: Instant) {
        if now < self.until {
            self.calls.push(now);
        }
    }

    /// Returns the number of calls in the period.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the time from its begin to the first call.
    pub fn first_call_after(&self) -> Option<Duration> {
        self.calls.first().map(|at| *at - self.since)
    }

    /// Returns the largest number of calls in any second.
    pub fn worst_second(&self) -> usize {
        let within =
            |start: usize| self.calls[start..].iter().take_while(|at| **at < self.calls[start] + WINDOW).count();
        (0..self.calls.len()).map(within).max().unwrap_or(0)
    }
}

impl Fleet {
    /// Makes a server cold, without an announcement.
    pub fn turn_cold(&mut self, server: usize, time: Duration, is_stated: bool) {
        let (since, until) = (self.now, self.now + time);
        self.servers[server].cold = Some(ColdPeriod { since, until, is_stated, calls: Vec::new() });
    }

    /// Lets a server that crashed start anew, cold. `announce_to` informs the entries.
    pub fn start_cold(&mut self, server: usize, time: Duration, is_stated: bool) {
        self.update_server(server);
        self.turn_cold(server, time, is_stated);
        let target = &mut self.servers[server];
        target.has_crashed = false;
        target.view.state = ServerState::Ready;
        target.view.incarnation += 1;
        target.view.ready_since = self.now;
        target.view.warm_at = self.now + time;
    }
}
