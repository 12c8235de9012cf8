//! Quorums that keep the configuration of every serving instance current.
//!
//! A change is accepted once A = floor(N/2)+1 instances hold it at the same time. An instance serves calls only while
//! S = N-A+1 instances, including itself, are known to have reported within the last 2 s that they hold nothing newer
//! than its own change. As A + S > N, one of the S instances holds every change that was accepted before the oldest
//! of these reports. See docs/notes/freshness.md for the proof and the handling of restarts.

mod acceptance;
mod machine;
mod report;

pub use {
    acceptance::is_held_by_quorum,
    machine::{ConfigFreshness, NotCurrent},
    report::PeerReport,
};

use std::time::Duration;

/// Time for which the report of another instance counts. It bounds the time for which an instance may serve under an
/// older configuration after a newer one was accepted.
pub const FRESHNESS_WINDOW: Duration = Duration::from_secs(2);

/// Returns the number of instances that must hold a change for it to be accepted.
///
/// ```
/// use hemlockford_core::freshness::{install_quorum, serve_quorum};
/// for roster in 1..10 {
///     assert!(install_quorum(roster) + serve_quorum(roster) > roster);
/// }
/// ```
pub fn install_quorum(roster: usize) -> usize {
    roster / 2 + 1
}

/// Returns the number of instances, including itself, that an instance must have recent reports from to serve calls.
pub fn serve_quorum(roster: usize) -> usize {
    roster - install_quorum(roster) + 1
}
