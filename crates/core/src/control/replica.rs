//! The local replica of the log, and the ledger that its commands are applied to.

use {
    super::Request,
    crate::{
        collections::FastMap,
        consensus::{
            Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Message, ProposalResult, Recovered, Write,
        },
        ids::{InstanceId, LogIndex, Term},
        ledger::{Command, Ledger, LedgerOutcome, UNREADABLE_COMMAND},
    },
    rand::rngs::SmallRng,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Actions that the replica returns to the control plane.
#[derive(Clone, Debug)]
pub(super) enum ReplicaAction {
    Send {
        to: InstanceId,
        message: Message,
    },
    Write {
        sequence: u64,
        write: Write,
    },
    Proposed {
        id: u64,
        result: ProposalResult,
        outcome: Option<LedgerOutcome>,
    },
    BecameLeader(Term),
    BecameFollower(Term),
    /// The ledger contains a newer change.
    Changed,
    Stopped,
    InvariantViolated(&'static str),
}

/// The local replica of the log, and the ledger that its commands are applied to.
pub(super) struct Replica {
    id: InstanceId,
    consensus: Consensus,
    /// Actions of the startup, executed with the first event.
    startup_actions: Vec<ConsensusAction>,
    pub(super) ledger: Ledger,
    outcomes: FastMap<LogIndex, LedgerOutcome>,
    next_proposal: u64,
    pub(super) term: Term,
    pub(super) leader: Option<InstanceId>,
    pub(super) is_leading: bool,
    /// Ledger time and local time when this replica became the leader. Time continues from there, so that a wall
    /// clock that is wrong by an hour cannot expire claims.
    clock_base: (u64, Instant),
}

impl Replica {
    /// Returns whether this replica is a voter.
    pub(super) fn is_admitted(&self) -> bool {
        self.consensus.is_admitted()
    }

    pub(super) fn new(options: ConsensusOptions, recovered: Recovered, now: Instant, rng: SmallRng) -> Self {
        let id = options.replica.clone();
        let mut startup_actions = Vec::new();
        Self {
            id,
            consensus: Consensus::new(now, options, recovered, rng, &mut startup_actions),
            startup_actions,
            ledger: Ledger::default(),
            outcomes: FastMap::default(),
            next_proposal: 0,
            term: 0,
            leader: None,
            is_leading: false,
            clock_base: (0, now),
        }
    }

    pub(super) fn handle(&mut self, now: Instant, event: ConsensusEvent, out: &mut Vec<ReplicaAction>) {
        let mut events = VecDeque::new();
        for action in std::mem::take(&mut self.startup_actions) {
            self.execute(now, action, &mut events, out);
        }
        events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.consensus.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action, &mut events, out);
            }
        }
        self.outcomes.clear();
    }

    /// Returns an identifier for a proposal, which its result repeats.
    pub(super) fn next_proposal(&mut self) -> u64 {
        self.next_proposal += 1;
        self.next_proposal
    }

    /// Proposes the command for a request.
    pub(super) fn propose(
        &mut self,
        now: Instant,
        id: u64,
        request: Request,
        retention: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        let at = self.clock(now);
        let command = match request {
            Request::Current => Command::Noop { at },
            Request::Submit { number, text } => Command::Submit { number, text },
            Request::Claim { key, holder, request_digest } => {
                Command::Claim { key, holder, request_digest, retention_ms: retention.as_millis() as u64, at }
            }
            Request::Settle { key, holder, outcome } => Command::Settle { key, holder, outcome, at },
            Request::Release { key, holder } => Command::Release { key, holder, at },
        };
        match command.encode() {
            Ok(bytes) => self.handle(now, ConsensusEvent::Propose { id, command: bytes.into() }, out),
            Err(_) => out.push(ReplicaAction::Proposed { id, result: ProposalResult::TooLarge, outcome: None }),
        }
    }

    fn clock(&self, now: Instant) -> u64 {
        let (clock, since) = self.clock_base;
        self.ledger.clock().max(clock + now.saturating_duration_since(since).as_millis() as u64)
    }

    fn execute(
        &mut self,
        now: Instant,
        action: ConsensusAction,
        events: &mut VecDeque<ConsensusEvent>,
        out: &mut Vec<ReplicaAction>,
    ) {
        match action {
            ConsensusAction::Send { to, message } => out.push(ReplicaAction::Send { to, message }),
            ConsensusAction::SaveHardState { sequence, hard_state } => {
                write(sequence, Write::HardState(hard_state), out)
            }
            ConsensusAction::Append { sequence, entries } => write(sequence, Write::Append(entries), out),
            ConsensusAction::Truncate { sequence, from } => write(sequence, Write::Truncate(from), out),
            ConsensusAction::SaveSnapshot { sequence, snapshot } => write(sequence, Write::Snapshot(snapshot), out),
            ConsensusAction::TakeSnapshot { index } => match self.ledger.snapshot() {
                Ok(data) => events.push_back(ConsensusEvent::SnapshotTaken { index, data: data.into() }),
                Err(_) => out.push(ReplicaAction::InvariantViolated("cannot encode the ledger snapshot")),
            },
            ConsensusAction::RestoreSnapshot { snapshot } => match Ledger::restore(&snapshot.data) {
                Ok(ledger) => {
                    self.ledger = ledger;
                    out.push(ReplicaAction::Changed);
                }
                Err(_) => out.push(ReplicaAction::InvariantViolated("cannot decode the ledger snapshot")),
            },
            ConsensusAction::Apply { index, command } => {
                let number = self.ledger.change_number();
                let outcome = self.ledger.apply_bytes(index, &command);
                if outcome == LedgerOutcome::Malformed {
                    return out.push(ReplicaAction::InvariantViolated(UNREADABLE_COMMAND));
                }
                self.outcomes.insert(index, outcome);
                if self.ledger.change_number() != number {
                    out.push(ReplicaAction::Changed);
                }
            }
            ConsensusAction::Answer { id, result } => {
                let outcome = match &result {
                    ProposalResult::Committed { index } => self.outcomes.get(index).cloned(),
                    _ => None,
                };
                out.push(ReplicaAction::Proposed { id, result, outcome });
            }
            ConsensusAction::BecomeLeader { term } => {
                (self.term, self.leader, self.is_leading) = (term, Some(self.id.clone()), true);
                self.clock_base = (self.ledger.clock(), now);
                out.push(ReplicaAction::BecameLeader(term));
            }
            ConsensusAction::BecomeFollower { term, leader } => {
                (self.term, self.leader, self.is_leading) = (term, leader, false);
                out.push(ReplicaAction::BecameFollower(term));
            }
            ConsensusAction::Stopped => out.push(ReplicaAction::Stopped),
            ConsensusAction::InvariantViolated(reason) => out.push(ReplicaAction::InvariantViolated(reason)),
        }
    }
}

fn write(sequence: u64, write: Write, out: &mut Vec<ReplicaAction>) {
    out.push(ReplicaAction::Write { sequence, write });
}
