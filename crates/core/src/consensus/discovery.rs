//! Peer discovery: known replicas, and hellos from replicas that look for the leader.

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

/// Number of known replicas that are kept beside the founders and the voters; the one least recently heard from is
/// evicted first.
const MAX_KNOWN_REPLICAS: usize = 64;
/// Number of replicas that are sent a hello at a time, which bounds the cost of a long list of dead replicas.
const MAX_HELLO_TARGETS: usize = 16;
/// Number of learners that a leader replicates to.
const MAX_LEARNERS: usize = 16;
/// Time without contact after which a learner may be replaced by another one.
const LEARNER_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Heartbeats after which the replica list is sent again, for replicas that missed the last one.
const REPLICA_LIST_HEARTBEATS: u64 = 20;

/// Replicas that this one has learned of.
#[derive(Clone, Debug, Default)]
pub(super) struct Discovery {
    /// Voters and learners in the last list that the leader sent.
    pub replicas: Vec<InstanceId>,
    /// Replicas that sent a message or were named in one, the most recent one last.
    pub known: VecDeque<InstanceId>,
    /// Replicas that were named as the leader and were sent an extra hello since the last regular hellos.
    pub asked: FastSet<InstanceId>,
    /// Position in the candidate list at which the next hellos start.
    pub next_target: usize,
}

impl Discovery {
    /// Records the sender of a message.
    pub fn record_sender(&mut self, replica: &InstanceId) {
        if self.known.back() != Some(replica) {
            self.known.retain(|known| known != replica);
            self.insert(replica);
        }
    }

    /// Records a replica that another one has named.
    fn record_mention(&mut self, replica: &InstanceId) {
        if !self.known.contains(replica) {
            self.insert(replica);
        }
    }

    fn insert(&mut self, replica: &InstanceId) {
        if self.known.len() >= MAX_KNOWN_REPLICAS {
            self.known.pop_front();
        }
        self.known.push_back(replica.clone());
    }
}

impl Consensus {
    /// Replicas to send a hello to now. A dynamic group without contact to a leader takes turns among the founders, the
    /// voters and all known replicas, [`MAX_HELLO_TARGETS`] at a time.
    pub(super) fn hello_targets(&mut self, now: Instant) -> Vec<InstanceId> {
        if !self.options.is_dynamic {
            return self.founders();
        }
        self.discovery.asked.clear();
        if self.has_leader(now) {
            return Vec::new();
        }
        let mut names = self.founders();
        for name in self.other_voters().iter().chain(self.discovery.known.iter().rev()) {
            if !names.contains(name) && *name != self.options.replica {
                names.push(name.clone());
            }
        }
        if names.len() > MAX_HELLO_TARGETS {
            let start = self.discovery.next_target % names.len();
            names.rotate_left(start);
            names.truncate(MAX_HELLO_TARGETS);
            self.discovery.next_target = start + MAX_HELLO_TARGETS;
        }
        names
    }

    /// Handles a hello in a dynamic group: a leader replicates its log to the sender, another replica names the leader.
    pub(super) fn answer_dynamic_hello(
        &mut self,
        now: Instant,
        from: &InstanceId,
        incarnation: Incarnation,
        actions: &mut Vec<ConsensusAction>,
    ) {
        if self.is_leader() {
            if self.reserve_learner_slot(now, from) && self.observe(from, (incarnation, false), 0).is_some() {
                self.send_entries(from, true, actions);
            }
        } else if self.log.last_index() > 0 || self.has_leader(now) {
            let leader = self.leader.clone().filter(|_| self.has_leader(now));
            let body = MessageBody::Replicas { leader, replicas: self.replicas() };
            self.send(from.clone(), body, actions);
        }
    }

    /// Whether the leader replicates to a replica. A new learner is added if there is a free slot or a silent
    /// learner can be replaced.
    fn reserve_learner_slot(&mut self, now: Instant, from: &InstanceId) -> bool {
        let next = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return false };
        if leader.progress.contains_key(from) {
            return true;
        }
        let learners = leader.progress.iter().filter(|(name, _)| self.log.members.incarnation(name).is_none());
        if learners.clone().count() >= MAX_LEARNERS {
            let least_recent = learners.min_by_key(|(name, progress)| (progress.last_heard_at, *name));
            let Some(silent) =
                least_recent.filter(|(_, progress)| now >= progress.last_heard_at + LEARNER_SILENCE_TIMEOUT)
            else {
                return false;
            };
            let silent = silent.0.clone();
            leader.progress.remove(&silent);
        }
        leader.progress.insert(from.clone(), Progress::new(now, 0, next));
        true
    }

    /// Handles a replica list from another replica.
    pub(super) fn replicas_received(
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
            self.discovery.record_mention(name);
        }
        if self.is_leader() {
            return;
        }
        if self.leader.as_ref() == Some(from) && term == self.hard_state.term {
            self.discovery.replicas = replicas.to_vec();
        } else if let Some(leader) = leader.filter(|leader| **leader != self.options.replica && *leader != from)
            && !self.has_leader(now)
            // Prevents an endless exchange of hellos between two replicas that name each other as the leader.
            && self.discovery.asked.insert(leader.clone())
        {
            self.send_hello(leader.clone(), actions);
        }
    }

    /// Sends the replica list to all replicas when it has changed, and periodically.
    pub(super) fn send_replica_list(&mut self, actions: &mut Vec<ConsensusAction>) {
        if !self.options.is_dynamic {
            return;
        }
        let replicas = self.replicas();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_count += 1;
        if leader.sent_replica_list == replicas && !leader.heartbeat_count.is_multiple_of(REPLICA_LIST_HEARTBEATS) {
            return;
        }
        leader.sent_replica_list.clone_from(&replicas);
        let body = MessageBody::Replicas { leader: Some(self.options.replica.clone()), replicas };
        for to in self.replication_targets() {
            self.send(to, body.clone(), actions);
        }
    }
}
