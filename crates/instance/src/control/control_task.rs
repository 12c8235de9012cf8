//! Task that runs the state machine of the control plane.

use {
    super::{ControlMessage, Status, pending_claims::PendingClaims},
    crate::{
        clock::to_steady,
        counters::Counters,
        instance_message::InstanceMessage,
        peers::{DatagramSender, StreamSender},
        storage::StorageWrite,
    },
    hemlockford_core::{
        collections::FastMap,
        config::Configuration,
        control::{Answer, Control, ControlAction, ControlEvent, ControlLogEvent, SubmitAnswer, TICK_INTERVAL},
        dispatch::DispatchEvent,
        ids::{DataCentreId, InstanceId},
        registry::SERVER_LEASE,
    },
    hemlockford_net::{BootClock, Timer},
    hemlockford_proxy::ClaimMessage,
    slog::{Logger, info, warn},
    std::{
        mem::take,
        sync::{Arc, mpsc as blocking},
        time::Instant,
    },
    tokio::sync::{mpsc, oneshot, watch},
};

/// State machine, channels and sockets of the control task.
pub(crate) struct ControlParts {
    pub(crate) control: Control,
    pub(crate) id: InstanceId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) peers: Vec<InstanceId>,
    pub(crate) rx: mpsc::UnboundedReceiver<ControlMessage>,
    pub(crate) claims: mpsc::UnboundedReceiver<ClaimMessage>,
    pub(crate) dispatcher: mpsc::UnboundedSender<DispatchEvent>,
    pub(crate) config: watch::Sender<Arc<Configuration>>,
    pub(crate) serve_until: watch::Sender<Option<Instant>>,
    pub(crate) are_servers_known: watch::Sender<bool>,
    pub(crate) storage: Option<blocking::Sender<StorageWrite>>,
    pub(crate) datagrams: DatagramSender,
    pub(crate) streams: StreamSender,
    pub(crate) failure: mpsc::UnboundedSender<Box<str>>,
    pub(crate) timer: Timer,
    pub(crate) counters: Counters,
    pub(crate) log: Logger,
}

/// Passes events to the state machine and executes its actions.
pub(crate) struct ControlTask {
    parts: ControlParts,
    submits: FastMap<u64, oneshot::Sender<SubmitAnswer>>,
    last_submit: u64,
    pending_claims: PendingClaims,
    stopping: Vec<oneshot::Sender<()>>,
    /// Time since which the instance may serve calls, or `None` if it may not.
    serving_since: Option<Instant>,
    actions: Vec<ControlAction>,
}

impl ControlTask {
    pub(crate) fn new(parts: ControlParts) -> Self {
        Self {
            parts,
            submits: FastMap::default(),
            last_submit: 0,
            pending_claims: PendingClaims::default(),
            stopping: Vec::new(),
            serving_since: None,
            actions: Vec::new(),
        }
    }

    pub(crate) async fn run(mut self) {
        let mut tick = self.parts.timer.subscribe(TICK_INTERVAL);
        // Send the first heartbeats immediately instead of after one interval.
        self.handle(ControlEvent::Tick);
        loop {
            let event = tokio::select! {
                message = self.parts.rx.recv() => match message {
                    Some(message) => self.message_event(message),
                    None => return,
                },
                Some(message) = self.parts.claims.recv() => self.pending_claims.handle_message(BootClock::now(), message),
                Some(_) = tick.recv() => Some(ControlEvent::Tick),
            };
            if let Some(event) = event {
                self.handle(event);
                self.update_servers_known();
            }
        }
    }

    /// Converts a message to an event; returns `None` if the message was answered immediately.
    fn message_event(&mut self, message: ControlMessage) -> Option<ControlEvent> {
        Some(match message {
            ControlMessage::Announce(announcement) => {
                self.parts.counters.announcements.inc();
                ControlEvent::Announce(announcement)
            }
            ControlMessage::Submit(text, reply) => {
                self.last_submit += 1;
                self.submits.insert(self.last_submit, reply);
                ControlEvent::Submit { request: self.last_submit, text }
            }
            ControlMessage::Receive { from, message } => ControlEvent::Receive { from, message },
            ControlMessage::Persisted(up_to) => ControlEvent::Persisted { up_to },
            ControlMessage::Status(reply) => {
                let ControlParts { control, id, data_centre, peers, .. } = &self.parts;
                let _ = reply.send(Status::new(BootClock::now(), control, (id, data_centre), peers));
                return None;
            }
            ControlMessage::Drain => ControlEvent::Drain,
            ControlMessage::Stop(reply) => {
                self.stopping.push(reply);
                ControlEvent::Stop
            }
        })
    }

    fn handle(&mut self, event: ControlEvent) {
        let mut follow_up = Some(event);
        while let Some(event) = follow_up.take() {
            let mut actions = std::mem::take(&mut self.actions);
            self.parts.control.handle(BootClock::now(), event, &mut actions);
            for action in actions.drain(..) {
                follow_up = self.execute(action).or(follow_up);
            }
            self.actions = actions;
        }
    }

    /// Executes an action; returns an event that results from it.
    ///
    /// Closed channels are ignored, as their tasks end only while the process is stopping.
    fn execute(&mut self, action: ControlAction) -> Option<ControlEvent> {
        let parts = &mut self.parts;
        match action {
            ControlAction::SendDatagram { to, message } => parts.datagrams.send(&to, InstanceMessage::Control(message)),
            ControlAction::SendStream { to, message } => parts.streams.send(&to, InstanceMessage::Control(message)),
            ControlAction::Write { sequence, write } => {
                if let Some(storage) = &parts.storage {
                    let _ = storage.send(StorageWrite::Log { sequence, write });
                }
            }
            ControlAction::Install(config) => {
                parts.counters.change_number.set(config.number as i64);
                let _ = parts.dispatcher.send(DispatchEvent::Configure(config.clone()));
                parts.config.send_replace(config);
            }
            ControlAction::Answer(answer) => return self.answer(answer),
            ControlAction::ServersChanged(service, views) => {
                parts.counters.servers.with_label_values(&[&service]).set(views.len() as i64);
                let _ = parts.dispatcher.send(DispatchEvent::Servers(service, to_steady(views)));
            }
            ControlAction::LivePeers(live) => {
                parts.counters.live_instances.set(live.len() as i64);
                let _ = parts.dispatcher.send(DispatchEvent::Peers(live));
            }
            ControlAction::ServeUntil(until) => drop(parts.serve_until.send_replace(until)),
            ControlAction::Log(entry) => self.log_event(&entry),
            ControlAction::Stopped => {
                for reply in self.stopping.drain(..) {
                    let _ = reply.send(());
                }
            }
            ControlAction::InvariantViolated(invariant) => {
                let _ = parts.failure.send(format!("invariant violated: {invariant}").into());
            }
        }
        None
    }

    /// Updates whether the servers are known. They are once the registry equals that of a live peer, or once every
    /// server has had time to announce itself. Before that, the load balancer in front of the instance would send it
    /// calls for which it knows no server.
    fn update_servers_known(&mut self) {
        let parts = &self.parts;
        let Some(since) = self.serving_since else {
            parts.are_servers_known.send_if_modified(take);
            return;
        };
        if *parts.are_servers_known.borrow() {
            return;
        }
        let now = BootClock::now();
        let (membership, digest) = (parts.control.membership(), parts.control.registry().digest(now));
        let mut peers = parts.peers.iter().filter(|peer| membership.is_live(now, peer));
        let is_known = peers.any(|peer| membership.status(peer).is_some_and(|status| status.digest == digest));
        if is_known || now >= since + SERVER_LEASE {
            parts.are_servers_known.send_replace(true);
        }
    }

    fn answer(&mut self, answer: Answer) -> Option<ControlEvent> {
        match answer {
            Answer::Submit { request, answer } => {
                self.parts.counters.submits.with_label_values(&[submit_label(&answer)]).inc();
                if let Some(reply) = self.submits.remove(&request) {
                    // If the operator has disconnected, the configuration can be submitted again.
                    let _ = reply.send(answer);
                }
                None
            }
            Answer::Claim { request, answer } => {
                let (name, event) = self.pending_claims.complete(request, answer);
                self.parts.counters.claims.with_label_values(&[name]).inc();
                event
            }
        }
    }

    fn log_event(&mut self, entry: &ControlLogEvent) {
        let ControlParts { counters, log, .. } = &self.parts;
        match entry {
            ControlLogEvent::Ready => {
                self.serving_since = Some(BootClock::now());
                counters.ready.set(1);
            }
            ControlLogEvent::NotReady(_) => {
                self.serving_since = None;
                counters.ready.set(0);
            }
            ControlLogEvent::BecameLeader(_) => counters.leading.set(1),
            ControlLogEvent::BecameFollower(_) => counters.leading.set(0),
            _ => {}
        }
        match entry {
            ControlLogEvent::PeerSuspected(_)
            | ControlLogEvent::PeerLost(_)
            | ControlLogEvent::NotReady(_)
            | ControlLogEvent::ChangeUnreadable(_) => {
                warn!(log, "{}", entry);
            }
            _ => info!(log, "{}", entry),
        }
    }
}

fn submit_label(answer: &SubmitAnswer) -> &'static str {
    match answer {
        SubmitAnswer::Invalid(_) => "invalid",
        SubmitAnswer::TooLong => "too-long",
        SubmitAnswer::Accepted { .. } => "accepted",
        SubmitAnswer::Conflict { .. } => "conflict",
        SubmitAnswer::Superseded { .. } => "superseded",
        SubmitAnswer::NotAccepted => "not-accepted",
        SubmitAnswer::Unknown => "unknown",
    }
}
