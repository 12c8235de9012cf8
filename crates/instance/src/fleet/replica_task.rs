//! Task that runs the state machine of a replica.

use {
    super::{drop_log::DropLog, event_times::EventTimes, network::Network, replica_status::ReplicaStatus},
    crate::{clock::wall_clock_ns, counters::Counters, storage::StorageWrite},
    actix_rt::time::sleep_until,
    hemlockford_core::{
        collections::FastMap,
        config::CheckedConfig,
        fleet::{Arrival, FleetLogEvent, FleetMessage, Replica, ReplicaAction, ReplicaAnswer, ReplicaEvent},
    },
    hemlockford_net::{BootClock, Envelope},
    slog::{Logger, info},
    std::{sync::mpsc as blocking, time::Duration},
    tokio::{
        select,
        sync::{mpsc, oneshot, watch},
    },
};

const NANOS_PER_MILLI: u64 = 1_000_000;
/// Time until the next tick if the state machine has no timer.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// A message to the replica task.
#[derive(Debug)]
pub(super) enum ReplicaMessage {
    /// A request, whose answer is sent through the channel.
    Request(ReplicaRequest, oneshot::Sender<ReplicaAnswer>),
    /// The seeds in the settings have changed.
    Seeds(Vec<Box<str>>),
    /// The data centres in the settings have changed.
    DataCentres(Vec<Box<str>>),
    /// The process is stopping as planned.
    Stop,
}

/// A request from outside the fleet.
#[derive(Debug)]
pub(super) enum ReplicaRequest {
    Announce(hemlockford_core::fleet::ServerRecord),
    Depart { server: Box<str>, incarnation: Option<u64> },
    Submit(CheckedConfig),
    Read,
    Evacuate { data_centre: Box<str>, is_active: bool, arrival: Arrival },
}

/// Passes events to the state machine and executes its actions.
pub(super) struct ReplicaTask {
    pub(super) replica: Replica,
    pub(super) network: Network,
    pub(super) received: mpsc::UnboundedReceiver<(Envelope<FleetMessage>, usize)>,
    pub(super) messages: mpsc::UnboundedReceiver<ReplicaMessage>,
    pub(super) persisted: mpsc::UnboundedReceiver<u64>,
    pub(super) storage: blocking::Sender<StorageWrite>,
    pub(super) stopped: mpsc::UnboundedSender<()>,
    pub(super) failure: mpsc::UnboundedSender<Box<str>>,
    pub(super) counters: Counters,
    pub(super) log: Logger,
    pub(super) times: EventTimes,
    pub(super) drop_log: DropLog,
    pub(super) pending: FastMap<u64, oneshot::Sender<ReplicaAnswer>>,
    pub(super) last_request: u64,
    pub(super) status: watch::Sender<ReplicaStatus>,
}

impl ReplicaTask {
    /// Runs until the process ends or an invariant is violated. First executes the actions returned by the creation of the
    /// state machine.
    pub(super) async fn run(mut self, mut actions: Vec<ReplicaAction>) {
        if !self.execute(&mut actions) {
            return;
        }
        loop {
            let wake = self.replica.next_wake().unwrap_or_else(|| BootClock::now() + MAX_TICK_INTERVAL);
            let event = select! {
                biased;
                Some(up_to) = self.persisted.recv() => ReplicaEvent::Persisted { up_to },
                Some((envelope, bytes)) = self.received.recv() => {
                    self.counters.count_message("any", "received", "fleet", bytes);
                    let Envelope { from, incarnation, message } = envelope;
                    ReplicaEvent::Receive { from, incarnation, message }
                }
                message = self.messages.recv() => match message {
                    Some(message) => self.message_event(message),
                    None => return,
                },
                () = sleep_until(BootClock::to_steady(wake).into()) => ReplicaEvent::Tick,
            };
            let (name, started) = (event.name(), BootClock::now());
            self.replica.handle(started, event, &mut actions);
            let ended = BootClock::now();
            self.times.record(name, started, ended);
            self.counters.quota.update_credits(ended, self.replica.credits());
            if !self.execute(&mut actions) {
                return;
            }
        }
    }

    fn message_event(&mut self, message: ReplicaMessage) -> ReplicaEvent {
        let (request, reply) = match message {
            ReplicaMessage::Request(request, reply) => (request, reply),
            ReplicaMessage::Seeds(seeds) => return ReplicaEvent::Seeds(seeds),
            ReplicaMessage::DataCentres(data_centres) => return ReplicaEvent::DataCentres(data_centres),
            ReplicaMessage::Stop => return ReplicaEvent::Stop,
        };
        self.last_request += 1;
        let (id, wall_ms) = (self.last_request, wall_clock_ns() / NANOS_PER_MILLI);
        self.pending.insert(id, reply);
        match request {
            ReplicaRequest::Announce(record) => {
                self.counters.announcements.inc();
                ReplicaEvent::Announce { id, record, wall_ms }
            }
            ReplicaRequest::Depart { server, incarnation } => ReplicaEvent::Depart { id, server, incarnation, wall_ms },
            ReplicaRequest::Submit(config) => ReplicaEvent::Submit { id, config },
            ReplicaRequest::Read => ReplicaEvent::Read { id },
            ReplicaRequest::Evacuate { data_centre, is_active, arrival } => {
                ReplicaEvent::Evacuate { id, data_centre, is_active, arrival, wall_ms }
            }
        }
    }

    fn update_metrics(&self, entry: &FleetLogEvent) {
        match entry {
            FleetLogEvent::BecameLeader(_) => self.counters.leading.set(1),
            FleetLogEvent::BecameFollower(_) => self.counters.leading.set(0),
            FleetLogEvent::Current => self.counters.ready.set(1),
            FleetLogEvent::NotCurrent => self.counters.ready.set(0),
            FleetLogEvent::EvacuationStarted(data_centre) => {
                self.counters.evacuated.with_label_values(&[data_centre]).set(1);
            }
            FleetLogEvent::EvacuationEnded(data_centre) => {
                self.counters.evacuated.with_label_values(&[data_centre]).set(0);
            }
            FleetLogEvent::ChangeCommitted(number) => self.counters.change_number.set(*number as i64),
            _ => {}
        }
    }

    /// Executes actions. Returns `false` if an invariant is violated, after which nothing more may be answered.
    fn execute(&mut self, actions: &mut Vec<ReplicaAction>) -> bool {
        let status = ReplicaStatus::of(&self.replica);
        self.status.send_if_modified(|last| {
            let is_modified = *last != status;
            *last = status;
            is_modified
        });
        for action in actions.drain(..) {
            match action {
                ReplicaAction::Send { to, message } => self.network.send(&to, message),
                // The storage thread ends only if the data folder has failed; then the process stops.
                ReplicaAction::Write { sequence, write } => {
                    let _ = self.storage.send(StorageWrite::Log { sequence, write });
                }
                ReplicaAction::SaveDirectory(directory) => {
                    let _ = self.storage.send(StorageWrite::Directory(directory));
                }
                ReplicaAction::Renumber(latest) => {
                    let _ = self.storage.send(StorageWrite::Renumber(latest));
                }
                ReplicaAction::Answer { id, answer } => {
                    if let Some(reply) = self.pending.remove(&id) {
                        // The client may have disconnected.
                        let _ = reply.send(answer);
                    }
                }
                ReplicaAction::Log(entry) => {
                    self.update_metrics(&entry);
                    if self.drop_log.record(&entry, &self.counters) {
                        info!(self.log, "{}", entry);
                    }
                }
                ReplicaAction::Stopped => drop(self.stopped.send(())),
                ReplicaAction::InvariantViolated(what) => {
                    // Without a receiver the process is stopping.
                    let _ = self.failure.send(what.into());
                    return false;
                }
            }
        }
        true
    }
}
