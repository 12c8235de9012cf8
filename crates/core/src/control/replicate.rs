//! Forwarding of requests, and the replicated log.

use {
    super::{
        Control, ControlAction, ControlLogEvent, PeerMessage, Reply, Request, RequestId,
        incoming_requests::{InstallState, Origin},
        outgoing_requests::RequestResults,
        replica::ReplicaAction,
    },
    crate::{
        config::ClaimsConfig,
        consensus::{ConsensusEvent, ProposalResult},
        freshness::{install_quorum, is_held_by_quorum},
        ids::{ChangeNumber, InstanceId},
        ledger::{LedgerOutcome, SubmitOutcome},
        membership::{ConsensusHint, MembershipEvent},
    },
    std::time::{Duration, Instant},
};

/// Time between no-op commands, which advance the ledger time while claims are held so that they expire.
const NOOP_INTERVAL: Duration = Duration::from_secs(30);

impl Control {
    pub(super) fn replica_event(
        &mut self,
        now: Instant,
        event: ConsensusEvent,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let mut out = Vec::new();
        replica.handle(now, event, &mut out);
        self.execute_replica_actions(now, out, results, actions);
    }

    /// Handles a request from another instance, or from this one if it is the leader.
    pub(super) fn handle_request(
        &mut self,
        now: Instant,
        peer: InstanceId,
        id: RequestId,
        request: Request,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.incoming_requests.is_new(&peer, id) {
            return;
        }
        let origin = Origin { peer, id };
        let claims = self
            .configuration
            .as_ref()
            .map_or_else(ClaimsConfig::default, |(_, configuration)| configuration.claims.clone());
        match &mut self.replica {
            Some(replica) if replica.is_leading => {
                let mut out = Vec::new();
                let proposal = replica.next_proposal();
                let number = match request {
                    Request::Submit { number, .. } => Some(number),
                    _ => None,
                };
                self.incoming_requests.record_proposal(proposal, origin, number);
                replica.propose(now, proposal, request, claims.retention, &mut out);
                self.execute_replica_actions(now, out, results, actions);
            }
            _ => {
                let leader = self.leader_hint(now).leader;
                self.reply(now, origin, Reply::NotLeader { leader }, results, actions);
            }
        }
    }

    /// Sends the requests that are due, with keys of at least `first`, to the leader.
    pub(super) fn send_due(
        &mut self,
        now: Instant,
        first: u64,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        // Requests are not sent to an instance that is not live, because it would remain unknown whether it accepted
        // them.
        let leader = self.leader_hint(now).leader;
        let is_reachable = |leader: &InstanceId| *leader == self.options.id || self.membership.is_live(now, leader);
        let Some(leader) = leader.filter(is_reachable) else { return };
        for (id, request) in self.outgoing_requests.take_due(now, &leader, first) {
            if leader == self.options.id {
                self.handle_request(now, leader.clone(), id, request, results, actions);
            } else {
                let message = PeerMessage::Request { id, request };
                actions.push(ControlAction::SendStream { to: leader.clone(), message });
            }
        }
    }

    /// Returns the presumed leader.
    pub(super) fn leader_hint(&self, now: Instant) -> ConsensusHint {
        if let Some(replica) = &self.replica {
            return ConsensusHint { term: replica.term, leader: replica.leader.clone() };
        }
        let live = self.membership.reports().filter(|report| self.membership.is_live(now, report.peer));
        let hints = live.map(|report| &report.status.hint).filter(|hint| hint.leader.is_some());
        hints.max_by(|a, b| (a.term, &a.leader).cmp(&(b.term, &b.leader))).cloned().unwrap_or_default()
    }

    /// Proposes a command that only advances the ledger time, so that claims expire without other proposals.
    pub(super) fn propose_time(
        &mut self,
        now: Instant,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some(replica) = &mut self.replica else { return };
        let is_due = now.saturating_duration_since(self.last_noop_at) >= NOOP_INTERVAL;
        if !is_due || !replica.is_leading || replica.ledger.claim_count() == 0 {
            return;
        }
        self.last_noop_at = now;
        let mut out = Vec::new();
        let proposal = replica.next_proposal();
        replica.propose(now, proposal, Request::Current, Duration::ZERO, &mut out);
        self.execute_replica_actions(now, out, results, actions);
    }

    /// Answers the submissions whose changes have reached the install quorum.
    pub(super) fn answer_installed_submissions(
        &mut self,
        now: Instant,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.incoming_requests.has_pending_submissions() {
            return;
        }
        let (membership, freshness) = (&self.membership, &self.freshness);
        let roster = self.options.peers.len() + 1;
        let install_state = |number: ChangeNumber| {
            let own = freshness.installed_since(number);
            let installed = |peer: &InstanceId| membership.status(peer).is_some_and(|s| s.installed >= number);
            let peers = self.options.peers.iter();
            let confirmed = peers.clone().filter(|peer| installed(peer)).count() + usize::from(own.is_some());
            InstallState {
                is_confirmed: confirmed >= install_quorum(roster),
                is_held_by_quorum: is_held_by_quorum(number, roster, own, membership.reports()),
                is_everywhere: own.is_some() && peers.filter(|p| membership.is_live(now, p)).all(installed),
            }
        };
        let (replies, needs_heartbeats) = self.incoming_requests.update(now, install_state);
        for (origin, reply) in replies {
            self.reply(now, origin, reply, results, actions);
        }
        if needs_heartbeats {
            self.membership_event(now, MembershipEvent::RequestHeartbeats, actions);
        }
    }

    fn execute_replica_actions(
        &mut self,
        now: Instant,
        out: Vec<ReplicaAction>,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        for action in out {
            match action {
                ReplicaAction::Send { to, message } => {
                    actions.push(ControlAction::SendStream { to, message: PeerMessage::Consensus(message) });
                }
                ReplicaAction::Write { sequence, write } => actions.push(ControlAction::Write { sequence, write }),
                ReplicaAction::Proposed { id, result, outcome } => {
                    self.proposal_finished(now, id, result, outcome, results, actions);
                }
                ReplicaAction::BecameLeader(term) => {
                    actions.push(ControlAction::Log(ControlLogEvent::BecameLeader(term)))
                }
                ReplicaAction::BecameFollower(term) => {
                    actions.push(ControlAction::Log(ControlLogEvent::BecameFollower(term)));
                    for (origin, reply) in self.incoming_requests.step_down() {
                        self.reply(now, origin, reply, results, actions);
                    }
                }
                ReplicaAction::Changed => self.handle_committed_change(now, actions),
                ReplicaAction::Stopped => actions.push(ControlAction::Stopped),
                ReplicaAction::InvariantViolated(reason) => actions.push(ControlAction::InvariantViolated(reason)),
            }
        }
    }

    fn proposal_finished(
        &mut self,
        now: Instant,
        id: u64,
        result: ProposalResult,
        outcome: Option<LedgerOutcome>,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        let Some((origin, number)) = self.incoming_requests.take_origin(id) else { return };
        if let Some(LedgerOutcome::Submit(SubmitOutcome::Accepted { digest })) = &outcome {
            let until = now + self.options.submit_timeout;
            self.incoming_requests.await_install_quorum(origin, number.unwrap_or_default(), *digest, until);
            return;
        }
        let reply = match (result, outcome) {
            (ProposalResult::Committed { .. }, Some(outcome)) => Reply::Outcome(outcome),
            (ProposalResult::Committed { .. } | ProposalResult::Unknown, _) => Reply::Unknown,
            (ProposalResult::NotLeader { leader }, _) => Reply::NotLeader { leader },
            (ProposalResult::TooLarge | ProposalResult::Busy, _) => Reply::Refused,
        };
        self.reply(now, origin, reply, results, actions);
    }

    fn reply(
        &mut self,
        now: Instant,
        origin: Origin,
        reply: Reply,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        if origin.peer == self.options.id {
            self.outgoing_requests.reply(now, origin.id, reply, results);
        } else {
            let message = PeerMessage::Reply { id: origin.id, reply };
            actions.push(ControlAction::SendStream { to: origin.peer, message });
        }
    }
}
