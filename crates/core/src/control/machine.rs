//! The state machine of the control plane.

use {
    super::{
        Answer, ControlAction, ControlEvent, ControlLogEvent, ControlOptions, PeerMessage, SubmitAnswer,
        incoming_requests::IncomingRequests,
        outgoing_requests::{OutgoingRequests, RequestResults},
        replica::Replica,
    },
    crate::{
        config::Configuration,
        consensus::{ConsensusEvent, ConsensusOptions, Recovered},
        freshness::{ConfigFreshness, NotCurrent},
        ids::{ChangeNumber, InstanceId},
        ledger::{Ledger, MAX_SUBMIT_BYTES},
        membership::{Membership, MembershipAction, MembershipEvent, MembershipOptions},
        registry::{Registry, RegistryAction, RegistryEvent, RegistryOptions},
    },
    rand::rngs::SmallRng,
    std::{sync::Arc, time::Instant},
};

/// The control plane of one instance.
pub struct Control {
    pub(super) options: ControlOptions,
    pub(super) membership: Membership,
    pub(super) freshness: ConfigFreshness,
    pub(super) registry: Registry,
    pub(super) replica: Option<Replica>,
    pub(super) outgoing_requests: OutgoingRequests,
    pub(super) incoming_requests: IncomingRequests,
    pub(super) configuration: Option<(Box<str>, Arc<Configuration>)>,
    /// A committed change that is not installed yet.
    pub(super) pending_change: Option<(ChangeNumber, Box<str>)>,
    /// Highest committed change that this version cannot parse.
    pub(super) unreadable_change: ChangeNumber,
    pub(super) last_fetch_at: Option<Instant>,
    pub(super) fetch_count: usize,
    pub(super) last_noop_at: Instant,
    pub(super) is_draining: bool,
    pub(super) live_peers: Vec<InstanceId>,
    pub(super) reported_serve_until: Option<Instant>,
    pub(super) reported_readiness: Option<Result<(), NotCurrent>>,
}

impl Control {
    /// Starts the control plane. `recovered` is the state of the data folder, which is only used if `options` names
    /// this instance as a replica.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::control::{Control, ControlEvent, ControlOptions},
    ///     rand::{SeedableRng, rngs::SmallRng},
    ///     std::time::Instant,
    /// };
    /// let now = Instant::now();
    /// let options = ControlOptions { peers: vec!["e2".into()], ..Default::default() };
    /// let mut control = Control::new(options, None, now, SmallRng::seed_from_u64(1));
    /// control.handle(now, ControlEvent::Tick, &mut Vec::new());
    /// assert!(control.may_serve(now).is_err());
    /// ```
    pub fn new(options: ControlOptions, recovered: Option<Recovered>, now: Instant, rng: SmallRng) -> Self {
        let replica = options.replicas.contains(&options.id).then(|| {
            let (replica, replicas) = (options.id.clone(), options.replicas.clone());
            let consensus = ConsensusOptions { replica, replicas, ..options.consensus.clone() };
            Replica::new(consensus, recovered.unwrap_or_default(), now, rng)
        });
        let membership = MembershipOptions {
            id: options.id.clone(),
            incarnation: options.incarnation,
            peers: options.peers.clone(),
            ..MembershipOptions::default()
        };
        let mut outgoing_requests = OutgoingRequests::new(options.id.clone(), options.incarnation);
        outgoing_requests.start_current_query(now);
        Self {
            membership: Membership::new(membership, now),
            freshness: ConfigFreshness::new(options.peers.len() + 1),
            registry: Registry::new(RegistryOptions { peers: options.peers.clone() }, now),
            replica,
            outgoing_requests,
            incoming_requests: IncomingRequests::default(),
            configuration: None,
            pending_change: None,
            unreadable_change: 0,
            last_fetch_at: None,
            fetch_count: 0,
            last_noop_at: now,
            is_draining: false,
            live_peers: Vec::new(),
            reported_serve_until: None,
            reported_readiness: None,
            options,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        let mut results = RequestResults::default();
        let first = self.outgoing_requests.next_key();
        match event {
            ControlEvent::Tick => self.tick(now, &mut results, actions),
            ControlEvent::Receive { from, message } => self.receive(now, from, message, &mut results, actions),
            ControlEvent::Submit { request, text } => self.submit(now, request, text, &mut results),
            ControlEvent::Claim { request, key, request_digest, deadline } => {
                self.outgoing_requests.claim(now, request, key, request_digest, deadline, &mut results);
            }
            ControlEvent::Settle { key, holder, outcome } => self.outgoing_requests.settle(now, key, holder, outcome),
            ControlEvent::Release { key, holder } => self.outgoing_requests.release(now, key, holder),
            ControlEvent::Announce(announcement) => {
                self.registry_event(now, RegistryEvent::Announce(announcement), actions);
            }
            ControlEvent::Persisted { up_to } => {
                self.replica_event(now, ConsensusEvent::Persisted { up_to }, &mut results, actions);
            }
            ControlEvent::Drain => self.is_draining = true,
            ControlEvent::Stop => {
                self.is_draining = true;
                match self.replica {
                    Some(_) => self.replica_event(now, ConsensusEvent::Stop, &mut results, actions),
                    None => actions.push(ControlAction::Stopped),
                }
            }
        }
        self.send_due(now, first, &mut results, actions);
        self.apply_results(now, results, actions);
        self.reevaluate(now, actions);
    }

    /// Returns whether this instance may serve calls at `now`.
    pub fn may_serve(&self, now: Instant) -> Result<(), NotCurrent> {
        self.freshness.may_serve(now, self.membership.reports())
    }

    /// Returns the membership state, for status pages.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the registry of announced servers.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the ledger, if this instance is a replica.
    pub fn ledger(&self) -> Option<&Ledger> {
        self.replica.as_ref().map(|replica| &replica.ledger)
    }

    /// Returns whether this instance is the leader of the replicated log.
    pub fn is_leading(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.is_leading)
    }

    /// Returns whether this replica is a voter; `None` if this instance is not a replica.
    pub fn is_admitted(&self) -> Option<bool> {
        self.replica.as_ref().map(Replica::is_admitted)
    }

    /// Returns the number of the installed change; 0 before the first.
    pub fn installed(&self) -> ChangeNumber {
        self.freshness.installed()
    }

    /// Returns the installed configuration.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref().map(|(_, configuration)| configuration)
    }

    /// Returns the source text of the installed configuration.
    pub fn configuration_source(&self) -> Option<&str> {
        self.configuration.as_ref().map(|(source, _)| &**source)
    }

    fn tick(&mut self, now: Instant, results: &mut RequestResults, actions: &mut Vec<ControlAction>) {
        self.outgoing_requests.expire(now, results);
        self.replica_event(now, ConsensusEvent::Tick, results, actions);
        self.registry_event(now, RegistryEvent::Tick, actions);
        self.update_status(now);
        self.membership_event(now, MembershipEvent::Tick, actions);
        self.send_due(now, 0, results, actions);
        self.propose_time(now, results, actions);
        self.fetch_missing_change(now, actions);
    }

    fn submit(&mut self, now: Instant, request: u64, text: Box<str>, results: &mut RequestResults) {
        let answer = match Configuration::parse(&text) {
            _ if text.len() > MAX_SUBMIT_BYTES => SubmitAnswer::TooLong,
            Err(faults) => SubmitAnswer::Invalid(faults),
            Ok(parsed) => {
                let timeout = self.options.submit_timeout;
                return self.outgoing_requests.submit(now, request, parsed.number, text, timeout, results);
            }
        };
        results.answers.push(Answer::Submit { request, answer });
    }

    fn receive(
        &mut self,
        now: Instant,
        from: InstanceId,
        message: PeerMessage,
        results: &mut RequestResults,
        actions: &mut Vec<ControlAction>,
    ) {
        if !self.options.peers.contains(&from) {
            return;
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let digest = heartbeat.status.digest;
                let is_current = self.membership.incarnation(&from).is_none_or(|known| known <= heartbeat.incarnation);
                self.membership_event(now, MembershipEvent::Receive { from: from.clone(), heartbeat }, actions);
                if is_current && self.membership.is_live(now, &from) {
                    self.registry_event(now, RegistryEvent::Digest { from, digest }, actions);
                }
            }
            PeerMessage::Relay { incarnation, clock_ms, records } => {
                // A relay of unknown age is dropped; the registry recovers through digests.
                if let Some(age) = self.membership.age(now, &from, incarnation, clock_ms) {
                    self.registry_event(now, RegistryEvent::Relay { age, records }, actions);
                }
            }
            PeerMessage::Ask { servers } => self.registry_event(now, RegistryEvent::Ask { from, servers }, actions),
            PeerMessage::Consensus(message) => {
                self.replica_event(now, ConsensusEvent::Receive { from, message }, results, actions);
            }
            PeerMessage::Request { id, request } => self.handle_request(now, from, id, request, results, actions),
            PeerMessage::Reply { id, reply } => self.outgoing_requests.reply(now, id, reply, results),
            PeerMessage::Install { number, text } => self.offer_change(now, number, text, actions),
            PeerMessage::Fetch { above } => self.send_change(from, above, actions),
        }
    }

    pub(super) fn membership_event(&mut self, now: Instant, event: MembershipEvent, actions: &mut Vec<ControlAction>) {
        let mut out = Vec::new();
        self.membership.handle(now, event, &mut out);
        for action in out {
            actions.push(match action {
                MembershipAction::Send { to, heartbeat } => {
                    ControlAction::SendDatagram { to, message: PeerMessage::Heartbeat(heartbeat) }
                }
                MembershipAction::Suspected(id) => ControlAction::Log(ControlLogEvent::PeerSuspected(id)),
                MembershipAction::Lost(id) => ControlAction::Log(ControlLogEvent::PeerLost(id)),
                MembershipAction::Returned(id) => ControlAction::Log(ControlLogEvent::PeerLive(id)),
                MembershipAction::Restarted(id, incarnation) => {
                    ControlAction::Log(ControlLogEvent::PeerRestarted(id, incarnation))
                }
            });
        }
    }

    fn registry_event(&mut self, now: Instant, event: RegistryEvent, actions: &mut Vec<ControlAction>) {
        let mut out = Vec::new();
        self.registry.handle(now, event, &mut out);
        for action in out {
            match action {
                RegistryAction::Relay { to, records } => {
                    let (incarnation, clock_ms) = (self.options.incarnation, self.membership.clock_ms(now));
                    let message = PeerMessage::Relay { incarnation, clock_ms, records };
                    match to {
                        Some(to) => actions.push(ControlAction::SendDatagram { to, message }),
                        None => actions.extend(
                            self.options
                                .peers
                                .iter()
                                .map(|to| ControlAction::SendDatagram { to: to.clone(), message: message.clone() }),
                        ),
                    }
                }
                RegistryAction::Ask { to, servers } => {
                    actions.push(ControlAction::SendDatagram { to, message: PeerMessage::Ask { servers } });
                }
                RegistryAction::Changed(service) => {
                    let views = self.registry.views(now, &service);
                    actions.push(ControlAction::ServersChanged(service, views));
                }
                RegistryAction::Refused { server, error } => {
                    actions.push(ControlAction::Log(ControlLogEvent::AnnouncementRefused(server, error)));
                }
            }
        }
    }
}
