//! A simulated server of a fleet.

use {
    super::{ColdPeriod, FleetOptions, NamedLimit},
    hemlockford_core::{
        dispatch::{LoadReport, ServerState, ServerView},
        ids::CallId,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const QUEUE_LENGTH: usize = 4;
const BUSY_THRESHOLD: f64 = 0.8;
const BUSY_SLOWDOWN: f64 = 1.7;
const COLD_PERIOD: Duration = Duration::from_secs(3);
const COLD_SLOWDOWN: f64 = 2.0;

/// Faulty behaviour of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Answers every call with an error immediately.
    FailsFast,
    /// Rejects every call because of load, and reports that it is idle.
    ShedsAll,
    /// Answers every call that it was meant for another server.
    Misdirects,
}

/// A call at a server.
#[derive(Clone, Debug)]
pub struct Job {
    pub entry: usize,
    pub call: CallId,
    /// Seconds of work left at nominal speed.
    pub work_left: f64,
    /// Factor on the work as determined at its start.
    factor: f64,
}

/// A simulated server that runs as many calls concurrently as it has slots and queues a few more.
#[derive(Clone, Debug)]
pub struct SimulatedServer {
    pub view: ServerView,
    pub workload: usize,
    pub slowdown: f64,
    pub fault: Fault,
    pub running: Vec<Job>,
    pub queued: VecDeque<Job>,
    /// Changes whenever the time of the next end may have changed.
    pub version: u64,
    pub updated_at: Instant,
    /// Calls that have arrived at the server.
    pub received_calls: u64,
    pub first_call_at: Option<Instant>,
    /// Rate of calls that the server names in its answers.
    pub limit: Option<NamedLimit>,
    /// The period in which the server is cold and counts its calls.
    pub cold: Option<ColdPeriod>,
    /// Whether the server has crashed.
    pub has_crashed: bool,
    /// Permanent factor on the slowdown.
    pub slowness: f64,
    fixed_speed_per_call: bool,
}

impl SimulatedServer {
    pub fn new(workload: usize, view: ServerView, now: Instant, options: &FleetOptions) -> Self {
        Self {
            view,
            workload,
            slowdown: 1.0,
            fault: Fault::None,
            running: Vec::new(),
            queued: VecDeque::new(),
            version: 0,
            updated_at: now,
            received_calls: 0,
            first_call_at: None,
            limit: None,
            cold: None,
            has_crashed: false,
            slowness: 1.0,
            fixed_speed_per_call: options.fixed_speed_per_call,
        }
    }

    pub fn is_ready(&self) -> bool {
        self.view.state == ServerState::Ready
    }

    pub fn report(&self) -> LoadReport {
        let in_flight = (self.running.len() + self.queued.len()) as u32;
        LoadReport { in_flight, slots: self.view.slots, pace: (self.slowdown * 100.0) as u32 }
    }

    /// Accepts a call; returns whether there was room.
    pub fn push(&mut self, now: Instant, entry: usize, call: CallId, work: f64) -> bool {
        self.advance(now);
        if self.queued.len() >= QUEUE_LENGTH {
            return false;
        }
        self.queued.push_back(Job { entry, call, work_left: work, factor: 1.0 });
        self.start();
        true
    }

    /// Updates the work done; returns the calls that have ended.
    pub fn advance(&mut self, now: Instant) -> Vec<Job> {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let rates: Vec<_> = self.running.iter().map(|job| 1.0 / self.factor(job)).collect();
        for (job, rate) in self.running.iter_mut().zip(rates) {
            job.work_left -= passed * rate;
        }
        self.updated_at = now;
        let (done, running) = self.running.drain(..).partition(|job| job.work_left <= 1e-9);
        self.running = running;
        self.start();
        done
    }

    /// Removes a call whose caller has disconnected.
    pub fn remove(&mut self, call: CallId) {
        self.running.retain(|job| job.call != call);
        self.queued.retain(|job| job.call != call);
        self.start();
    }

    /// Removes all calls.
    pub fn clear(&mut self) -> Vec<Job> {
        self.version += 1;
        self.running.drain(..).chain(self.queued.drain(..)).collect()
    }

    /// Returns the seconds until the next call ends.
    pub fn next_end(&self) -> Option<f64> {
        self.running.iter().map(|job| job.work_left.max(0.0) * self.factor(job)).min_by(f64::total_cmp)
    }

    fn start(&mut self) {
        while self.running.len() < self.view.slots as usize
            && let Some(mut job) = self.queued.pop_front()
        {
            let busy_factor = self.busy_factor(self.running.len() + 1);
            job.factor = self.slowdown * busy_factor * self.cold_factor();
            self.running.push(job);
        }
        self.version += 1;
    }

    fn factor(&self, job: &Job) -> f64 {
        if self.fixed_speed_per_call {
            job.factor
        } else {
            self.slowdown * self.busy_factor(self.running.len()) * self.cold_factor()
        }
    }

    fn busy_factor(&self, running: usize) -> f64 {
        if running as f64 > BUSY_THRESHOLD * f64::from(self.view.slots) { BUSY_SLOWDOWN } else { 1.0 }
    }

    fn cold_factor(&self) -> f64 {
        if self.updated_at < self.view.ready_since + COLD_PERIOD { COLD_SLOWDOWN } else { 1.0 }
    }
}
