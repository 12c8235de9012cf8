//! Behaviour of the callers, and the results of their calls.

use {
    super::{CallResult, Fleet, ResultKind, event::Event, simulation::Record},
    hemlockford_core::{
        dispatch::{AttemptResult, Call, CallOptions, DispatchEvent, FinishedAttempt, LoadReport},
        ids::CallId,
        outcome::Outcome,
    },
    rand::RngExt,
    std::time::Duration,
};

/// A rejected caller waits for at most one in this many parts of its time left.
const RETRY_WAIT_DIVISOR: u32 = 3;
/// Hold times, as shares of the objective, from which a rejection costs something and at which it costs the
/// whole value.
const HOLD_COST_RANGE: (f64, f64) = (1.0 / 8.0, 3.0 / 4.0);

impl Fleet {
    /// Makes a call at an entry; returns its identifier.
    pub fn call_at(&mut self, entry: usize, workload: usize, work: f64, priority: u32) -> CallId {
        self.last_id += 1;
        let id = self.last_id;
        let deadline = self.now + self.options.workloads[workload].deadline;
        self.stats_by_service[workload].calls += 1;
        let (first_attempt_at, arrived, sent) = (self.now, self.now, self.now);
        let record =
            Record { workload, entry, first_attempt_at, arrived, deadline, sent, work, priority, server: None };
        self.schedule(self.options.workloads[workload].deadline.as_secs_f64(), Event::Deadline { call: id });
        self.arrive(entry, id, record);
        id
    }

    /// Makes the second attempt of a caller that was rejected.
    pub(super) fn retry_call(&mut self, entry: usize, call: CallId, record: Record) {
        let left = record.deadline.saturating_duration_since(self.now);
        self.schedule(left.as_secs_f64(), Event::Deadline { call });
        self.arrive(entry, call, Record { entry, arrived: self.now, ..record });
    }

    fn arrive(&mut self, entry: usize, id: CallId, record: Record) {
        let call = self.call_of(id, &record);
        self.records.insert(id, record);
        self.handle_event(entry, DispatchEvent::Arrive(call));
    }

    pub(super) fn arrive_relayed(&mut self, entry: usize, id: CallId, record: Record, attempts: u32) {
        let call = self.call_of(id, &record);
        let call = Call { relayed: true, options: CallOptions { attempts, ..call.options }, ..call };
        self.records.insert(id, Record { entry, server: None, ..record });
        self.handle_event(entry, DispatchEvent::Arrive(call));
    }

    fn call_of(&self, id: CallId, record: &Record) -> Call {
        let spec = &self.options.workloads[record.workload];
        Call {
            id,
            service: spec.service.into(),
            customer: "kovar".into(),
            idempotent: spec.idempotent,
            replayable: spec.idempotent,
            deadline: record.deadline,
            depth: 0,
            retry_allowance: false,
            upload: spec.upload,
            fingerprint: None,
            relayed: false,
            options: CallOptions { attempts: 3, priority: record.priority, objective: spec.objective },
        }
    }

    /// Processes the rejection of a call by its entry.
    pub(super) fn reject(&mut self, call: CallId, outcome: Outcome, retry_after: Duration) {
        if self.return_relay_outcome(call, outcome) {
            return;
        }
        let Some(record) = self.records.remove(&call) else { return };
        let is_first = record.arrived == record.first_attempt_at;
        if self.options.callers_retry && is_first && matches!(outcome, Outcome::NotRun(_)) {
            let wait = retry_after.min(record.deadline.saturating_duration_since(self.now) / RETRY_WAIT_DIVISOR);
            let cost = self.hold_cost(&record);
            if cost > 0.0 {
                self.results.push(CallResult {
                    first_attempt_at: record.first_attempt_at,
                    entry: record.entry,
                    workload: record.workload,
                    kind: ResultKind::HoldCost(cost),
                });
            }
            self.last_id += 1;
            let call = self.last_id;
            let entry = self.rng.random_range(0..self.options.entries);
            return self.schedule(wait.as_secs_f64(), Event::Retry { entry, call, record });
        }
        match outcome {
            Outcome::NotRun(_) => {
                let cost = self.hold_cost(&record);
                self.stats_by_service[record.workload].rejected += 1;
                self.record_result(&record, ResultKind::Rejected);
                if cost > 0.0 {
                    self.record_result(&record, ResultKind::HoldCost(cost));
                }
            }
            _ => self.record_failure(&record),
        }
    }

    /// Returns the share of its value that a call loses if it is rejected now, which grows with the time for
    /// which it was queued.
    fn hold_cost(&self, record: &Record) -> f64 {
        let objective = self.options.workloads[record.workload].objective.as_secs_f64();
        let hold_time = (self.now - record.arrived).as_secs_f64() / objective;
        ((hold_time - HOLD_COST_RANGE.0) / (HOLD_COST_RANGE.1 - HOLD_COST_RANGE.0)).clamp(0.0, 1.0)
    }

    fn record_result(&mut self, record: &Record, kind: ResultKind) {
        self.results.push(CallResult {
            first_attempt_at: record.first_attempt_at,
            entry: record.entry,
            workload: record.workload,
            kind,
        });
    }

    fn record_failure(&mut self, record: &Record) {
        self.stats_by_service[record.workload].unknown += 1;
        self.record_result(record, ResultKind::Failed);
    }

    /// Ends a call at its deadline; the server stops the call because its connection is closed.
    pub(super) fn time_out(&mut self, call: CallId) {
        let Some(record) = self.records.remove(&call) else { return };
        // A relayed call ends together with the one that was passed on.
        if self.relayed.remove(&call).is_none() {
            self.record_failure(&record);
        }
        let Some(server) = record.server else {
            return self.handle_event(record.entry, DispatchEvent::Cancel(call));
        };
        self.update_server(server);
        self.servers[server].remove(call);
        self.update_server(server);
        let latency = self.now - record.sent;
        let server = self.servers[server].view.id.clone();
        let result = AttemptResult::Timeout;
        let finish = FinishedAttempt { call, server, result, latency, report: None, wants_decision: false };
        self.handle_event(record.entry, DispatchEvent::AttemptFinished(finish));
    }

    /// Processes an answer at its entry.
    pub(super) fn deliver_answer(
        &mut self,
        entry: usize,
        call: CallId,
        server: usize,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let Some(record) = self.records.get_mut(&call).filter(|record| record.server == Some(server)) else { return };
        record.server = None;
        let (workload, first_attempt_at) = (record.workload, record.first_attempt_at);
        let latency = self.now - record.sent;
        if let Some(server) = self.failed_connections.remove(&call) {
            self.handle_event(entry, DispatchEvent::Connection { server, is_open: false });
        }
        let spec = &self.options.workloads[workload];
        let stats = &mut self.stats_by_service[workload];
        let mut wants_decision = false;
        match result {
            AttemptResult::Complete if self.relayed.contains_key(&call) => {}
            AttemptResult::Complete => {
                let is_in_time = self.now - first_attempt_at <= spec.objective;
                stats.in_time += u64::from(is_in_time);
                stats.late += u64::from(!is_in_time);
                stats.latencies.push((self.now - first_attempt_at).as_secs_f32());
                let kind = if is_in_time { ResultKind::InTime } else { ResultKind::Late };
                self.results.push(CallResult { first_attempt_at, entry, workload, kind });
            }
            // The server error of a call that cannot be repeated is passed on.
            AttemptResult::ServerError if !spec.idempotent => {
                stats.unknown += 1;
                self.results.push(CallResult { first_attempt_at, entry, workload, kind: ResultKind::Failed });
            }
            _ => {
                stats.sheds += u64::from(result == AttemptResult::Shed);
                wants_decision = true;
            }
        }
        if !matches!(result, AttemptResult::BrokenAfterWrite | AttemptResult::RefusedBeforeWrite) {
            self.keep_connection(entry, server);
        }
        if !wants_decision && !self.return_relay(call, result) {
            self.records.remove(&call);
        }
        if !matches!(result, AttemptResult::BrokenAfterWrite | AttemptResult::RefusedBeforeWrite) {
            self.name_limit(entry, server);
        }
        let server = self.servers[server].view.id.clone();
        self.handle_event(
            entry,
            DispatchEvent::AttemptFinished(FinishedAttempt { call, server, result, latency, report, wants_decision }),
        );
    }
}
