//! Rate of calls that a server names in its answers.

use {
    super::Fleet,
    hemlockford_core::{
        collections::FastMap,
        dispatch::{CallRate, DispatchEvent, ServerNotice},
    },
    std::time::{Duration, Instant},
};

/// Time after the first answer with the rate from which it binds.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Time after which an entry that was told must keep to the rate.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Length of the windows in which calls are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Rate of calls that a server names in its answers, and the calls that it got since.
#[derive(Clone, Debug)]
pub struct NamedLimit {
    pub calls_per_second: f64,
    /// Whether answers to probes name it as well.
    pub is_named_to_probes: bool,
    /// Whether the answers no longer name it.
    pub is_over: bool,
    told: FastMap<usize, Instant>,
    /// Calls from entries that were told.
    calls: Vec<Instant>,
    pub probes: usize,
}

impl NamedLimit {
    pub fn new(calls_per_second: f64, is_named_to_probes: bool) -> Self {
        Self {
            calls_per_second,
            is_named_to_probes,
            is_over: false,
            told: FastMap::default(),
            calls: Vec::new(),
            probes: 0,
        }
    }

    /// Returns the notice for an answer to an entry.
    pub fn name_to(&mut self, now: Instant, entry: usize) -> ServerNotice {
        if self.is_over {
            return ServerNotice::Limit(None);
        }
        self.told.entry(entry).or_insert(now);
        ServerNotice::Limit(CallRate::from_per_second(self.calls_per_second))
    }

    pub fn record_call(&mut self, now: Instant, entry: usize) {
        if self.told.get(&entry).is_some_and(|told| now >= *told + TOLD_AFTER) {
            self.calls.push(now);
        }
    }

    /// Returns the number of calls from entries that were told.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    /// Returns the largest number of calls in a window, and the number allowed.
    pub fn worst_window(&self) -> (usize, f64) {
        let first = self.told.values().min().copied();
        let binding: Vec<_> =
            self.calls.iter().filter(|at| first.is_some_and(|first| **at >= first + BINDS_AFTER)).collect();
        let within = |start: usize| binding[start..].iter().take_while(|at| ***at < *binding[start] + WINDOW).count();
        let worst = (0..binding.len()).map(within).max().unwrap_or(0);
        (worst, 1.5 * self.calls_per_second * WINDOW.as_secs_f64() + 5.0)
    }
}

impl Fleet {
    /// Informs an entry of the rate that a server names in an answer.
    pub(super) fn name_limit(&mut self, entry: usize, server: usize) {
        let target = &mut self.servers[server];
        let Some(limit) = &mut target.limit else { return };
        let notice = limit.name_to(self.now, entry);
        let (server, address) = (target.view.id.clone(), target.view.address);
        self.handle_event(entry, DispatchEvent::Notice { server, address, notice });
    }
}
