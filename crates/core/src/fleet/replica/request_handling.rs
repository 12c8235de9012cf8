//! Handling of requests from this replica's task, and of requests that it processes as the leader.

use {
    super::{Operation, Origin, Replica, ReplicaAction, evacuations::OrderCheck, machine::INTERNAL_REQUEST},
    crate::{
        config::{CheckedConfig, Configuration, required_level},
        consensus::{ConsensusEvent, ProposalResult},
        fleet::{FleetLogEvent, FleetMessage, ReplicaAnswer, Reply, Request, record::is_server_name},
        ids::{LogIndex, ServerId},
        ledger::{Command, ContentDigest, LedgerOutcome},
    },
    std::time::{Duration, Instant},
};

/// Time after which a departure that entries still report is requested again.
const LEAVING_REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Replica {
    pub(super) fn submit(&mut self, now: Instant, id: u64, config: CheckedConfig, out: &mut Vec<ReplicaAction>) {
        let (number, text) = (config.number(), config.into_text());
        self.enqueue_request(now, id, Request::Submit { number, text }, out);
    }

    /// Requests the recording of a departure unless it is already recorded. A name that no record can have is not
    /// recorded, because no machine uses such a server.
    pub(super) fn depart(
        &mut self,
        now: Instant,
        id: u64,
        server: ServerId,
        incarnation: Option<u64>,
        wall_ms: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !is_server_name(&server) {
            out.push(ReplicaAction::Log(FleetLogEvent::DepartureIgnored(server.len())));
            return self.answer(id, ReplicaAnswer::Acknowledged, out);
        }
        if incarnation.is_some_and(|incarnation| {
            self.ledger.departed_incarnation(&server).is_some_and(|departed| incarnation <= departed)
        }) {
            return self.answer(id, ReplicaAnswer::Acknowledged, out);
        }
        self.enqueue_request(now, id, Request::Depart { server, incarnation, wall_ms }, out);
    }

    /// Sets the services that the configuration names, and requests the recording of departures that were announced
    /// before it named their service.
    pub(super) fn update_services(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let names = Configuration::service_names(self.ledger.config_text());
        for (server, incarnation) in self.directory.set_services(names) {
            self.depart(now, INTERNAL_REQUEST, server, Some(incarnation), 0, out);
        }
    }

    /// Requests the recording of departures that entries learned of from the servers' own answers.
    pub(super) fn depart_leaving(&mut self, now: Instant, leaving: Vec<(ServerId, u64)>, out: &mut Vec<ReplicaAction>) {
        self.reported_leaving.retain(|_, at| now.saturating_duration_since(*at) < LEAVING_REPORT_INTERVAL);
        for (server, incarnation) in leaving {
            // A later incarnation is not leaving, and many entries report the same server.
            if self.directory.incarnation(&server) == Some(incarnation)
                && self.reported_leaving.insert(server.clone(), now).is_none()
            {
                self.depart(now, INTERNAL_REQUEST, server, Some(incarnation), 0, out);
            }
        }
    }

    /// Queues a request for the leader.
    pub(super) fn enqueue_request(&mut self, now: Instant, id: u64, request: Request, out: &mut Vec<ReplicaAction>) {
        if !self.requests.add(id, request, now + self.options.request_timeout) {
            self.answer(id, ReplicaAnswer::Unavailable, out);
        }
    }

    /// Sends due requests to the leader, and answers those that have timed out.
    pub(super) fn send_requests(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        for id in self.requests.take_expired(now) {
            self.answer(id, ReplicaAnswer::Unavailable, out);
        }
        let Some(leader) = self.consensus.leader().cloned() else { return };
        for (number, request) in self.requests.due(now, &leader) {
            if leader == self.options.id {
                let origin = Origin { from: leader.clone(), incarnation: self.options.incarnation, number };
                self.serve(now, origin, request, out);
            } else {
                let message = FleetMessage::Request { number, request };
                out.push(ReplicaAction::Send { to: leader.clone(), message });
            }
        }
    }

    /// Processes a request as the leader. Other replicas ignore it; the sender repeats the request to the leader that
    /// it knows by then.
    pub(super) fn serve(&mut self, now: Instant, origin: Origin, request: Request, out: &mut Vec<ReplicaAction>) {
        if !self.consensus.is_leader() || self.operations.contains(&origin) {
            return;
        }
        let (operation, command) = match request {
            Request::Submit { number, text } => {
                let digest = ContentDigest::of(text.as_bytes());
                match self.ledger.resubmission_outcome(number, digest) {
                    Some(_) => (Operation::LookUp(number, digest), None),
                    // The sender repeats the request until its time is over.
                    None if !self.may_propose(now, required_level(&text), out) => return,
                    None => (Operation::Submit, Some(Command::Submit { number, text })),
                }
            }
            Request::Depart { server, incarnation, wall_ms } => {
                let incarnation = incarnation.or_else(|| self.directory.departing_incarnation(&server));
                let departed = self.ledger.departed_incarnation(&server);
                if incarnation.is_some_and(|incarnation| departed.is_some_and(|departed| incarnation <= departed)) {
                    return self.confirm_departure(now, origin, Reply::Departed, self.consensus.commit_index());
                }
                (Operation::Depart, Some(Command::Depart { server, incarnation, at: wall_ms }))
            }
            Request::Read => (Operation::Read, None),
            Request::Evacuate { data_centre, is_active, known, wall_ms } => {
                let order = Command::Evacuate { data_centre: data_centre.clone(), is_active, at: wall_ms };
                match self.check_order(now, &data_centre, is_active, known, out) {
                    OrderCheck::Recorded => (Operation::LookUpEvacuation(data_centre, is_active), None),
                    OrderCheck::Propose => (Operation::Evacuate(data_centre), Some(order)),
                    OrderCheck::Wait => return,
                    OrderCheck::Refuse => return self.reply(origin, Reply::Unavailable, out),
                }
            }
        };
        let command = match command.map(|command| command.encode()) {
            Some(Ok(bytes)) => Some(bytes),
            Some(Err(_)) => return self.reply(origin, Reply::TooLong, out),
            None => None,
        };
        let id = self.operations.add(origin, operation);
        let event = match command {
            Some(bytes) => ConsensusEvent::Propose { id, command: bytes.into() },
            None => ConsensusEvent::Read { id },
        };
        self.drive(now, event, out);
    }

    /// Completes a request with the result reported by consensus.
    pub(super) fn complete_operation(
        &mut self,
        now: Instant,
        id: u64,
        result: ProposalResult,
        out: &mut Vec<ReplicaAction>,
    ) {
        let Some((origin, operation)) = self.operations.take(id) else { return };
        let reply = match result {
            ProposalResult::Committed { index } if operation == Operation::Depart => {
                return self.confirm_departure(now, origin, Reply::Departed, index);
            }
            ProposalResult::Committed { index } if self.is_order_recorded(&operation, index) => {
                return self.confirm_departure(now, origin, Reply::Evacuated, index);
            }
            ProposalResult::Committed { index } => self.outcome(&operation, index),
            ProposalResult::TooLarge => Some(Reply::TooLong),
            // The sender repeats the request.
            ProposalResult::NotLeader { .. } | ProposalResult::Busy | ProposalResult::Unknown => None,
        };
        if let Some(reply) = reply {
            self.reply(origin, reply, out);
        }
    }

    fn outcome(&self, operation: &Operation, index: LogIndex) -> Option<Reply> {
        match operation {
            Operation::Submit => match self.ledger_outcomes.get(&index) {
                Some(LedgerOutcome::Submit(outcome)) => Some(Reply::from(*outcome)),
                _ => None,
            },
            Operation::Depart => None,
            Operation::Evacuate(_) => Some(Reply::Unavailable),
            Operation::LookUpEvacuation(data_centre, is_active) => {
                (self.ledger.is_evacuated(data_centre) == *is_active).then_some(Reply::Evacuated)
            }
            // Entries up to the index are applied before consensus answers.
            Operation::LookUp(number, digest) => self.ledger.resubmission_outcome(*number, *digest).map(Reply::from),
            Operation::Read => {
                Some(Reply::Current { number: self.ledger.change_number(), text: self.ledger.config_text().into() })
            }
        }
    }

    pub(super) fn reply(&mut self, origin: Origin, reply: Reply, out: &mut Vec<ReplicaAction>) {
        if origin.from != self.options.id {
            let message = FleetMessage::Reply { number: origin.number, reply };
            return out.push(ReplicaAction::Send { to: origin.from, message });
        }
        if let Some((id, answer)) = self.requests.record_reply(origin.number, reply) {
            self.answer(id, answer, out);
        }
    }
}
