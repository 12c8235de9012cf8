//! Finding the group: replicas that this one has heard of, and hellos of replicas that look for the leader.

use {
    super::{Consensus, ConsensusAction, MessageBody, Progress, Role},
    crate::{
        collections::FastSet,
        ids::{Incarnation, InstanceId, Term},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Names that are kept beside the founders and the voters; the one heard least recently goes first.
const NAMES: usize = 64;
/// Replicas that get a hello at a time, so that a list of many dead ones costs little.
const HELLOS: usize = 16;
/// Learners that a leader sends its log to.
const LEARNERS: usize = 16;
/// Time after which a silent learner gives its place to another one.
const LEARNER_SILENT: Duration = Duration::from_secs(1);
/// Heartbeats between two lists of the replicas to those that may have missed one.
const REPLICAS_HEARTBEATS: u64 = 20;

/// Replicas that this one has heard of.
#[derive(Clone, Debug, Default)]
pub(super) struct Contacts {
    /// Voters and learners, as the leader told last.
    pub replicas: Vec<InstanceId>,
    /// Everyone heard from or told of, the most recent one last.
    pub names: VecDeque<InstanceId>,
    /// Leaders that were named since the last hellos and got one at once.
    pub asked: FastSet<InstanceId>,
    /// Where the next hellos begin.
    pub next: usize,
}

impl Contacts {
    /// A message of a replica has arrived.
    pub fn heard(&mut self, name: &InstanceId) {
        if self.names.back() != Some(name) {
            self.names.retain(|held| held != name);
            self.keep(name);
        }
    }

    /// Another replica has named this one.
    fn told(&mut self, name: &InstanceId) {
        if !self.names.contains(name) {
            self.keep(name);
        }
    }

    fn keep(&mut self, name: &InstanceId) {
        if self.names.len() >= NAMES {
            self.names.pop_front();
        }
        self.names.push_back(name.clone());
    }
}

impl Consensus {
    /// Replicas that get a hello now: in a dynamic group, while no leader is heard, the founders, the voters and
    /// everyone heard of, some at a time.
    pub(super) fn hello_receivers(&mut self, now: Instant) -> Vec<InstanceId> {
        if !self.options.is_dynamic {
            return self.founders();
        }
        self.contacts.asked.clear();
        if self.has_leader(now) {
            return Vec::new();
        }
        let mut names = self.founders();
        for name in self.others().iter().chain(self.contacts.names.iter().rev()) {
            if !names.contains(name) && *name != self.options.replica {
                names.push(name.clone());
            }
        }
        if names.len() > HELLOS {
            let start = self.contacts.next % names.len();
            names.rotate_left(start);
            names.truncate(HELLOS);
            self.contacts.next = start + HELLOS;
        }
        names
    }

    /// Takes a hello in a dynamic group: a leader sends its log, another replica tells who leads.
    pub(super) fn greet(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if self.is_leader() {
            if self.has_place(now, from) && self.observe(from, (incarnation, false), 0).is_some() {
                self.send_entries(from, true, actions);
            }
        } else if self.log.last_index() > 0 || self.has_leader(now) {
            let leader = self.leader.clone().filter(|_| self.has_leader(now));
            let body = MessageBody::Replicas { leader, replicas: self.replicas() };
            self.send(from.clone(), body, actions);
        }
    }

    /// Whether the leader sends its log to a replica; a new one gets a place if there is one.
    fn has_place(&mut self, now: Instant, from: &InstanceId) -> bool {
        let next = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return false };
        if leader.progress.contains_key(from) {
            return true;
        }
        let learners = leader.progress.iter().filter(|(name, _)| self.log.members.incarnation(name).is_none());
        if learners.clone().count() >= LEARNERS {
            let stalest = learners.min_by_key(|(name, progress)| (progress.heard_at, *name));
            let Some(silent) = stalest.filter(|(_, progress)| now >= progress.heard_at + LEARNER_SILENT) else {
                return false;
            };
            let silent = silent.0.clone();
            leader.progress.remove(&silent);
        }
        leader.progress.insert(from.clone(), Progress::new(now, 0, next));
        true
    }

    /// Takes what another replica says about the group.
    pub(super) fn replicas_told(
        &mut self,
        now: Instant,
        from: &InstanceId,
        term: Term,
        leader: Option<&InstanceId>,
        replicas: &[InstanceId],
        actions: &mut Vec<ConsensusAction>,
    ) {
        if !self.options.is_dynamic {
            return;
        }
        for name in replicas.iter().chain(leader) {
            self.contacts.told(name);
        }
        if self.is_leader() {
            return;
        }
        if self.leader.as_ref() == Some(from) && term == self.vote.term {
            self.contacts.replicas = replicas.to_vec();
        } else if let Some(leader) = leader.filter(|leader| **leader != self.options.replica && *leader != from)
            && !self.has_leader(now)
            // Two replicas that name each other must not send hellos without end.
            && self.contacts.asked.insert(leader.clone())
        {
            self.say_hello(leader.clone(), actions);
        }
    }

    /// Tells every replica of the others, when they have changed and now and then.
    pub(super) fn tell_replicas(&mut self, actions: &mut Vec<ConsensusAction>) {
        if !self.options.is_dynamic {
            return;
        }
        let replicas = self.replicas();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeats += 1;
        if leader.told == replicas && !leader.heartbeats.is_multiple_of(REPLICAS_HEARTBEATS) {
            return;
        }
        leader.told.clone_from(&replicas);
        let body = MessageBody::Replicas { leader: Some(self.options.replica.clone()), replicas };
        for to in self.receivers() {
            self.send(to, body.clone(), actions);
        }
    }
}
