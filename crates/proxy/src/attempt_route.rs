//! Where an attempt of a call goes.

use {
    crate::dispatcher::Decision,
    hemlockford_core::ids::{InstanceId, ServerId},
    std::net::SocketAddr,
};

/// Where an attempt of a call goes: to a server, or to another entry.
#[derive(Debug)]
pub(crate) struct AttemptRoute {
    /// The server or the entry.
    pub(crate) target: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) fresh_connection: bool,
    pub(crate) pass_allowance: bool,
    pub(crate) want_report: bool,
    /// Number of servers to which the other entry may send the call.
    pub(crate) relay_attempts: Option<u32>,
}

impl AttemptRoute {
    /// Returns the route of a decision; `None` if the call is rejected.
    pub(crate) fn of(decision: Decision) -> Option<Self> {
        match decision {
            Decision::Send { server, address, fresh_connection, pass_allowance, want_report } => {
                let target: ServerId = server;
                Some(Self { target, address, fresh_connection, pass_allowance, want_report, relay_attempts: None })
            }
            Decision::Relay { entry, address, attempts, fresh_connection } => {
                let target: InstanceId = entry;
                let relay_attempts = Some(attempts);
                let (pass_allowance, want_report) = (false, false);
                Some(Self { target, address, fresh_connection, pass_allowance, want_report, relay_attempts })
            }
            Decision::Reject { .. } => None,
        }
    }

    pub(crate) fn is_relay(&self) -> bool {
        self.relay_attempts.is_some()
    }
}
