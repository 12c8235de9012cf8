//! Servers that are lost and return.

use {
    super::{Fleet, event::Event},
    hemlockford_core::dispatch::{AttemptResult, ServerState},
};

impl Fleet {
    /// Crashes a server without an announcement; the connections of its calls break.
    pub fn crash(&mut self, server: usize) {
        self.update_server(server);
        self.servers[server].has_crashed = true;
        for job in self.servers[server].clear() {
            let (entry, call, result) = (job.entry, job.call, AttemptResult::BrokenAfterWrite);
            self.schedule(0.0005, Event::AnswerArrived { entry, call, server, result, report: None });
        }
    }

    /// Announces that a server is draining; it completes its calls.
    pub fn drain(&mut self, server: usize) {
        self.servers[server].view.state = ServerState::Draining;
        self.announce(self.servers[server].workload);
    }

    /// Makes a server ready again; it is cold at first.
    pub fn start_up(&mut self, server: usize) {
        self.update_server(server);
        self.servers[server].has_crashed = false;
        self.servers[server].view.state = ServerState::Ready;
        self.servers[server].view.ready_since = self.now;
        self.announce(self.servers[server].workload);
    }

    /// Sets the factor by which all work of a server takes longer; 1 is normal.
    pub fn set_slowness(&mut self, server: usize, slowness: f64) {
        self.update_server(server);
        let target = &mut self.servers[server];
        target.slowdown *= slowness / target.slowness;
        target.slowness = slowness;
        self.update_server(server);
    }
}
