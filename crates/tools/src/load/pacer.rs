//! Hands out calls at their times.
//!
//! A thread of its own sleeps until shortly before a call is due and spins for the rest, because the
//! runtime's timer has a granularity of 1 ms.

use {
    super::schedule::{Arrival, Schedule},
    crate::timer::SPIN,
    std::{
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// A call with its intended start.
pub(super) struct Due {
    pub(super) arrival: Arrival,
    pub(super) intended: Instant,
}

/// Sends each call to the workers in turn and returns how many there were.
pub(super) fn pace(schedule: Schedule, start: Instant, workers: &[mpsc::UnboundedSender<Due>]) -> u64 {
    let mut count = 0;
    for arrival in schedule {
        let intended = start + arrival.at;
        wait_until(intended);
        // A worker is only gone when its thread panicked, which the join reports.
        let _ = workers[arrival.number as usize % workers.len()].send(Due { arrival, intended });
        count += 1;
    }
    count
}

fn wait_until(at: Instant) {
    loop {
        let left = at.saturating_duration_since(Instant::now());
        if left == Duration::ZERO {
            return;
        }
        match left.checked_sub(SPIN) {
            Some(sleep) if !sleep.is_zero() => thread::sleep(sleep),
            _ => std::hint::spin_loop(),
        }
    }
}
