//! Forming a new group, and what a replica without admission says.
//!
//! A group is formed by a proposal that every replica agrees to while its folder is empty. A replica
//! agrees to rising ballots only, never after its folder holds something, and takes part in the group of
//! the proposal that it agreed to last. So no second group can be formed while a majority of the folders
//! of the first one exists, whatever messages are delayed.

use {
    super::{Binding, Consensus, ConsensusAction, Effect, Entry, Member, MessageBody, Payload, Role},
    crate::{
        collections::FastMap,
        ids::{Incarnation, InstanceId},
    },
    std::time::Instant,
};

/// Heartbeat intervals between the messages of a replica that is not admitted.
const HELLO_HEARTBEATS: u32 = 2;

/// What is known of replicas that are not admitted.
#[derive(Clone, Debug)]
pub(super) struct Formation {
    pub heard: FastMap<InstanceId, Heard>,
    pub next_hello: Instant,
}

/// What a replica said last.
#[derive(Clone, Debug, Hash)]
pub(super) struct Heard {
    incarnation: Incarnation,
    binding: Option<Binding>,
    empty: bool,
}

impl Formation {
    pub fn new(now: Instant) -> Self {
        Self { heard: FastMap::default(), next_hello: now }
    }
}

impl Consensus {
    fn is_empty(&self) -> bool {
        self.log.last_index() == 0 && !self.vote.admitted
    }

    /// Whether the folder is one that a group may be formed with.
    fn may_form(&self) -> bool {
        let is_founder = self.options.replicas.contains(&self.options.replica);
        self.is_empty() && is_founder && (self.options.may_found || self.vote.binding.is_some())
    }

    fn is_proposer(&self) -> bool {
        self.options.replicas.first() == Some(&self.options.replica)
    }

    pub(super) fn tick_formation(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if now >= self.formation.next_hello {
            self.formation.next_hello = now + self.options.heartbeat * HELLO_HEARTBEATS;
            for to in self.hello_receivers(now) {
                self.say_hello(to, actions);
            }
            self.request_form(actions);
        }
        self.try_formation(now, actions);
    }

    pub(super) fn say_hello(&mut self, to: InstanceId, actions: &mut Vec<ConsensusAction>) {
        let body = MessageBody::Hello { binding: self.vote.binding.clone(), empty: self.may_form() };
        self.promise(to, body, actions);
    }

    /// Takes the word of a replica that is not admitted.
    pub(super) fn hello(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        binding: Option<Binding>,
        empty: bool,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if self.formation.heard.get(&from).is_some_and(|heard| heard.incarnation > incarnation) {
            return;
        }
        if self.vote.admitted {
            if let Some(binding) = binding.as_ref().filter(|held| Some(*held) == self.vote.binding.as_ref()) {
                self.promise(from.clone(), MessageBody::Formed(binding.clone()), actions);
            }
            if !self.options.is_dynamic && self.observe(&from, (incarnation, false), 0).is_some() {
                self.send_entries(&from, true, actions);
            }
        }
        if self.options.is_dynamic {
            self.greet(now, &from, incarnation, actions);
        }
        if self.options.replicas.contains(&from) {
            self.formation.heard.insert(from, Heard { incarnation, binding, empty });
        }
        self.try_formation(now, actions);
    }

    /// As the first replica of the settings: proposes a group once every other replica has said that
    /// its folder is empty, and forms it once every replica has agreed to the same proposal.
    pub(super) fn try_formation(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if !self.is_proposer() || !self.may_form() || !self.writes.is_idle() {
            return;
        }
        let mut members = vec![Member { replica: self.options.replica.clone(), incarnation: self.incarnation }];
        let own_ballot = self.vote.binding.as_ref().map_or(0, |binding| binding.ballot);
        let mut ballot = own_ballot;
        let (mut is_agreed, mut is_refused) = (true, false);
        for other in self.founders() {
            let Some(heard) = self.formation.heard.get(&other).filter(|heard| heard.empty) else { return };
            members.push(Member { replica: other, incarnation: heard.incarnation });
            let heard_ballot = heard.binding.as_ref().map_or(0, |binding| binding.ballot);
            ballot = ballot.max(heard_ballot);
            is_agreed &= heard.binding == self.vote.binding;
            // A late message of the proposer's lost folder may have taken the same ballot.
            is_refused |= heard.binding != self.vote.binding && heard_ballot >= own_ballot;
        }
        match self.vote.binding.clone() {
            Some(binding) if binding.members == members && !is_refused => {
                if is_agreed {
                    self.form(now, &binding, actions);
                }
            }
            // A new proposal is a new decision to form a group.
            _ if !self.options.may_found => {}
            _ => {
                self.vote.binding = Some(Binding { ballot: ballot + 1, members });
                self.save_vote(Effect::Vote, actions);
                self.request_form(actions);
            }
        }
    }

    fn request_form(&mut self, actions: &mut Vec<ConsensusAction>) {
        if !self.is_proposer() || !self.may_form() {
            return;
        }
        if let Some(binding) = self.vote.binding.clone() {
            for to in self.founders() {
                if self.formation.heard.get(&to).is_none_or(|heard| heard.binding.as_ref() != Some(&binding)) {
                    self.promise(to, MessageBody::Form(binding.clone()), actions);
                }
            }
        }
    }

    pub(super) fn form_requested(&mut self, from: &InstanceId, binding: &Binding, actions: &mut Vec<ConsensusAction>) {
        if !self.may_form() || self.options.replicas.first() != Some(from) {
            return;
        }
        let is_named = binding.members.iter().map(|member| &member.replica).eq(&self.options.replicas);
        let own = Member { replica: self.options.replica.clone(), incarnation: self.incarnation };
        let is_newer = self.vote.binding.as_ref().is_none_or(|held| binding.ballot > held.ballot);
        if is_named && binding.members.contains(&own) && is_newer && self.options.may_found {
            self.vote.binding = Some(binding.clone());
            self.save_vote(Effect::Vote, actions);
        }
        self.say_hello(from.clone(), actions);
    }

    pub(super) fn formed(&mut self, now: Instant, binding: &Binding, actions: &mut Vec<ConsensusAction>) {
        if self.is_empty() && self.vote.binding.as_ref() == Some(binding) {
            self.form(now, binding, actions);
        }
    }

    fn form(&mut self, now: Instant, binding: &Binding, actions: &mut Vec<ConsensusAction>) {
        self.vote.admitted = true;
        self.save_vote(Effect::Admitted, actions);
        self.append_founding(binding, actions);
        self.reset_election(now);
        if self.is_proposer() {
            // The others follow their proposer at once rather than after an election timeout.
            self.election_at = now + self.options.heartbeat;
            for to in self.founders() {
                self.promise(to, MessageBody::Formed(binding.clone()), actions);
            }
        }
    }

    /// Writes the entries that form a group after a crash between the vote and the entries.
    pub(super) fn repair_formation(&mut self, actions: &mut Vec<ConsensusAction>) {
        if let Some(binding) = self.vote.binding.clone().filter(|_| self.vote.admitted) {
            self.append_founding(&binding, actions);
        }
    }

    /// Appends the entries that form a group: the admission of each replica, in term 0 and committed
    /// from the start.
    fn append_founding(&mut self, binding: &Binding, actions: &mut Vec<ConsensusAction>) {
        let mut entries = Vec::new();
        for (index, member) in (1..).zip(&binding.members) {
            if index > self.log.last_index() {
                let entry = Entry { index, term: 0, payload: Payload::Admit(member.clone()) };
                self.log.append(entry.clone());
                entries.push(entry);
            }
        }
        let index = binding.members.len() as u64;
        if !entries.is_empty() {
            let sequence = self.writes.issue(Effect::Log(index));
            actions.push(ConsensusAction::Append { sequence, entries });
        }
        self.commit = self.commit.max(index);
        self.apply(actions);
        debug_assert!(!matches!(self.role, Role::Leader(_)));
    }
}
