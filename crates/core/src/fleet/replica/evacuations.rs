//! Orders that the servers of a data centre get no calls.

use {
    super::{Arrival, Operation, Replica, ReplicaAction},
    crate::{
        config::LEVEL,
        fleet::{FleetLogEvent, MAX_NAME_BYTES, ReplicaAnswer, Request},
        ids::{DataCentreId, LogIndex},
        ledger::{Evacuation, Ledger, LedgerOutcome},
    },
    std::time::{Duration, Instant},
};

/// Maximum time from the acceptance of a connection to the order on it. Operators wait at least 1 s for an answer before
/// they send an order to another replica, so that no later order is recorded before this time is over.
const MAX_ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// What the leader does with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderCheck {
    /// The data centre is in the ordered state, as far as this replica knows.
    Recorded,
    /// The order is to be recorded.
    Propose,
    /// It cannot be decided yet; the sender repeats the order.
    Wait,
    /// The order is not carried out.
    Refuse,
}

impl Replica {
    /// Requests the recording of an order. One that is in the ledger already may be repeated whatever the settings say. An
    /// order that may be outdated is sent back to its sender, who repeats it only if it still stands.
    pub(super) fn evacuate(
        &mut self,
        now: Instant,
        id: u64,
        (data_centre, is_active): (DataCentreId, bool),
        arrival: Arrival,
        wall_ms: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        let last = self.ledger.evacuation(&data_centre);
        let is_listed = self.options.data_centres.is_empty() || self.options.data_centres.contains(&data_centre);
        if !(1..=MAX_NAME_BYTES).contains(&data_centre.len()) {
            return self.answer(id, ReplicaAnswer::UnknownDataCentre, out);
        }
        if !is_listed && last.is_none() {
            let reason = "the settings do not name the data centre";
            out.push(ReplicaAction::Log(FleetLogEvent::EvacuationRefused { data_centre, is_active, reason }));
            return self.answer(id, ReplicaAnswer::UnknownDataCentre, out);
        }
        let recorded = last.map_or(0, |last| last.index);
        let is_in_force = last.is_some_and(|last| last.is_active == is_active);
        let known = match arrival {
            Arrival::Redirected(known) => known,
            // Without effect, unless a later order is recorded meanwhile; then the leader refuses it.
            _ if is_in_force => recorded,
            Arrival::Accepted(at) if self.is_recent(now, at) => recorded,
            _ if !self.is_current() => return self.answer(id, ReplicaAnswer::Unavailable, out),
            _ => {
                let log = FleetLogEvent::EvacuationRedirected { data_centre: data_centre.clone(), is_active };
                out.push(ReplicaAction::Log(log));
                let answer = ReplicaAnswer::Redirected { data_centre, is_active, known: recorded };
                return self.answer(id, answer, out);
            }
        };
        self.enqueue_request(now, id, Request::Evacuate { data_centre, is_active, known, wall_ms }, out);
    }

    /// Returns whether the first request on a connection was sent so recently that its sender cannot have given it up.
    fn is_recent(&self, now: Instant, accepted_at: Instant) -> bool {
        now.saturating_duration_since(accepted_at) <= MAX_ARRIVAL_TIME && !self.contact.may_have_waited(accepted_at)
    }

    /// Decides what the leader does with an order. Only one order for a data centre is proposed at a time, and none
    /// before all entries of earlier terms are applied, so that the last one is known.
    pub(super) fn check_order(
        &mut self,
        now: Instant,
        data_centre: &DataCentreId,
        is_active: bool,
        known: LogIndex,
        out: &mut Vec<ReplicaAction>,
    ) -> OrderCheck {
        if !self.is_current() || self.operations.is_ordered(data_centre) {
            return OrderCheck::Wait;
        }
        let last = self.ledger.evacuation(data_centre);
        let reason = match last {
            Some(Evacuation { is_active: other, .. }) if other == is_active => return OrderCheck::Recorded,
            // The replica that received the order did not know the last one: this may be a copy of an earlier order, or
            // the replica lags behind. The operator repeats an order that still stands.
            Some(Evacuation { index, .. }) if index != known => "a later order is recorded",
            None if known > 0 => return OrderCheck::Wait,
            _ if is_active && !self.ledger.can_evacuate(data_centre) => "too many data centres are evacuated",
            _ if !self.may_propose(now, LEVEL, out) => return OrderCheck::Wait,
            _ => return OrderCheck::Propose,
        };
        let data_centre = data_centre.clone();
        out.push(ReplicaAction::Log(FleetLogEvent::EvacuationRefused { data_centre, is_active, reason }));
        OrderCheck::Refuse
    }

    /// Returns whether an operation proposed an order that is recorded at this index.
    pub(super) fn is_order_recorded(&self, operation: &Operation, index: LogIndex) -> bool {
        matches!(operation, Operation::Evacuate(_))
            && self.ledger_outcomes.get(&index) == Some(&LedgerOutcome::Evacuated(true))
    }

    /// Passes on to the directory and the entries which data centres the ledger names as evacuated, unlike before.
    pub(super) fn apply_evacuations(&mut self, before: &[DataCentreId], out: &mut Vec<ReplicaAction>) {
        let after = evacuated(&self.ledger);
        for data_centre in after.iter().filter(|data_centre| !before.contains(data_centre)) {
            self.directory.set_evacuated(data_centre, true);
            out.push(ReplicaAction::Log(FleetLogEvent::EvacuationStarted(data_centre.clone())));
        }
        for data_centre in before.iter().filter(|data_centre| !after.contains(data_centre)) {
            self.directory.set_evacuated(data_centre, false);
            out.push(ReplicaAction::Log(FleetLogEvent::EvacuationEnded(data_centre.clone())));
        }
        self.publish_immediately |= before != after;
    }
}

/// Returns the evacuated data centres by name.
pub(super) fn evacuated(ledger: &Ledger) -> Vec<DataCentreId> {
    ledger.evacuated().cloned().collect()
}
