//! Entries that have lost the path to the servers.

use {
    super::{Fleet, event::Event},
    hemlockford_core::{dispatch::AttemptResult, ids::CallId},
};

/// How an entry has lost the path to all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Connections hang, and new ones cannot be opened in time.
    Hang,
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Open connections stay in use, and new ones are refused.
    RefuseNew,
}

/// Time until a connection that hangs while it is opened is given up.
const CONNECT_TIMEOUT: f64 = 0.3;
const PROBE_TIMEOUT: f64 = 0.05;
const REFUSED_AFTER: f64 = 0.002;

impl Fleet {
    /// Fails a call that is sent by an entry without a path to the server; returns whether that is so.
    pub(super) fn fail_without_path(&mut self, entry: usize, call: CallId, server: usize, is_new: bool) -> bool {
        let delay = match self.cuts[entry] {
            None => return false,
            Some(Cut::RefuseNew) if !is_new => return false,
            // The request was written, and nothing comes back until the deadline.
            Some(Cut::Hang) if !is_new => return true,
            Some(Cut::Hang) => CONNECT_TIMEOUT,
            Some(Cut::Reset | Cut::RefuseNew) => REFUSED_AFTER,
        };
        let result = AttemptResult::RefusedBeforeWrite;
        let server_id = self.servers[server].view.id.clone();
        self.failed_connections.insert(call, server_id);
        self.schedule(delay, Event::AnswerArrived { entry, call, server, result, report: None });
        true
    }

    /// Fails a probe that is sent by an entry without a path to the server; returns whether that is so.
    pub(super) fn fail_probe_without_path(&mut self, entry: usize, probe: u64, server: usize) -> bool {
        let delay = match self.cuts[entry] {
            None => return false,
            Some(Cut::RefuseNew) if self.has_idle_connection(entry, server) => return false,
            Some(Cut::Hang) => PROBE_TIMEOUT,
            Some(Cut::Reset | Cut::RefuseNew) => REFUSED_AFTER,
        };
        self.schedule(delay, Event::ProbeAnswered { entry, probe, server, report: None, warm_up: None });
        true
    }
}
