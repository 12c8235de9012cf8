//! Servers that asked for no further calls.

use {
    super::{MAX_SERVER_PAUSE, ServerNotice, ServerView},
    crate::{
        collections::FastMap,
        ids::{Incarnation, ServerId},
    },
    std::{collections::VecDeque, time::Instant},
};

/// Maximum number of servers whose notices are remembered; the oldest are dropped first.
const MAX_SERVERS: usize = 4_096;

/// Why a server gets no calls at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Exclusion {
    /// The server said that it is leaving.
    pub(crate) is_leaving: bool,
    /// Until when the server wants no calls.
    pub(crate) paused_until: Option<Instant>,
}

impl Exclusion {
    /// Returns whether the server gets no calls now.
    pub(crate) fn applies(&self, now: Instant) -> bool {
        self.is_leaving || self.paused_until.is_some_and(|until| now < until)
    }
}

/// Servers that asked for no further calls.
///
/// A notice binds the incarnation that sent it. It outlives the server's record, which the control plane may remove
/// and add again with older information.
#[derive(Clone, Debug, Default)]
pub(crate) struct Exclusions {
    servers: FastMap<ServerId, (Incarnation, Exclusion)>,
    order: VecDeque<ServerId>,
}

impl Exclusions {
    /// Records a notice of a server.
    pub(crate) fn record(&mut self, now: Instant, view: &ServerView, notice: ServerNotice) {
        if !self.servers.contains_key(&view.id) {
            self.order.push_back(view.id.clone());
            if self.order.len() > MAX_SERVERS
                && let Some(oldest) = self.order.pop_front()
            {
                self.servers.remove(&oldest);
            }
        }
        let (incarnation, exclusion) = self.servers.entry(view.id.clone()).or_default();
        if *incarnation != view.incarnation {
            (*incarnation, *exclusion) = (view.incarnation, Exclusion::default());
        }
        match notice {
            // Only the balancer of a fleet divides a limit among the entries.
            ServerNotice::Limit(_) => {}
            ServerNotice::Leaving => exclusion.is_leaving = true,
            // An answer that was sent before a longer pause does not end it.
            ServerNotice::Pause(time) => {
                exclusion.paused_until = exclusion.paused_until.max(Some(now + time.min(MAX_SERVER_PAUSE)));
            }
        }
    }

    /// Returns the exclusion of a server; there is none for another incarnation than the one that sent the notice.
    pub(crate) fn of(&self, view: &ServerView) -> Exclusion {
        let recorded = self.servers.get(&view.id);
        recorded.filter(|(incarnation, _)| *incarnation == view.incarnation).map(|(_, it)| *it).unwrap_or_default()
    }
}
