//! Detection that this entry has lost the path to all servers of a service.

use {
    crate::{collections::FastSet, slots::NameHash},
    std::time::{Duration, Instant},
};

/// Servers that must fail before the path is in doubt, and again before it counts as lost. Single servers crash or are
/// cut off by themselves.
const MIN_FAILED: usize = 3;
/// Servers to which new connections are opened when the path is in doubt. If half of the servers have crashed, all of
/// them fail in one of 256 checks.
const CHECKED_SERVERS: usize = 8;
/// Maximum time of a check, many round trips.
pub(super) const CHECK_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between checks of one server while the path is lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Whether this entry reaches the servers of a service.
#[derive(Clone, Debug, Default)]
enum Path {
    #[default]
    Usable,
    /// Connections to some servers are being opened; contains the number of those whose end is not known.
    InDoubt(usize),
    Lost,
}

/// Detects that this entry has lost the path to all servers of a service.
///
/// A server that does not answer, or refuses connections, does not show that. New connections to several servers are
/// opened when some in a row have failed; the path is lost if all of these fail too. Open connections may stay in use
/// while new ones are refused, so that answers on them do not count.
#[derive(Clone, Debug, Default)]
pub(super) struct PathMonitor {
    path: Path,
    /// Servers to which no connection could be opened since the last one that was opened.
    refused: FastSet<NameHash>,
    /// Servers whose probes failed since the last answer of a server.
    silent: FastSet<NameHash>,
    next_check: Option<Instant>,
}

impl PathMonitor {
    /// Returns whether the path to all servers is lost.
    pub(super) fn is_lost(&self) -> bool {
        matches!(self.path, Path::Lost)
    }

    /// Records that a server answered a probe or a call.
    pub(super) fn record_answer(&mut self) {
        self.silent.clear();
    }

    /// Records that a probe of a server failed.
    pub(super) fn record_silence(&mut self, server: NameHash) {
        self.silent.insert(server);
    }

    /// Records that a connection to a server was opened, or could not be.
    pub(super) fn record_connection(&mut self, server: NameHash, is_open: bool) {
        if is_open {
            *self = Self { next_check: self.next_check, ..Self::default() };
        } else {
            self.refused.insert(server);
        }
    }

    /// Records the end of a check; returns whether the path is lost since then.
    pub(super) fn finish_check(&mut self, server: NameHash, is_open: bool) -> bool {
        self.record_connection(server, is_open);
        let Path::InDoubt(pending) = &mut self.path else { return false };
        *pending = pending.saturating_sub(1);
        if *pending > 0 {
            return false;
        }
        self.path = Path::Lost;
        true
    }

    /// Makes the next check due, because a server has joined.
    pub(super) fn hasten_check(&mut self) {
        self.next_check = None;
    }

    /// Returns the number of servers to which connections are to be opened now. The available servers are counted only
    /// if some have failed.
    pub(super) fn due_checks(&mut self, now: Instant, count_servers: impl FnOnce() -> usize) -> usize {
        let has_failed = self.is_lost() || !self.refused.is_empty() || !self.silent.is_empty();
        if !has_failed || self.next_check.is_some_and(|at| now < at) {
            return 0;
        }
        let servers = count_servers();
        let needed = MIN_FAILED.min(servers).max(1);
        let checks = match self.path {
            Path::Usable if self.refused.len() >= needed || self.silent.len() >= needed => CHECKED_SERVERS.min(servers),
            Path::Usable | Path::InDoubt(_) => 0,
            Path::Lost => 1,
        };
        if checks > 0 {
            self.next_check = Some(now + CHECK_INTERVAL);
        }
        checks
    }

    /// Records that connections to so many servers are being opened.
    pub(super) fn begin_checks(&mut self, checks: usize) {
        if !self.is_lost() {
            self.path = Path::InDoubt(checks);
        }
    }

    /// Returns whether a server has failed lately.
    pub(super) fn has_failed(&self, server: NameHash) -> bool {
        self.refused.contains(&server) || self.silent.contains(&server)
    }
}
