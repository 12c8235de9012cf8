//! Calls at the servers.

use {
    super::{Fault, Fleet, event::Event},
    hemlockford_core::{dispatch::AttemptResult, ids::CallId},
};

impl Fleet {
    pub(super) fn receive_request(&mut self, entry: usize, call: CallId, server: usize, work: f64) {
        let now = self.now;
        if !self.records.contains_key(&call) {
            return;
        }
        self.update_server(server);
        let target = &mut self.servers[server];
        target.received_calls += 1;
        target.first_call_at.get_or_insert(now);
        if let Some(limit) = &mut target.limit {
            limit.record_call(now, entry);
        }
        if let Some(cold) = &mut target.cold
            && target.fault != Fault::Misdirects
        {
            cold.record_call(now);
        }
        let result = match target.fault {
            _ if target.has_crashed => Some(AttemptResult::RefusedBeforeWrite),
            Fault::FailsFast => Some(AttemptResult::ServerError),
            Fault::ShedsAll => Some(AttemptResult::Shed),
            Fault::Misdirects => Some(AttemptResult::Misdirected),
            Fault::None => (!target.push(now, entry, call, work)).then_some(AttemptResult::Shed),
        };
        let report = (!target.has_crashed).then(|| target.report());
        if let Some(result) = result {
            self.schedule(0.001, Event::AnswerArrived { entry, call, server, result, report });
        }
        self.update_server(server);
    }

    /// Ends the calls that are done at a server and schedules the end of the next one.
    pub(super) fn update_server(&mut self, server: usize) {
        let done = self.servers[server].advance(self.now);
        let report = Some(self.servers[server].report());
        for job in done {
            let (entry, call, result) = (job.entry, job.call, AttemptResult::Complete);
            let delay = if self.is_remote(entry, server) { 0.0009 } else { 0.0003 };
            self.schedule(delay, Event::AnswerArrived { entry, call, server, result, report });
        }
        let version = self.servers[server].version;
        if let Some(seconds) = self.servers[server].next_end() {
            self.schedule(seconds + 1e-9, Event::CallDone { server, version });
        }
    }
}
