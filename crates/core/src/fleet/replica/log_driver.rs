//! Drives consensus and applies committed entries.

use {
    super::{Replica, ReplicaAction, evacuations::evacuated},
    crate::{
        consensus::{ConsensusAction, ConsensusEvent, Write},
        fleet::{FleetLogEvent, FleetMessage, record::is_server_name},
        ids::LogIndex,
        ledger::{Command, Ledger, LedgerOutcome, UNREADABLE_COMMAND},
    },
    std::time::Instant,
};

impl Replica {
    /// Passes an event to consensus and executes the resulting actions.
    pub(super) fn drive(&mut self, now: Instant, event: ConsensusEvent, out: &mut Vec<ReplicaAction>) {
        let (mut events, mut actions) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            self.consensus.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, &mut events, out);
            }
        }
        self.ledger_outcomes.clear();
    }

    pub(super) fn carry_out(
        &mut self,
        now: Instant,
        action: ConsensusAction,
        events: &mut Vec<ConsensusEvent>,
        out: &mut Vec<ReplicaAction>,
    ) {
        if let Some((sequence, write)) = Write::from_action(&action) {
            return out.push(ReplicaAction::Write { sequence, write });
        }
        match action {
            ConsensusAction::Send { to, message } => {
                out.push(ReplicaAction::Send { to, message: FleetMessage::Consensus(message) });
            }
            ConsensusAction::TakeSnapshot { index } => match self.ledger.snapshot() {
                Ok(data) => events.push(ConsensusEvent::SnapshotTaken { index, data: data.into() }),
                Err(_) => out.push(ReplicaAction::InvariantViolated("the ledger cannot be encoded")),
            },
            ConsensusAction::RestoreSnapshot { snapshot } => match Ledger::restore(&snapshot.data) {
                Ok(ledger) => self.restore(now, ledger, out),
                Err(_) => out.push(ReplicaAction::InvariantViolated("the snapshot of the ledger cannot be decoded")),
            },
            ConsensusAction::Apply { index, command } => self.apply(now, index, &command, out),
            ConsensusAction::Answer { id, result } => self.complete_operation(now, id, result, out),
            ConsensusAction::BecomeLeader { term } => out.push(ReplicaAction::Log(FleetLogEvent::BecameLeader(term))),
            ConsensusAction::BecomeFollower { term, .. } => {
                self.operations.clear();
                out.push(ReplicaAction::Log(FleetLogEvent::BecameFollower(term)));
            }
            ConsensusAction::Stopped => out.push(ReplicaAction::Stopped),
            ConsensusAction::InvariantViolated(reason) => out.push(ReplicaAction::InvariantViolated(reason)),
            ConsensusAction::SaveHardState { .. }
            | ConsensusAction::Append { .. }
            | ConsensusAction::Truncate { .. }
            | ConsensusAction::SaveSnapshot { .. } => {}
        }
    }

    fn apply(&mut self, now: Instant, index: LogIndex, bytes: &[u8], out: &mut Vec<ReplicaAction>) {
        let server = match Command::decode(bytes) {
            Ok(Command::Depart { server, .. }) => Some(server),
            _ => None,
        };
        let change = self.ledger.change_number();
        let evacuated_before = evacuated(&self.ledger);
        let previous = server.as_deref().and_then(|server| self.ledger.departed_incarnation(server));
        let outcome = self.ledger.apply_bytes(index, bytes);
        if outcome == LedgerOutcome::Malformed {
            return out.push(ReplicaAction::InvariantViolated(UNREADABLE_COMMAND));
        }
        self.ledger_outcomes.insert(index, outcome);
        if self.ledger.change_number() > change {
            self.update_services(now, out);
        }
        self.apply_evacuations(&evacuated_before, out);
        // Earlier versions recorded the departure of any name. Instances that run one drop a message which contains a
        // name that no record can have.
        if let Some(server) = server.filter(|server| is_server_name(server))
            && let Some(incarnation) = self.ledger.departed_incarnation(&server)
            && previous < Some(incarnation)
        {
            self.directory.mark_departed(&server, incarnation);
            self.publish_immediately = true;
            self.recent_departures.add(now, server.clone(), incarnation);
            out.push(ReplicaAction::Log(FleetLogEvent::DepartureCommitted(server, incarnation)));
        }
        self.answer_applied(out);
    }

    fn restore(&mut self, now: Instant, ledger: Ledger, out: &mut Vec<ReplicaAction>) {
        let mut departures = Vec::new();
        for (server, incarnation) in ledger.departures() {
            if self.ledger.departed_incarnation(server) < Some(incarnation) && is_server_name(server) {
                self.directory.mark_departed(server, incarnation);
                self.publish_immediately = true;
                departures.push((server.clone(), incarnation));
            }
        }
        // The latest departure is added last.
        for (server, incarnation) in departures.into_iter().rev() {
            self.recent_departures.add(now, server, incarnation);
        }
        let evacuated_before = evacuated(&self.ledger);
        self.ledger = ledger;
        self.apply_evacuations(&evacuated_before, out);
        self.update_services(now, out);
        self.answer_applied(out);
    }

    fn answer_applied(&mut self, out: &mut Vec<ReplicaAction>) {
        let answers = self.requests.answer_from_ledger(&self.ledger);
        for (id, answer) in answers {
            self.answer(id, answer, out);
        }
    }
}
