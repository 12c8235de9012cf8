//! Calls that entries pass on to each other.

use {
    super::{CallResult, Fleet, ResultKind, event::Event},
    hemlockford_core::{
        dispatch::{AttemptResult, DispatchEvent, FinishedAttempt, RelayAddress},
        ids::CallId,
        outcome::{NotRunReason, Outcome},
    },
};

/// Time from one entry to another.
const RELAY_DELAY: f64 = 0.001;

impl Fleet {
    /// Informs an entry of some others, which differ between entries.
    pub(super) fn name_relays(&mut self, entry: usize) {
        let entries = self.options.entries;
        let others = (1..entries).map(|step| (entry + step * 5) % entries).filter(|other| *other != entry);
        let mut others: Vec<_> = others.take(8).collect();
        others.dedup();
        let address = |other: usize| RelayAddress {
            entry: format!("entry-{other}").into(),
            address: ([127, 0, 0, 1], 20_000 + other as u16).into(),
        };
        self.handle_event(entry, DispatchEvent::Relays(others.into_iter().map(address).collect()));
    }

    pub(super) fn send_relay(&mut self, from: usize, call: CallId, address: u16, attempts: u32) {
        let to = usize::from(address - 20_000);
        self.relays_sent += 1;
        self.schedule(RELAY_DELAY, Event::Relayed { from, to, call, attempts });
    }

    /// Handles a relayed call at the other entry. Its record moves there, under a number of its own.
    pub(super) fn receive_relay(&mut self, from: usize, to: usize, call: CallId, attempts: u32) {
        let Some(record) = self.records.get(&call).cloned() else { return };
        self.last_id += 1;
        let id = self.last_id;
        self.relayed.insert(id, (from, call));
        let left = record.deadline.saturating_duration_since(self.now);
        self.schedule(left.as_secs_f64(), Event::Deadline { call: id });
        self.arrive_relayed(to, id, record, attempts);
    }

    /// Sends the result of a relayed call back; returns whether the call was relayed.
    pub(super) fn return_relay(&mut self, call: CallId, result: AttemptResult) -> bool {
        let Some((from, original)) = self.relayed.remove(&call) else { return false };
        let to = self.records.remove(&call).map_or(from, |record| record.entry);
        self.schedule(RELAY_DELAY, Event::RelayEnded { from, to, call: original, result });
        true
    }

    pub(super) fn return_relay_outcome(&mut self, call: CallId, outcome: Outcome) -> bool {
        let result = match outcome {
            Outcome::NotRun(NotRunReason::NoServer) => AttemptResult::Misdirected,
            Outcome::NotRun(_) => AttemptResult::Shed,
            _ => AttemptResult::ServerError,
        };
        self.return_relay(call, result)
    }

    /// Processes the result of a call that an entry has passed on.
    pub(super) fn end_relay(&mut self, from: usize, to: usize, call: CallId, result: AttemptResult) {
        let Some(record) = self.records.get(&call).cloned() else { return };
        let is_final = matches!(result, AttemptResult::Complete | AttemptResult::ServerError);
        if is_final {
            self.records.remove(&call);
            let is_in_time = self.now - record.first_attempt_at <= self.options.workloads[record.workload].objective;
            let kind = match result {
                AttemptResult::Complete if is_in_time => ResultKind::InTime,
                AttemptResult::Complete => ResultKind::Late,
                _ => ResultKind::Failed,
            };
            let (first_attempt_at, workload) = (record.first_attempt_at, record.workload);
            self.results.push(CallResult { first_attempt_at, entry: record.entry, workload, kind });
        }
        let latency = self.now - record.arrived;
        let server = format!("entry-{to}").into();
        let wants_decision = !is_final;
        let finish = FinishedAttempt { call, server, result, latency, report: None, wants_decision };
        self.handle_event(from, DispatchEvent::AttemptFinished(finish));
    }
}
