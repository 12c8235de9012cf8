//! Limits that servers name in their responses.

use {
    hemlockford_core::{
        collections::FastMap,
        dispatch::{CallRate, ServerNotice},
    },
    std::{net::SocketAddr, time::Instant},
};

/// Maximum number of servers whose limits are remembered.
const MAX_SERVERS: usize = 4_096;

/// What was sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseTo {
    Call,
    Probe,
}

#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    named_at: Instant,
    /// Whether a response to a probe has named it. Some servers name it only in responses to calls.
    is_named_to_probes: bool,
}

/// Servers that have named a limit on their rate of calls, so that a response that names none is noticed.
#[derive(Debug, Default)]
pub(crate) struct NamedLimits(FastMap<SocketAddr, NamedLimit>);

impl NamedLimits {
    /// Records a response to a request that was sent at `sent_at`. Returns the notice to report, if any.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        server: SocketAddr,
        (to, sent_at): (ResponseTo, Instant),
        limit: Option<CallRate>,
    ) -> Option<ServerNotice> {
        let previous = self.0.get(&server).copied();
        if limit.is_some() {
            let is_named_to_probes = to == ResponseTo::Probe || previous.is_some_and(|it| it.is_named_to_probes);
            if previous.is_some() || self.0.len() < MAX_SERVERS {
                self.0.insert(server, NamedLimit { named_at: now, is_named_to_probes });
            }
            return Some(ServerNotice::Limit(limit));
        }
        // A response to an earlier request may be older than the limit.
        let ends =
            previous.is_some_and(|it| sent_at >= it.named_at && (to == ResponseTo::Call || it.is_named_to_probes));
        if !ends {
            return None;
        }
        self.0.remove(&server);
        Some(ServerNotice::Limit(None))
    }
}
