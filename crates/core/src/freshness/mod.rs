//! The quorums that keep the configuration of every serving entry current.
//!
//! A change is accepted once A = floor(N/2)+1 entries hold it at the same time. An entry serves only while
//! S = N-A+1 entries, itself included, are known to have said within the last 2 s that they hold nothing
//! newer than what this entry has installed. As A + S > N, one of the S holds every change accepted before
//! the oldest of the S statements. docs/notes/currency.md has the argument and what it does with restarts.

mod acceptance;
mod machine;
mod report;

pub use {
    acceptance::is_held_by_quorum,
    machine::{ConfigFreshness, NotCurrent},
    report::PeerReport,
};

use std::time::Duration;

/// Time for which the statement of another entry counts. It bounds how long an entry may serve under an
/// older text after a newer one was accepted.
pub const FRESHNESS_WINDOW: Duration = Duration::from_secs(2);

/// Returns how many entries must hold a change before it is accepted.
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

/// Returns how many entries, itself included, an entry must hear from to serve.
pub fn serve_quorum(roster: usize) -> usize {
    roster - install_quorum(roster) + 1
}
