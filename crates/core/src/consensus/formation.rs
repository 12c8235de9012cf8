//! Formation of a new group, and messages of replicas that are not admitted yet.
//!
//! A group is formed by a proposal that every replica agrees to while its data folder is empty. A replica agrees only
//! to increasing ballots and never once its folder contains data, and it joins the group of the last proposal that it
//! agreed to. Therefore no second group can be formed while a majority of the folders of the first one exists,
//! regardless of delayed messages.

use {
    super::{Consensus, ConsensusAction, Entry, GroupProposal, Member, MessageBody, Payload, Role, WriteEffect},
    crate::{
        collections::FastMap,
        ids::{Incarnation, InstanceId},
    },
    std::time::Instant,
};

/// Heartbeat intervals between hellos.
const HELLO_INTERVAL_HEARTBEATS: u32 = 2;

/// State of the formation protocol.
#[derive(Clone, Debug)]
pub(super) struct Formation {
    pub hellos: FastMap<InstanceId, ReceivedHello>,
    pub next_hello: Instant,
}

/// The last hello of a replica.
#[derive(Clone, Debug, Hash)]
pub(super) struct ReceivedHello {
    incarnation: Incarnation,
    group_proposal: Option<GroupProposal>,
    empty: bool,
}

impl Formation {
    pub fn new(now: Instant) -> Self {
        Self { hellos: FastMap::default(), next_hello: now }
    }
}

impl Consensus {
    fn is_empty(&self) -> bool {
        self.log.last_index() == 0 && !self.hard_state.admitted
    }

    /// Whether this replica may take part in forming a group.
    fn may_form(&self) -> bool {
        let is_founder = self.options.replicas.contains(&self.options.replica);
        self.is_empty() && is_founder && (self.options.may_form_group || self.hard_state.group_proposal.is_some())
    }

    fn is_proposer(&self) -> bool {
        self.options.replicas.first() == Some(&self.options.replica)
    }

    pub(super) fn tick_formation(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if now >= self.formation.next_hello {
            self.formation.next_hello = now + self.options.heartbeat_interval * HELLO_INTERVAL_HEARTBEATS;
            for to in self.hello_targets(now) {
                self.send_hello(to, actions);
            }
            self.send_form_requests(actions);
        }
        self.try_formation(now, actions);
    }

    pub(super) fn send_hello(&mut self, to: InstanceId, actions: &mut Vec<ConsensusAction>) {
        let body =
            MessageBody::Hello { group_proposal: self.hard_state.group_proposal.clone(), empty: self.may_form() };
        self.send_when_durable(to, body, actions);
    }

    /// Handles a hello.
    pub(super) fn hello_received(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        group_proposal: Option<GroupProposal>,
        empty: bool,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if self.formation.hellos.get(&from).is_some_and(|hello| hello.incarnation > incarnation) {
            return;
        }
        if self.hard_state.admitted {
            if let Some(group_proposal) =
                group_proposal.as_ref().filter(|proposal| Some(*proposal) == self.hard_state.group_proposal.as_ref())
            {
                self.send_when_durable(from.clone(), MessageBody::Formed(group_proposal.clone()), actions);
            }
            if !self.options.is_dynamic && self.observe(&from, (incarnation, false), 0).is_some() {
                self.send_entries(&from, true, actions);
            }
        }
        if self.options.is_dynamic {
            self.answer_dynamic_hello(now, &from, incarnation, actions);
        }
        if self.options.replicas.contains(&from) {
            self.formation.hellos.insert(from, ReceivedHello { incarnation, group_proposal, empty });
        }
        self.try_formation(now, actions);
    }

    /// If this replica is the first one in the settings: proposes a group once all other replicas have reported an
    /// empty folder, and forms it once all replicas have agreed to the same proposal.
    pub(super) fn try_formation(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if !self.is_proposer() || !self.may_form() || !self.writes.is_idle() {
            return;
        }
        let mut members = vec![Member { replica: self.options.replica.clone(), incarnation: self.incarnation }];
        let own_ballot = self.hard_state.group_proposal.as_ref().map_or(0, |proposal| proposal.ballot);
        let mut ballot = own_ballot;
        let (mut is_agreed, mut is_refused) = (true, false);
        for other in self.founders() {
            let Some(hello) = self.formation.hellos.get(&other).filter(|hello| hello.empty) else { return };
            members.push(Member { replica: other, incarnation: hello.incarnation });
            let other_ballot = hello.group_proposal.as_ref().map_or(0, |proposal| proposal.ballot);
            ballot = ballot.max(other_ballot);
            is_agreed &= hello.group_proposal == self.hard_state.group_proposal;
            // A delayed message from a lost folder of this replica may have used the same ballot.
            is_refused |= hello.group_proposal != self.hard_state.group_proposal && other_ballot >= own_ballot;
        }
        match self.hard_state.group_proposal.clone() {
            Some(group_proposal) if group_proposal.members == members && !is_refused => {
                if is_agreed {
                    self.form(now, &group_proposal, actions);
                }
            }
            // A new proposal requires permission to form a group.
            _ if !self.options.may_form_group => {}
            _ => {
                self.hard_state.group_proposal = Some(GroupProposal { ballot: ballot + 1, members });
                self.save_hard_state(WriteEffect::HardState, actions);
                self.send_form_requests(actions);
            }
        }
    }

    fn send_form_requests(&mut self, actions: &mut Vec<ConsensusAction>) {
        if !self.is_proposer() || !self.may_form() {
            return;
        }
        if let Some(group_proposal) = self.hard_state.group_proposal.clone() {
            for to in self.founders() {
                if self
                    .formation
                    .hellos
                    .get(&to)
                    .is_none_or(|hello| hello.group_proposal.as_ref() != Some(&group_proposal))
                {
                    self.send_when_durable(to, MessageBody::Form(group_proposal.clone()), actions);
                }
            }
        }
    }

    pub(super) fn form_request_received(
        &mut self,
        from: &InstanceId,
        group_proposal: &GroupProposal,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if !self.may_form() || self.options.replicas.first() != Some(from) {
            return;
        }
        let is_named = group_proposal.members.iter().map(|member| &member.replica).eq(&self.options.replicas);
        let own = Member { replica: self.options.replica.clone(), incarnation: self.incarnation };
        let is_newer =
            self.hard_state.group_proposal.as_ref().is_none_or(|agreed| group_proposal.ballot > agreed.ballot);
        if is_named && group_proposal.members.contains(&own) && is_newer && self.options.may_form_group {
            self.hard_state.group_proposal = Some(group_proposal.clone());
            self.save_hard_state(WriteEffect::HardState, actions);
        }
        self.send_hello(from.clone(), actions);
    }

    pub(super) fn formed_received(
        &mut self,
        now: Instant,
        group_proposal: &GroupProposal,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if self.is_empty() && self.hard_state.group_proposal.as_ref() == Some(group_proposal) {
            self.form(now, group_proposal, actions);
        }
    }

    fn form(&mut self, now: Instant, group_proposal: &GroupProposal, actions: &mut Vec<ConsensusAction>) {
        self.hard_state.admitted = true;
        self.save_hard_state(WriteEffect::Admitted, actions);
        self.append_initial_members(group_proposal, actions);
        self.reset_election_timeout(now);
        if self.is_proposer() {
            // The proposer stands for election before the other replicas time out.
            self.election_at = now + self.options.heartbeat_interval;
            for to in self.founders() {
                self.send_when_durable(to, MessageBody::Formed(group_proposal.clone()), actions);
            }
        }
    }

    /// Writes the initial entries that are missing after a crash between writing the hard state and the entries.
    pub(super) fn complete_formation(&mut self, actions: &mut Vec<ConsensusAction>) {
        if let Some(group_proposal) = self.hard_state.group_proposal.clone().filter(|_| self.hard_state.admitted) {
            self.append_initial_members(&group_proposal, actions);
        }
    }

    /// Appends the initial entries of the group, which admit each replica. They have term 0 and are committed from
    /// the start.
    fn append_initial_members(&mut self, group_proposal: &GroupProposal, actions: &mut Vec<ConsensusAction>) {
        let mut entries = Vec::new();
        for (index, member) in (1..).zip(&group_proposal.members) {
            if index > self.log.last_index() {
                let entry = Entry { index, term: 0, payload: Payload::Admit(member.clone()) };
                self.log.append(entry.clone());
                entries.push(entry);
            }
        }
        let index = group_proposal.members.len() as u64;
        if !entries.is_empty() {
            let sequence = self.writes.issue(WriteEffect::Log(index));
            actions.push(ConsensusAction::Append { sequence, entries });
        }
        self.commit = self.commit.max(index);
        self.apply(actions);
        debug_assert!(!matches!(self.role, Role::Leader(_)));
    }
}
