//! Announcements, and what replicas tell each other of them.

use {
    super::{Replica, ReplicaAction},
    crate::{
        collections::FastSet,
        fleet::{
            FleetMessage, Heard, MAX_NAME_BYTES, OUT_OF_REACH, ReceivedRecord, Records, ReplicaAnswer, ReplicaName,
            ServerRecord, StatusRequest, StatusResponse,
        },
        ids::{InstanceId, ServerId},
    },
    std::time::{Duration, Instant},
};

/// Time between questions to the leader while this replica is not current.
const ASK_LEADER: Duration = Duration::from_millis(50);
/// Time between questions to all replicas while the directory is not complete.
const ASK_ALL: Duration = Duration::from_millis(500);
/// Time between questions otherwise, by which the clocks of the others stay known.
const ASK_CLOCKS: Duration = Duration::from_secs(10);
/// Silence of a server after which other replicas are asked for it: two announcements and a batch.
const MISSED_AFTER: Duration = Duration::from_millis(3_500);
/// Bytes of renewals in one message, so that it fits a datagram.
const RENEWED_BYTES: usize = 900;
/// Most records that are asked for at once.
pub(super) const MAX_WANTED: usize = 256;

impl Replica {
    pub(super) fn announce(
        &mut self,
        now: Instant,
        id: u64,
        record: ServerRecord,
        wall_ms: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !record.is_valid() {
            return self.answer(id, ReplicaAnswer::Invalid(Vec::new()), out);
        }
        let (server, incarnation, is_draining) = (record.server.clone(), record.incarnation, record.is_draining);
        let heard = self.hear(now, record, None, (self.options.id.clone(), now), out);
        match heard {
            Heard::Full => return self.answer(id, ReplicaAnswer::Unavailable, out),
            Heard::Changed => {
                self.tell_replicas(now, &server, None, out);
                self.changed.insert(server.clone());
            }
            Heard::Renewed | Heard::Old => {}
        }
        // The renewal of a changed record lets a replica that missed the change ask for it.
        if heard != Heard::Old {
            self.renewed.insert(server.clone());
        }
        if is_draining {
            return self.depart(now, id, server, Some(incarnation), wall_ms, out);
        }
        let is_cut_off = self.contact.is_cut_off(now);
        let answer = if is_cut_off { ReplicaAnswer::Unavailable } else { ReplicaAnswer::Acknowledged };
        self.answer(id, answer, out);
    }

    fn hear(
        &mut self,
        now: Instant,
        record: ServerRecord,
        content: Option<u64>,
        heard: (InstanceId, Instant),
        out: &mut Vec<ReplicaAction>,
    ) -> Heard {
        let departed = self.ledger.departed_incarnation(&record.server);
        let mut logs = Vec::new();
        let heard = self.directory.hear(now, record, content, heard, departed, &mut logs);
        out.extend(logs.into_iter().map(ReplicaAction::Log));
        heard
    }

    /// Tells the other replicas of a new or changed record.
    fn tell_replicas(
        &self,
        now: Instant,
        server: &ServerId,
        except: Option<&InstanceId>,
        out: &mut Vec<ReplicaAction>,
    ) {
        let Some(record) = self.directory.heard(now, server) else { return };
        let message = self.records_message(now, None, vec![record]);
        for to in self.peers.names().filter(|name| Some(*name) != except) {
            out.push(ReplicaAction::Send { to: to.clone(), message: FleetMessage::Records(message.clone()) });
        }
    }

    fn records_message(&self, now: Instant, entries: Option<u32>, changed: Vec<ReceivedRecord>) -> Records {
        Records {
            clock_ms: self.clock_ms(now),
            entries,
            commit: self.consensus.commit_index(),
            changed,
            renewed: Vec::new(),
        }
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        u64::try_from(now.saturating_duration_since(self.started).as_millis()).unwrap_or(u64::MAX)
    }

    /// Tells the other replicas which servers announced themselves here since the last batch, and how many
    /// entries poll this replica.
    pub(super) fn send_batch(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let entries = Some(self.subscribers.len(now));
        let mut messages = vec![self.records_message(now, entries, Vec::new())];
        let mut bytes = 0;
        let renewed = std::mem::take(&mut self.renewed);
        for renewal in renewed.iter().filter_map(|server| self.directory.renewal(now, server)) {
            // 40 bytes are the numbers of a renewal at their longest.
            let size = renewal.server.len() + 40;
            if bytes + size > RENEWED_BYTES {
                messages.push(self.records_message(now, None, Vec::new()));
                bytes = 0;
            }
            bytes += size;
            if let Some(last) = messages.last_mut() {
                last.renewed.push(renewal);
            }
        }
        // A renewal makes a replica that missed a change ask for it, and each of these messages may be lost as well.
        // So a change is told twice.
        for heard in std::mem::take(&mut self.changed).iter().filter_map(|server| self.directory.heard(now, server)) {
            messages.push(self.records_message(now, None, vec![heard]));
        }
        let mut missed = self.directory.silent(now, MISSED_AFTER);
        missed.truncate(MAX_WANTED);
        let messages: Vec<_> = messages.into_iter().map(FleetMessage::Records).collect();
        // A batch may have been lost, or the replica that heard a server has no path to this one.
        let wanted = (!missed.is_empty()).then_some(FleetMessage::RecordRequest(missed));
        for to in self.peers.names() {
            for message in messages.iter().chain(&wanted) {
                out.push(ReplicaAction::Send { to: to.clone(), message: message.clone() });
            }
        }
    }

    /// Asks other replicas whether they lead, for their directory and their clock, as far as that is needed.
    pub(super) fn ask(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let leader = self.consensus.leader().filter(|leader| **leader != self.options.id).cloned();
        if !self.contact.is_current()
            && now >= self.ask_leader_at
            && let Some(leader) = leader
        {
            self.ask_leader_at = now + ASK_LEADER;
            self.send_ask(now, leader, false, out);
        }
        if now < self.ask_all_at {
            return;
        }
        let mut names: Vec<InstanceId> = self.peers.names().cloned().collect();
        names.sort_unstable();
        let is_complete = self.contact.is_directory_complete();
        let are_dated = names.iter().all(|name| self.peers.is_dated(now, name));
        self.ask_all_at = now + if is_complete && are_dated { ASK_CLOCKS } else { ASK_ALL };
        let whole = (!is_complete && !names.is_empty()).then(|| self.asked_whole % names.len());
        self.asked_whole += usize::from(whole.is_some());
        for (position, name) in names.into_iter().enumerate() {
            self.send_ask(now, name, whole == Some(position), out);
        }
    }

    pub(super) fn send_ask(
        &mut self,
        now: Instant,
        to: InstanceId,
        include_records: bool,
        out: &mut Vec<ReplicaAction>,
    ) {
        let number = self.next_ask;
        self.next_ask += 1;
        self.peers.ask(now, &to, number);
        let ask = StatusRequest { number, include_records, data_centre: self.options.data_centre.clone() };
        out.push(ReplicaAction::Send { to, message: FleetMessage::StatusRequest(ask) });
    }

    pub(super) fn asked(&mut self, now: Instant, from: InstanceId, ask: StatusRequest, out: &mut Vec<ReplicaAction>) {
        self.peers.set_data_centre(&from, ask.data_centre);
        let is_complete = self.contact.is_or_was_settled(now);
        let greeting = StatusResponse {
            echo: ask.number,
            clock_ms: self.clock_ms(now),
            is_leading: self.consensus.is_leader() && self.is_current(),
            is_complete,
            commit: self.consensus.commit_index(),
            data_centre: self.options.data_centre.clone(),
            replicas: self.peers.heard(now),
            records: (ask.include_records && is_complete).then(|| self.directory.all(now)),
        };
        out.push(ReplicaAction::Send { to: from, message: FleetMessage::StatusResponse(greeting) });
    }

    pub(super) fn greeted(
        &mut self,
        now: Instant,
        from: InstanceId,
        greeting: StatusResponse,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !self.peers.answered(now, &from, greeting.echo, greeting.clock_ms) {
            return;
        }
        self.aware(&from, greeting.commit);
        self.peers.set_data_centre(&from, greeting.data_centre);
        for name in greeting.replicas {
            self.peers.learn(now, name);
        }
        // An answer to a question from before contact was lost shows nothing of the time since.
        if greeting.echo < self.contact.asked_from {
            return;
        }
        if greeting.is_leading && self.consensus.leader() == Some(&from) {
            self.contact.greeted_by_leader(greeting.commit);
        }
        let Some(records) = greeting.records else { return };
        let Some(age) = self.peers.age(now, &from, greeting.clock_ms) else { return };
        let named: FastSet<ServerId> = records.iter().map(|heard| heard.record.server.clone()).collect();
        for heard in records {
            self.merge(now, age, heard, OUT_OF_REACH, out);
        }
        if greeting.is_complete {
            self.contact.received_whole();
            // While this replica was frozen or cut off the others have removed what is silent and not named.
            let is_named = |server: &ServerId, _: &InstanceId| named.contains(server);
            let mut logs = Vec::new();
            self.directory.remove_silent(now, self.options.server_silence, is_named, &mut logs);
            out.extend(logs.into_iter().map(ReplicaAction::Log));
            self.directory.confirm_restored(now, &named);
        }
    }

    pub(super) fn records(&mut self, now: Instant, from: InstanceId, records: Records, out: &mut Vec<ReplicaAction>) {
        // A message that cannot be dated may have waited in a socket. What it says follows with the next one.
        let Some(age) = self.peers.age(now, &from, records.clock_ms) else {
            self.ask_all_at = self.ask_all_at.min(now + ASK_ALL);
            return;
        };
        self.aware(&from, records.commit);
        if let Some(entries) = records.entries {
            self.peers.set_entries(now, &from, entries);
        }
        if self.consensus.leader() == Some(&from) {
            self.contact.committed(now, records.commit, self.consensus.commit_index());
        }
        for heard in records.changed {
            let server = heard.record.server.clone();
            let is_changed = self.merge(now, age, heard, self.options.server_silence, out) == Heard::Changed;
            // Two replicas without a path to each other learn of each other's servers from the leader.
            if is_changed && self.consensus.is_leader() {
                self.tell_replicas(now, &server, Some(&from), out);
            }
        }
        let mut wanted = Vec::new();
        for renewal in records.renewed {
            let heard_at = since(now, age + millis(renewal.age_ms));
            if self.directory.renew(&renewal, &from, heard_at) && wanted.len() < MAX_WANTED {
                wanted.push(renewal.server);
            }
        }
        if !wanted.is_empty() {
            out.push(ReplicaAction::Send { to: from, message: FleetMessage::RecordRequest(wanted) });
        }
    }

    /// Takes a record that another replica heard, unless it is too old: it was removed by the others in the
    /// meantime, or is renewed soon.
    fn merge(
        &mut self,
        now: Instant,
        age: Duration,
        heard: ReceivedRecord,
        limit: Duration,
        out: &mut Vec<ReplicaAction>,
    ) -> Heard {
        let age = age + millis(heard.age_ms);
        if age >= limit || !heard.record.is_valid() || heard.by.len() > MAX_NAME_BYTES {
            return Heard::Old;
        }
        self.hear(now, heard.record, Some(heard.content), (heard.by, since(now, age)), out)
    }

    pub(super) fn wanted(
        &mut self,
        now: Instant,
        from: InstanceId,
        servers: Vec<ServerId>,
        out: &mut Vec<ReplicaAction>,
    ) {
        let records: Vec<_> = servers.iter().filter_map(|server| self.directory.heard(now, server)).collect();
        if !records.is_empty() {
            let message = self.records_message(now, None, records);
            out.push(ReplicaAction::Send { to: from, message: FleetMessage::Records(message) });
        }
    }

    /// Names of replicas for entries.
    pub(super) fn names(&self, now: Instant) -> Vec<ReplicaName> {
        let mut names = self.peers.heard(now);
        names.truncate(super::MAX_NAMES);
        names
    }
}

fn millis(time: u32) -> Duration {
    Duration::from_millis(u64::from(time))
}

/// The time before `now`, or the earliest that can be expressed.
fn since(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}
