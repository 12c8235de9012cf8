//! Dispatches calls to the worker threads at their arrival times.
//!
//! The calling thread sleeps until shortly before a call is due and then spins, because the timer of the runtime has a
//! granularity of 1 ms.

use {
    super::schedule::{Arrival, Schedule},
    crate::timer::SPIN_TIME,
    std::{
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// A call that is due, with its intended start time.
pub(super) struct DueCall {
    pub(super) arrival: Arrival,
    pub(super) intended_start: Instant,
}

/// Sends the calls to the workers in turn, each at its arrival time, and returns the number of calls.
pub(super) fn run(schedule: Schedule, start: Instant, workers: &[mpsc::UnboundedSender<DueCall>]) -> u64 {
    let mut count = 0;
    for arrival in schedule {
        let intended_start = start + arrival.at;
        wait_until(intended_start);
        // Sending fails only if the thread of a worker panicked, which is reported when it is joined.
        let _ = workers[arrival.number as usize % workers.len()].send(DueCall { arrival, intended_start });
        count += 1;
    }
    count
}

fn wait_until(at: Instant) {
    loop {
        let remaining = at.saturating_duration_since(Instant::now());
        if remaining == Duration::ZERO {
            return;
        }
        match remaining.checked_sub(SPIN_TIME) {
            Some(sleep) if !sleep.is_zero() => thread::sleep(sleep),
            _ => std::hint::spin_loop(),
        }
    }
}
