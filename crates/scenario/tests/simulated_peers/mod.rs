//! One replica of a dynamic group whose peers are simulated by the test.

use {
    hemlockford_core::consensus::{
        Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Entry, GroupProposal, HardState, Member, Members,
        Message, MessageBody, Payload, ProposalResult, Recovered, Snapshot,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub const MS: Duration = Duration::from_millis(1);
/// Last index of the snapshot that replicas start from.
pub const BASE: u64 = 8;

pub fn member(name: &str) -> Member {
    Member { replica: name.into(), incarnation: 10 }
}

/// Replica "a" with its clock and the actions that it returned.
pub struct Replica {
    pub consensus: Consensus,
    pub now: Instant,
    pub actions: Vec<ConsensusAction>,
}

impl Replica {
    /// Starts from a snapshot of term 1 with the given voters, followed by entries. The founders are a, b and c.
    pub fn start(voters: &[&str], entries: &[Payload]) -> Self {
        let mut members = Members::default();
        voters.iter().for_each(|name| members.admit(member(name)));
        let entry = |(index, payload): (u64, &Payload)| Entry { index, term: 1, payload: payload.clone() };
        Self::recover(Recovered {
            incarnation: 10,
            hard_state: HardState { term: 1, admitted: true, ..HardState::default() },
            snapshot: Some(Arc::new(Snapshot { index: BASE, term: 1, members, data: [].into() })),
            entries: (BASE + 1..).zip(entries).map(entry).collect(),
        })
    }

    pub fn recover(recovered: Recovered) -> Self {
        Self::with(recovered, true)
    }

    pub fn with(recovered: Recovered, may_form_group: bool) -> Self {
        let options = ConsensusOptions {
            replica: "a".into(),
            replicas: ["a", "b", "c"].map(Box::from).to_vec(),
            is_dynamic: true,
            may_form_group,
            ..ConsensusOptions::default()
        };
        let (now, mut actions) = (Instant::now(), Vec::new());
        let consensus = Consensus::new(now, options, recovered, SmallRng::seed_from_u64(1), &mut actions);
        Self { consensus, now, actions }
    }

    pub fn handle(&mut self, event: ConsensusEvent) {
        self.consensus.handle(self.now, event, &mut self.actions);
    }

    pub fn tick(&mut self, time: Duration) {
        self.now += time;
        self.handle(ConsensusEvent::Tick);
        self.persist();
    }

    pub fn persist(&mut self) {
        self.handle(ConsensusEvent::Persisted { up_to: u64::MAX });
    }

    pub fn receive(&mut self, from: &str, incarnation: u64, term: u64, body: MessageBody) {
        let message = Message { term, incarnation, admitted: true, body };
        self.handle(ConsensusEvent::Receive { from: from.into(), message });
        self.persist();
    }

    pub fn pre_vote(&mut self, from: &str, incarnation: u64) {
        self.receive(from, incarnation, 2, MessageBody::PreVote { granted: true });
    }

    pub fn vote(&mut self, from: &str, incarnation: u64) {
        self.receive(from, incarnation, 2, MessageBody::Vote { candidate: 10, granted: true });
    }

    pub fn acknowledge(&mut self, from: &str, incarnation: u64, round: u64, index: u64) {
        self.receive(from, incarnation, 2, MessageBody::Appended { round, index, conflict: false });
    }

    /// Makes the replica leader in term 2 with the votes of the given replicas.
    pub fn become_leader(&mut self, voters: &[&str]) {
        self.tick(ConsensusOptions::default().max_election_timeout);
        voters.iter().for_each(|voter| self.pre_vote(voter, 10));
        voters.iter().for_each(|voter| self.vote(voter, 10));
        assert!(self.consensus.is_leader());
    }

    /// Returns the names of the voters as of the last entry.
    pub fn voters(&self) -> Vec<&str> {
        self.consensus.voters().map(|name| &**name).collect()
    }

    /// Returns the round of the last heartbeat.
    pub fn round(&self) -> u64 {
        let round = |action: &ConsensusAction| match action {
            ConsensusAction::Send { message, .. } => match message.body {
                MessageBody::Append { round, .. } => Some(round),
                _ => None,
            },
            _ => None,
        };
        self.actions.iter().filter_map(round).max().unwrap()
    }

    pub fn answer(&self, wanted: u64) -> Option<&ProposalResult> {
        self.actions.iter().find_map(|action| match action {
            ConsensusAction::Answer { id, result } if *id == wanted => Some(result),
            _ => None,
        })
    }

    /// Returns the last accepted group proposal.
    pub fn saved_proposal(&self) -> Option<GroupProposal> {
        self.actions.iter().rev().find_map(|action| match action {
            ConsensusAction::SaveHardState { hard_state, .. } => hard_state.group_proposal.clone(),
            _ => None,
        })
    }
}
