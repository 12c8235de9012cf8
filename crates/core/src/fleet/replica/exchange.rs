//! Announcements of servers, and their exchange between replicas.

use {
    super::{Replica, ReplicaAction},
    crate::{
        collections::FastSet,
        fleet::{
            AnnouncementOutcome, FleetLogEvent, FleetMessage, MAX_NAME_BYTES, MAX_SERVER_SILENCE, ReceivedRecord,
            Records, ReplicaAnswer, ReplicaName, ServerRecord, StatusRequest, StatusResponse, bounds::MAX_REPLICAS,
        },
        ids::{InstanceId, ServerId},
    },
    std::time::{Duration, Instant},
};

/// Interval between status requests to the leader while this replica is not current.
const LEADER_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between status requests to all replicas while the directory is incomplete or a clock is unknown.
const SYNC_REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between status requests to all replicas otherwise, which keep the clock offsets up to date.
const CLOCK_REQUEST_INTERVAL: Duration = Duration::from_secs(10);
/// Time without an announcement of a server after which other replicas are asked for its record. It covers two
/// announcements and a batch.
const REQUEST_MISSING_AFTER: Duration = Duration::from_millis(3_500);
/// Maximum size of the renewals in one message in bytes, so that it fits in a datagram.
const MAX_RENEWAL_BYTES: usize = 900;
/// Maximum number of records requested at once.
pub(super) const MAX_REQUESTED_RECORDS: usize = 256;

impl Replica {
    pub(super) fn announce(
        &mut self,
        now: Instant,
        id: u64,
        record: ServerRecord,
        wall_ms: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        if let Err(error) = record.check() {
            out.push(ReplicaAction::Log(FleetLogEvent::AnnouncementRefused(error)));
            return self.answer(id, ReplicaAnswer::InvalidAnnouncement(error), out);
        }
        let (server, is_draining) = (record.server.clone(), record.is_draining);
        let (service, incarnation) = (record.service.clone(), record.incarnation);
        let outcome = self.apply_record(now, record, None, (self.options.id.clone(), now), out);
        match outcome {
            AnnouncementOutcome::Full => return self.answer(id, ReplicaAnswer::Unavailable, out),
            AnnouncementOutcome::Changed => {
                self.broadcast_record(now, &server, None, out);
                self.changed.insert(server.clone());
            }
            AnnouncementOutcome::Renewed | AnnouncementOutcome::Stale | AnnouncementOutcome::UnknownService => {}
        }
        // A changed record is also sent as a renewal, so that a replica that missed the change can request it.
        if matches!(outcome, AnnouncementOutcome::Changed | AnnouncementOutcome::Renewed) {
            self.renewed.insert(server.clone());
        }
        if is_draining && self.directory.was_configured(&server, &service, incarnation) {
            return self.depart(now, id, server, Some(incarnation), wall_ms, out);
        }
        // The record may be one of another writer under the id of a server in use, so that no departure is recorded. A
        // replica that has applied the latest configuration may know the service.
        if is_draining && (outcome == AnnouncementOutcome::UnknownService || !self.is_current()) {
            return self.answer(id, ReplicaAnswer::UnknownService, out);
        }
        let is_isolated = self.contact.is_isolated(now);
        let answer = if is_isolated { ReplicaAnswer::Unavailable } else { ReplicaAnswer::Acknowledged };
        self.answer(id, answer, out);
    }

    fn apply_record(
        &mut self,
        now: Instant,
        record: ServerRecord,
        content_sequence: Option<u64>,
        source: (InstanceId, Instant),
        out: &mut Vec<ReplicaAction>,
    ) -> AnnouncementOutcome {
        let departed = self.ledger.departed_incarnation(&record.server);
        let mut logs = Vec::new();
        let outcome = self.directory.apply_announcement(now, record, content_sequence, source, departed, &mut logs);
        out.extend(logs.into_iter().map(ReplicaAction::Log));
        outcome
    }

    /// Sends a new or changed record to the other replicas.
    fn broadcast_record(
        &self,
        now: Instant,
        server: &ServerId,
        except: Option<&InstanceId>,
        out: &mut Vec<ReplicaAction>,
    ) {
        let Some(record) = self.directory.received_record(now, server) else { return };
        let message = self.records_message(now, None, vec![record]);
        for to in self.peers.names().filter(|name| Some(*name) != except) {
            out.push(ReplicaAction::Send { to: to.clone(), message: FleetMessage::Records(message.clone()) });
        }
    }

    fn records_message(&self, now: Instant, entries: Option<u32>, changed: Vec<ReceivedRecord>) -> Records {
        Records {
            clock_ms: self.clock_ms(now),
            entries,
            commit_index: self.consensus.commit_index(),
            suspects: self.suspects.digest(),
            relays: Vec::new(),
            changed,
            renewed: Vec::new(),
        }
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        u64::try_from(now.saturating_duration_since(self.started).as_millis()).unwrap_or(u64::MAX)
    }

    /// Sends the other replicas the servers that announced themselves here since the last batch, and the number of
    /// entries that poll this replica.
    pub(super) fn send_batch(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let entries = Some(self.subscribers.live_count(now));
        let mut first = self.records_message(now, entries, Vec::new());
        first.relays = self.relays.own_sample(self.next_batch_number);
        self.next_batch_number += 1;
        let mut messages = vec![first];
        let mut bytes = 0;
        let renewed = std::mem::take(&mut self.renewed);
        for renewal in renewed.iter().filter_map(|server| self.directory.renewal(now, server)) {
            // The numeric fields of a renewal take at most 40 bytes.
            let size = renewal.server.len() + 40;
            if bytes + size > MAX_RENEWAL_BYTES {
                messages.push(self.records_message(now, None, Vec::new()));
                bytes = 0;
            }
            bytes += size;
            if let Some(last) = messages.last_mut() {
                last.renewed.push(renewal);
            }
        }
        // A replica that missed a change requests it when it receives the renewal, but these messages may be lost as
        // well. Therefore every change is sent a second time.
        for received in
            std::mem::take(&mut self.changed).iter().filter_map(|server| self.directory.received_record(now, server))
        {
            messages.push(self.records_message(now, None, vec![received]));
        }
        let mut missing = self.directory.timed_out(now, REQUEST_MISSING_AFTER);
        missing.truncate(MAX_REQUESTED_RECORDS);
        let messages: Vec<_> = messages.into_iter().map(FleetMessage::Records).collect();
        // A batch may have been lost, or the replica that received the announcement may have no connection to this one.
        let requested = (!missing.is_empty()).then_some(FleetMessage::RecordRequest(missing));
        for to in self.peers.names() {
            for message in messages.iter().chain(&requested) {
                out.push(ReplicaAction::Send { to: to.clone(), message: message.clone() });
            }
        }
    }

    /// Sends the status requests that are due: to the leader while this replica is not current, and to all replicas to
    /// complete the directory and learn their clocks.
    pub(super) fn send_status_requests(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let leader = self.consensus.leader().filter(|leader| **leader != self.options.id).cloned();
        if !self.contact.is_current()
            && now >= self.next_leader_request_at
            && let Some(leader) = leader
        {
            self.next_leader_request_at = now + LEADER_REQUEST_INTERVAL;
            self.send_status_request(now, leader, false, out);
        }
        if now < self.next_sync_request_at {
            return;
        }
        let mut names: Vec<InstanceId> = self.peers.names().cloned().collect();
        names.sort_unstable();
        let is_complete = self.contact.is_directory_complete();
        let are_clocks_known = names.iter().all(|name| self.peers.is_clock_known(now, name));
        self.next_sync_request_at =
            now + if is_complete && are_clocks_known { CLOCK_REQUEST_INTERVAL } else { SYNC_REQUEST_INTERVAL };
        let full_from = (!is_complete && !names.is_empty()).then(|| self.full_requests % names.len());
        self.full_requests += usize::from(full_from.is_some());
        for (position, name) in names.into_iter().enumerate() {
            self.send_status_request(now, name, full_from == Some(position), out);
        }
    }

    pub(super) fn send_status_request(
        &mut self,
        now: Instant,
        to: InstanceId,
        include_records: bool,
        out: &mut Vec<ReplicaAction>,
    ) {
        let number = self.next_status_request;
        self.next_status_request += 1;
        self.peers.record_request(now, &to, number);
        let request = StatusRequest { number, include_records, data_centre: self.options.data_centre.clone() };
        out.push(ReplicaAction::Send { to: to.clone(), message: FleetMessage::StatusRequest(request) });
        let message = FleetMessage::Capabilities { level: self.own_level(now) };
        out.push(ReplicaAction::Send { to, message });
    }

    pub(super) fn handle_status_request(
        &mut self,
        now: Instant,
        from: InstanceId,
        request: StatusRequest,
        out: &mut Vec<ReplicaAction>,
    ) {
        self.peers.set_data_centre(&from, request.data_centre);
        let is_complete = self.contact.is_or_was_complete(now);
        let mut replicas = self.peers.recently_heard(now);
        replicas.truncate(MAX_REPLICAS);
        let response = StatusResponse {
            echo: request.number,
            clock_ms: self.clock_ms(now),
            is_leading: self.consensus.is_leader() && self.is_current(),
            is_complete,
            commit_index: self.consensus.commit_index(),
            data_centre: self.options.data_centre.clone(),
            replicas,
            records: (request.include_records && is_complete).then(|| self.directory.all_records(now)),
        };
        out.push(ReplicaAction::Send { to: from.clone(), message: FleetMessage::StatusResponse(response) });
        // The leader asks again those whose statement it lacks.
        let message = FleetMessage::Capabilities { level: self.own_level(now) };
        out.push(ReplicaAction::Send { to: from, message });
    }

    pub(super) fn handle_status_response(
        &mut self,
        now: Instant,
        from: InstanceId,
        response: StatusResponse,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !self.peers.record_response(now, &from, response.echo, response.clock_ms) {
            return;
        }
        self.record_peer_commit(&from, response.commit_index);
        self.peers.set_data_centre(&from, response.data_centre);
        for name in response.replicas {
            self.peers.learn(now, name);
        }
        // An answer to a request sent before contact was lost says nothing about the time since then.
        if response.echo < self.contact.min_request {
            return;
        }
        if response.is_leading && self.consensus.leader() == Some(&from) {
            self.contact.leader_responded(response.commit_index);
        }
        let Some(records) = response.records else { return };
        let Some(age) = self.peers.age(now, &from, response.clock_ms) else { return };
        let named: FastSet<ServerId> = records.iter().map(|received| received.record.server.clone()).collect();
        for received in records {
            self.merge_record(now, age, received, MAX_SERVER_SILENCE, out);
        }
        if response.is_complete {
            self.contact.received_full_directory();
            // While this replica was frozen or partitioned, the others removed the servers that are missing here.
            let is_named = |server: &ServerId, _: &InstanceId| named.contains(server);
            let mut logs = Vec::new();
            self.directory.remove_timed_out(now, self.options.server_timeout, is_named, &mut logs);
            out.extend(logs.into_iter().map(ReplicaAction::Log));
            self.directory.confirm_restored(now, &named);
        }
    }

    pub(super) fn handle_records(
        &mut self,
        now: Instant,
        from: InstanceId,
        records: Records,
        out: &mut Vec<ReplicaAction>,
    ) {
        // A message of unknown age may have been queued in a socket. Its contents will be sent again.
        let Some(age) = self.peers.age(now, &from, records.clock_ms) else {
            self.next_sync_request_at = self.next_sync_request_at.min(now + SYNC_REQUEST_INTERVAL);
            return;
        };
        self.record_peer_commit(&from, records.commit_index);
        for relay in records.relays {
            self.relays.record(now, &relay.entry, Some(relay.address), false);
        }
        if let Some(entries) = records.entries {
            self.compare_suspects(now, from.clone(), records.suspects, out);
            self.peers.set_entries(now, &from, entries);
        }
        if self.consensus.leader() == Some(&from) {
            self.contact.leader_committed(now, records.commit_index, self.consensus.commit_index());
        }
        for received in records.changed {
            let server = received.record.server.clone();
            let is_changed =
                self.merge_record(now, age, received, self.options.server_timeout, out) == AnnouncementOutcome::Changed;
            // The leader forwards records between replicas that have no connection to each other.
            if is_changed && self.consensus.is_leader() {
                self.broadcast_record(now, &server, Some(&from), out);
            }
        }
        let mut requested = Vec::new();
        for renewal in records.renewed {
            let received_at = since(now, age + millis(renewal.age_ms));
            if self.directory.renew(&renewal, &from, received_at) && requested.len() < MAX_REQUESTED_RECORDS {
                requested.push(renewal.server);
            }
        }
        if !requested.is_empty() {
            out.push(ReplicaAction::Send { to: from, message: FleetMessage::RecordRequest(requested) });
        }
    }

    /// Applies a record that another replica received, unless it is too old. In that case it either has been removed by
    /// the others or will be renewed soon.
    fn merge_record(
        &mut self,
        now: Instant,
        age: Duration,
        received: ReceivedRecord,
        limit: Duration,
        out: &mut Vec<ReplicaAction>,
    ) -> AnnouncementOutcome {
        let age = age + millis(received.age_ms);
        if age >= limit || !received.record.is_valid() || received.received_by.len() > MAX_NAME_BYTES {
            return AnnouncementOutcome::Stale;
        }
        self.apply_record(
            now,
            received.record,
            Some(received.content_sequence),
            (received.received_by, since(now, age)),
            out,
        )
    }

    pub(super) fn handle_record_request(
        &mut self,
        now: Instant,
        from: InstanceId,
        servers: Vec<ServerId>,
        out: &mut Vec<ReplicaAction>,
    ) {
        let records: Vec<_> = servers.iter().filter_map(|server| self.directory.received_record(now, server)).collect();
        if !records.is_empty() {
            let message = self.records_message(now, None, records);
            out.push(ReplicaAction::Send { to: from, message: FleetMessage::Records(message) });
        }
    }

    /// Returns the replicas to report to entries.
    pub(super) fn replica_names(&self, now: Instant) -> Vec<ReplicaName> {
        let mut names = self.peers.recently_heard(now);
        names.truncate(super::MAX_REPLICA_NAMES);
        names
    }
}

fn millis(time: u32) -> Duration {
    Duration::from_millis(u64::from(time))
}

/// Returns the time `age` before `now`, or `now` if that cannot be represented.
fn since(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
