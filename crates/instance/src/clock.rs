//! Conversions between clocks.

use {
    hemlockford_core::dispatch::ServerView,
    hemlockford_net::BootClock,
    std::time::{SystemTime, UNIX_EPOCH},
};

/// Returns the Unix time in nanoseconds, which is used for incarnations and random seeds.
pub(crate) fn wall_clock_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}

/// Converts the times of servers from the boot clock, which the control plane uses, to the steady clock of the
/// dispatcher.
pub(crate) fn to_steady(mut views: Vec<ServerView>) -> Vec<ServerView> {
    for view in &mut views {
        view.lease_end = BootClock::to_steady(view.lease_end);
        view.ready_since = BootClock::to_steady(view.ready_since);
        view.warm_at = BootClock::to_steady(view.warm_at);
    }
    views
}
