//! Servers that are lost and come back.

use {
    super::{Fleet, event::Event},
    hemlockford_core::dispatch::{AttemptResult, ServerState},
};

impl Fleet {
    /// Stops a server without a word; the calls at it break off.
    pub fn crash(&mut self, server: usize) {
        self.update_server(server);
        self.servers[server].has_crashed = true;
        for job in self.servers[server].clear() {
            let (entry, call, result) = (job.entry, job.call, AttemptResult::BrokenAfterWrite);
            self.schedule(0.0005, Event::AnswerArrived { entry, call, server, result, report: None });
        }
    }

    /// Makes it known that a server leaves; it ends the calls that it has.
    pub fn drain(&mut self, server: usize) {
        self.servers[server].view.state = ServerState::Draining;
        self.announce(self.servers[server].workload);
    }

    /// Brings a server back, which is cold then.
    pub fn start_up(&mut self, server: usize) {
        self.update_server(server);
        self.servers[server].has_crashed = false;
        self.servers[server].view.state = ServerState::Ready;
        self.servers[server].view.ready_since = self.now;
        self.announce(self.servers[server].workload);
    }

    /// Makes all work of a server take longer by this factor; 1 is usual.
    pub fn set_slowness(&mut self, server: usize, slowness: f64) {
        self.update_server(server);
        let target = &mut self.servers[server];
        target.slowdown *= slowness / target.slowness;
        target.slowness = slowness;
        self.update_server(server);
    }
}
