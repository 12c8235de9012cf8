//! What callers do, and what becomes of their calls.

use {
    super::{CallEnd, Ending, Fleet, event::Event, simulation::Record},
    hemlockford_core::{
        dispatch::{AttemptResult, Call, CallOptions, DispatchEvent, FinishedAttempt, LoadReport},
        ids::CallId,
        outcome::Outcome,
    },
    rand::RngExt,
    std::time::Duration,
};

/// Part of the time left for which a refused caller waits at most.
const RETURN_PART: u32 = 3;
/// Parts of the objective after which a refusal costs something, and the whole worth.
const HELD: (f64, f64) = (1.0 / 8.0, 3.0 / 4.0);

impl Fleet {
    /// Makes a call at an entry; returns its number.
    pub fn call_at(&mut self, entry: usize, workload: usize, work: f64, priority: u32) -> CallId {
        self.sequence += 1;
        let id = self.sequence;
        let deadline = self.now + self.options.workloads[workload].deadline;
        self.tallies[workload].calls += 1;
        let (first, arrived, sent) = (self.now, self.now, self.now);
        let record = Record { workload, entry, first, arrived, deadline, sent, work, priority, server: None };
        self.after(self.options.workloads[workload].deadline.as_secs_f64(), Event::Cut { call: id });
        self.present(entry, id, record);
        id
    }

    /// Lets a refused caller come back.
    pub(super) fn come_back(&mut self, entry: usize, call: CallId, record: Record) {
        let left = record.deadline.saturating_duration_since(self.now);
        self.after(left.as_secs_f64(), Event::Cut { call });
        self.present(entry, call, Record { entry, arrived: self.now, ..record });
    }

    fn present(&mut self, entry: usize, id: CallId, record: Record) {
        let spec = &self.options.workloads[record.workload];
        let call = Call {
            id,
            service: spec.service.into(),
            customer: "kovar".into(),
            idempotent: spec.idempotent,
            replayable: spec.idempotent,
            deadline: record.deadline,
            depth: 0,
            retry_allowance: false,
            upload: spec.upload,
            options: CallOptions { attempts: 3, priority: record.priority, objective: spec.objective },
        };
        self.records.insert(id, record);
        self.tell(entry, DispatchEvent::Arrive(call));
    }

    /// Takes the rejection of a call by its entry.
    pub(super) fn reject(&mut self, call: CallId, outcome: Outcome, retry_after: Duration) {
        let Some(record) = self.records.remove(&call) else { return };
        let is_first = record.arrived == record.first;
        if self.options.callers_return && is_first && matches!(outcome, Outcome::NotRun(_)) {
            let wait = retry_after.min(record.deadline.saturating_duration_since(self.now) / RETURN_PART);
            let charge = self.charge(&record);
            if charge > 0.0 {
                self.ends.push(CallEnd {
                    first: record.first,
                    workload: record.workload,
                    ending: Ending::Held(charge),
                });
            }
            self.sequence += 1;
            let call = self.sequence;
            let entry = self.rng.random_range(0..self.options.entries);
            return self.after(wait.as_secs_f64(), Event::Return { entry, call, record });
        }
        match outcome {
            Outcome::NotRun(_) => {
                let charge = self.charge(&record);
                self.tallies[record.workload].rejected += 1;
                self.end(&record, Ending::Refused);
                if charge > 0.0 {
                    self.end(&record, Ending::Held(charge));
                }
            }
            _ => self.fail(&record),
        }
    }

    /// Part of its worth that a refusal costs now, by the time for which the call was held.
    fn charge(&self, record: &Record) -> f64 {
        let objective = self.options.workloads[record.workload].objective.as_secs_f64();
        let held = (self.now - record.arrived).as_secs_f64() / objective;
        ((held - HELD.0) / (HELD.1 - HELD.0)).clamp(0.0, 1.0)
    }

    fn end(&mut self, record: &Record, ending: Ending) {
        self.ends.push(CallEnd { first: record.first, workload: record.workload, ending });
    }

    fn fail(&mut self, record: &Record) {
        self.tallies[record.workload].unknown += 1;
        self.end(record, Ending::Failed);
    }

    /// Ends a call at its deadline; the server stops it as its connection closes.
    pub(super) fn cut(&mut self, call: CallId) {
        let Some(record) = self.records.remove(&call) else { return };
        self.fail(&record);
        let Some(server) = record.server else {
            return self.tell(record.entry, DispatchEvent::Cancel(call));
        };
        self.settle(server);
        self.servers[server].remove(call);
        self.settle(server);
        let latency = self.now - record.sent;
        let server = self.servers[server].view.id.clone();
        let result = AttemptResult::Timeout;
        let finish = FinishedAttempt { call, server, result, latency, report: None, wants_decision: false };
        self.tell(record.entry, DispatchEvent::AttemptFinished(finish));
    }

    /// Takes an answer at its entry.
    pub(super) fn answer(
        &mut self,
        entry: usize,
        call: CallId,
        server: usize,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let Some(record) = self.records.get_mut(&call).filter(|record| record.server == Some(server)) else { return };
        record.server = None;
        let (workload, first) = (record.workload, record.first);
        let latency = self.now - record.sent;
        let spec = &self.options.workloads[workload];
        let tally = &mut self.tallies[workload];
        let mut wants_decision = false;
        match result {
            AttemptResult::Complete => {
                let is_in_time = self.now - first <= spec.objective;
                tally.in_time += u64::from(is_in_time);
                tally.late += u64::from(!is_in_time);
                tally.latencies.push((self.now - first).as_secs_f32());
                let ending = if is_in_time { Ending::InTime } else { Ending::Late };
                self.ends.push(CallEnd { first, workload, ending });
            }
            // A server error of a call that is not repeated is passed on as it is.
            AttemptResult::ServerError if !spec.idempotent => {
                tally.unknown += 1;
                self.ends.push(CallEnd { first, workload, ending: Ending::Failed });
            }
            _ => {
                tally.sheds += u64::from(result == AttemptResult::Shed);
                wants_decision = true;
            }
        }
        if !matches!(result, AttemptResult::BrokenAfterWrite | AttemptResult::RefusedBeforeWrite) {
            self.keep_connection(entry, server);
        }
        if !wants_decision {
            self.records.remove(&call);
        }
        let server = self.servers[server].view.id.clone();
        self.tell(
            entry,
            DispatchEvent::AttemptFinished(FinishedAttempt { call, server, result, latency, report, wants_decision }),
        );
    }
}
