//! The state machine of one replica.

use {
    super::{
        ConsensusAction, ConsensusEvent, ConsensusOptions, Deferred, Discovery, Formation, HardState, IncomingSnapshot,
        Log, Message, MessageBody, Recovered, Role, WriteEffect, Writes,
    },
    crate::ids::{Incarnation, InstanceId, LogIndex, Term},
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Shortest and longest election timeout during startup. A live leader answers the hello of a restarted replica
/// within one round trip, and pre-vote protects a leader that is slower than that.
const MIN_STARTUP_TIMEOUT: Duration = Duration::from_millis(20);
const MAX_STARTUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after the start during which these timeouts apply, as the other replicas may start slightly later.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// One replica of the replicated log.
///
/// ```
/// use {
///     hemlockford_core::consensus::{Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Recovered},
///     rand::{SeedableRng, rngs::SmallRng},
///     std::time::{Duration, Instant},
/// };
/// let options = ConsensusOptions { replica: "a".into(), replicas: vec!["a".into()], ..Default::default() };
/// let recovered = Recovered { incarnation: 1, ..Default::default() };
/// let mut now = Instant::now();
/// let mut actions = Vec::new();
/// let mut replica = Consensus::new(now, options, recovered, SmallRng::seed_from_u64(1), &mut actions);
/// while !replica.is_leader() {
///     now += Duration::from_millis(50);
///     replica.handle(now, ConsensusEvent::Tick, &mut actions);
///     // In this example, every write is durable at once.
///     replica.handle(now, ConsensusEvent::Persisted { up_to: u64::MAX }, &mut actions);
/// }
/// assert!(actions.contains(&ConsensusAction::BecomeLeader { term: 1 }));
/// ```
#[derive(Clone, Debug)]
pub struct Consensus {
    pub(super) options: ConsensusOptions,
    pub(super) rng: SmallRng,
    pub(super) incarnation: Incarnation,
    pub(super) hard_state: HardState,
    /// Whether this replica is a voter whose admission is durable.
    pub(super) admitted: bool,
    pub(super) log: Log,
    pub(super) writes: Writes,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// Bytes of the entries applied since the last snapshot.
    pub(super) applied_bytes: usize,
    pub(super) taking_snapshot: bool,
    pub(super) role: Role,
    pub(super) leader: Option<InstanceId>,
    pub(super) leader_last_heard_at: Option<Instant>,
    pub(super) election_at: Instant,
    /// End of the period with short pre-vote intervals, if no leader is heard from before.
    pub(super) startup_until: Option<Instant>,
    /// Term and number of the last heartbeat round that was acknowledged before pending writes were durable.
    pub(super) acknowledged_round: (Term, u64),
    /// A term and the last index up to which the log is known to match that of its leader.
    pub(super) leader_match: (Term, LogIndex),
    pub(super) formation: Formation,
    pub(super) discovery: Discovery,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) stopping: bool,
}

impl Consensus {
    /// Creates a replica from its recovered state. The actions restore the state machine.
    pub fn new(
        now: Instant,
        options: ConsensusOptions,
        recovered: Recovered,
        rng: SmallRng,
        actions: &mut Vec<ConsensusAction>,
    ) -> Self {
        let log = Log::new(&recovered);
        let commit = log.snapshot_index();
        let mut replica = Self {
            incarnation: recovered.incarnation,
            admitted: recovered.hard_state.admitted,
            hard_state: recovered.hard_state,
            writes: Writes::new(now, log.last_index()),
            log,
            commit,
            applied: commit,
            applied_bytes: 0,
            taking_snapshot: false,
            role: Role::Follower,
            leader: None,
            leader_last_heard_at: None,
            election_at: now,
            startup_until: None,
            acknowledged_round: (0, 0),
            leader_match: (0, 0),
            formation: Formation::new(now),
            discovery: Discovery::default(),
            incoming_snapshot: None,
            stopping: false,
            options,
            rng,
        };
        if replica.options.is_dynamic && replica.log.last_index() > 0 {
            replica.startup_until = Some(now + STARTUP_PERIOD);
        }
        replica.reset_pre_vote_timeout(now);
        if let Some(snapshot) = replica.log.snapshot.clone() {
            actions.push(ConsensusAction::RestoreSnapshot { snapshot });
        }
        replica.complete_formation(actions);
        replica
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: ConsensusEvent, actions: &mut Vec<ConsensusAction>) {
        self.writes.now = now;
        self.check_lease(now, actions);
        match event {
            ConsensusEvent::Tick => self.tick(now, actions),
            ConsensusEvent::Receive { from, message } => {
                let is_known = self.options.is_dynamic || self.options.replicas.contains(&from);
                if from != self.options.replica && is_known {
                    self.discovery.record_sender(&from);
                    self.receive(now, from, message, actions);
                }
            }
            ConsensusEvent::Propose { id, command } => self.propose(id, command, actions),
            ConsensusEvent::Read { id } => self.read(id, actions),
            ConsensusEvent::Persisted { up_to } => self.persisted(now, up_to, actions),
            ConsensusEvent::SnapshotTaken { index, data } => self.snapshot_taken(index, data, actions),
            ConsensusEvent::Stop => self.stop(now, actions),
        }
        self.answer_reads(now, actions);
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<ConsensusAction>) {
        if self.is_leader() {
            return self.heartbeat(now, actions);
        }
        if self.options.is_dynamic || !self.admitted {
            self.tick_formation(now, actions);
        }
        if self.next_election().is_some_and(|at| now >= at) {
            self.start_pre_vote(now, actions);
        }
    }

    fn receive(&mut self, now: Instant, from: InstanceId, message: Message, actions: &mut Vec<ConsensusAction>) {
        let Message { term, incarnation, admitted, body } = message;
        match &body {
            MessageBody::Hello { group_proposal, empty } => {
                return self.hello_received(now, from, incarnation, group_proposal.clone(), *empty, actions);
            }
            MessageBody::Form(group_proposal) => return self.form_request_received(&from, group_proposal, actions),
            MessageBody::Formed(group_proposal) => return self.formed_received(now, group_proposal, actions),
            MessageBody::PreVoteRequest { last_index, last_term } => {
                return self.pre_vote_request_received(now, from, term, *last_index, *last_term, actions);
            }
            MessageBody::Replicas { leader, replicas } => {
                return self.replicas_received(now, &from, term, leader.as_ref(), replicas, actions);
            }
            // A candidate that cannot win must not depose a leader that other replicas hear from.
            MessageBody::VoteRequest { leadership_transfer, .. }
                if !admitted || !leadership_transfer && self.has_leader(now) =>
            {
                return;
            }
            MessageBody::PreVote { granted: true } => {
                if self.is_active_voter(&from, incarnation, admitted) {
                    self.record_pre_vote(now, from, term, actions);
                }
                return;
            }
            _ => {}
        }
        if term > self.hard_state.term {
            self.enter_term(now, term, actions);
        }
        if term < self.hard_state.term {
            if matches!(body, MessageBody::Append { .. } | MessageBody::SnapshotPiece { .. }) {
                // The answer informs a deposed leader of the higher term.
                let index = self.log.last_index();
                self.send_when_durable(from, MessageBody::Appended { round: 0, index, conflict: true }, actions);
            }
            return;
        }
        let is_from_leader =
            matches!(body, MessageBody::Append { .. } | MessageBody::SnapshotPiece { .. } | MessageBody::Commit { .. });
        if is_from_leader && !self.follow(now, &from, actions) {
            return;
        }
        match body {
            MessageBody::VoteRequest { last_index, last_term, .. } => {
                self.vote_request_received(now, from, incarnation, (last_term, last_index), actions);
            }
            MessageBody::Vote { candidate, granted } => {
                let counts = self.is_active_voter(&from, incarnation, admitted);
                if granted && counts && candidate == self.incarnation {
                    self.record_vote(now, from, actions);
                }
            }
            MessageBody::Append { round, prev_index, prev_term, entries, commit } => {
                self.append_received(from, round, (prev_index, prev_term), entries, commit, actions);
            }
            MessageBody::SnapshotPiece { round, index, term, members, total, offset, piece } => {
                let head = IncomingSnapshot { index, term, members, total, data: Vec::new() };
                self.snapshot_piece_received(from, round, head, offset, &piece, actions);
            }
            MessageBody::Appended { round, index, conflict } => {
                self.append_acknowledged(from, (incarnation, admitted), round, index, conflict, actions);
            }
            MessageBody::SnapshotReceived { round, index, offset } => {
                self.snapshot_piece_acknowledged(&from, (incarnation, admitted), round, index, offset, actions);
            }
            MessageBody::TimeoutNow if self.leader.as_ref() == Some(&from) && self.is_admitted() && !self.stopping => {
                self.campaign(now, true, actions);
            }
            MessageBody::Commit { index } => self.commit_index_received(index, actions),
            _ => {}
        }
    }

    fn persisted(&mut self, now: Instant, up_to: u64, actions: &mut Vec<ConsensusAction>) {
        let (admitted, released) = self.writes.persisted(up_to);
        self.admitted |= admitted;
        for deferred in released {
            self.release(now, deferred, actions);
        }
        self.advance_commit(actions);
        if !self.admitted {
            self.try_formation(now, actions);
        }
    }

    pub(super) fn release(&mut self, now: Instant, deferred: Deferred, actions: &mut Vec<ConsensusAction>) {
        match deferred {
            Deferred::Send(to, message) => actions.push(ConsensusAction::Send { to, message }),
            Deferred::SelfVote(term) => {
                if term == self.hard_state.term {
                    // The vote requests are sent only now, so the election timeout starts now.
                    self.reset_election_timeout(now);
                    self.record_vote(now, self.options.replica.clone(), actions);
                }
            }
        }
    }

    /// Sends a message that does not depend on pending writes.
    pub(super) fn send(&self, to: InstanceId, body: MessageBody, actions: &mut Vec<ConsensusAction>) {
        actions.push(ConsensusAction::Send { to, message: self.message(body) });
    }

    /// Sends a message once all writes issued so far are durable.
    pub(super) fn send_when_durable(&mut self, to: InstanceId, body: MessageBody, actions: &mut Vec<ConsensusAction>) {
        let message = self.message(body);
        if let Some(Deferred::Send(to, message)) = self.writes.defer(Deferred::Send(to, message)) {
            actions.push(ConsensusAction::Send { to, message });
        }
    }

    pub(super) fn message(&self, body: MessageBody) -> Message {
        Message { term: self.hard_state.term, incarnation: self.incarnation, admitted: self.is_admitted(), body }
    }

    pub(super) fn save_hard_state(&mut self, effect: WriteEffect, actions: &mut Vec<ConsensusAction>) {
        let sequence = self.writes.issue(effect);
        actions.push(ConsensusAction::SaveHardState { sequence, hard_state: self.hard_state.clone() });
    }

    pub(super) fn reset_election_timeout(&mut self, now: Instant) {
        self.schedule_election(now, self.options.min_election_timeout, self.options.max_election_timeout);
    }

    /// Schedules the next pre-vote, which is early during startup. Timeouts of vote requests are not shortened,
    /// because the answers wait for disk writes.
    pub(super) fn reset_pre_vote_timeout(&mut self, now: Instant) {
        if self.startup_until.is_some_and(|until| now < until) {
            return self.schedule_election(now, MIN_STARTUP_TIMEOUT, MAX_STARTUP_TIMEOUT);
        }
        self.reset_election_timeout(now);
    }

    fn schedule_election(&mut self, now: Instant, min: Duration, max: Duration) {
        let min = u64::try_from(min.as_millis()).unwrap_or(u64::MAX);
        let max = u64::try_from(max.as_millis()).unwrap_or(u64::MAX);
        // The only voter of a group need not wait.
        let wait = if self.voter_count() == 1 { 0 } else { self.rng.random_range(min..=max.max(min)) };
        self.election_at = now + Duration::from_millis(wait);
    }
}
