//! The exchange of slot messages with one peer.

use {
    super::{
        LEASE_DURATION, MAX_SENT_TIMES, MIN_MESSAGE_INTERVAL, NameHash, Outbox, RENEW_AFTER, RETRANSMIT_INTERVAL,
        SILENT_RETRANSMIT_INTERVAL, SlotHeader, name_hash,
    },
    crate::{collections::FastSet, ids::Incarnation},
    std::{
        collections::{BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Result of processing the header of a message from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// The message is outdated or was sent to an earlier process; it is ignored.
    Dropped,
    /// The peer is a new process; the rest of the message is ignored.
    New,
    /// The message is valid.
    Current {
        /// The peer is a new process.
        is_new: bool,
        /// The peer has revoked all permits that it had granted.
        is_revoked: bool,
        /// The reports in the message belong to the current epoch.
        is_current_epoch: bool,
    },
}

/// Sequence numbers, acknowledgements and leases between this instance and one peer, in both roles.
#[derive(Debug, Default)]
pub(super) struct Link {
    incarnation: Option<Incarnation>,
    last_received: u64,
    sequence: u64,
    sent_times: VecDeque<(u64, Instant)>,
    lease_start: Option<Instant>,
    last_heard: Option<Instant>,
    epoch: u32,
    peer_epoch: u32,
    /// Whether the peer is this instance itself; messages are then sent without waiting for further changes.
    pub(super) is_local: bool,
    /// Holdings that must be reported to the peer.
    pub(super) holdings: Outbox,
    /// Grants that must be sent to the peer.
    pub(super) grants: Outbox,
    /// Services that the next messages report to the peer, even without changed holdings.
    pub(super) due_reports: BTreeSet<NameHash>,
    /// Services for which the next messages send a grant to the peer, even without changed permits.
    pub(super) due_replies: BTreeSet<NameHash>,
    /// Time of the last message to the peer.
    pub(super) last_sent: Option<Instant>,
    /// Time at which the next message is due, if any.
    pub(super) send_at: Option<Instant>,
}

impl Link {
    /// Creates the link of an instance to itself.
    pub(super) fn local() -> Self {
        Self { is_local: true, ..Self::default() }
    }

    /// Returns the sequence number of the next message.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence + 1
    }

    /// Returns whether permits granted by the peer may be used. The lease starts when the message that the peer
    /// acknowledged was sent, which is earlier than the start of the lease at the peer.
    pub(super) fn has_lease(&self, now: Instant) -> bool {
        self.lease_start.is_some_and(|start| now < start + LEASE_DURATION)
    }

    /// Returns the end of the lease of the permits granted by the peer.
    pub(super) fn lease_end(&self) -> Option<Instant> {
        self.lease_start.map(|start| start + LEASE_DURATION)
    }

    /// Returns whether the peer has been silent for the duration of its lease.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|last_heard| now >= last_heard + LEASE_DURATION)
    }

    /// Revokes all permits of the peer, which must send a full report.
    pub(super) fn revoke(&mut self) {
        self.last_heard = None;
        self.epoch += 1;
        self.grants.clear();
    }

    /// Removes all services except the given ones.
    pub(super) fn retain(&mut self, services: &FastSet<NameHash>) {
        let next = self.next_sequence();
        self.holdings.retain(services, next);
        self.grants.retain(services, next);
    }

    /// Schedules a message to the peer within a time, but not earlier than the minimum interval after the last message,
    /// so that changes are batched.
    pub(super) fn schedule(&mut self, now: Instant, within: Duration) {
        let earliest = self.last_sent.map_or(now, |sent| sent + MIN_MESSAGE_INTERVAL);
        let send_at = if self.is_local { now } else { earliest.max(now + within) };
        self.send_at = Some(self.send_at.map_or(send_at, |earlier| earlier.min(send_at)));
    }

    /// Returns whether a message is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.send_at.is_some_and(|send_at| now >= send_at)
    }

    /// Returns whether unacknowledged records must be retransmitted.
    pub(super) fn is_retransmit_due(&self, now: Instant) -> bool {
        let is_recently_heard = self.last_heard.is_some_and(|last_heard| now < last_heard + LEASE_DURATION);
        let interval = if is_recently_heard { RETRANSMIT_INTERVAL } else { SILENT_RETRANSMIT_INTERVAL };
        self.last_sent.is_none_or(|sent| now >= sent + interval)
    }

    /// Returns whether the lease must be renewed.
    pub(super) fn needs_renewal(&self, now: Instant) -> bool {
        self.lease_start.is_none_or(|start| now >= start + RENEW_AFTER)
    }

    /// Returns whether there are records that the peer has not acknowledged.
    pub(super) fn has_unacknowledged(&self) -> bool {
        !self.holdings.is_empty() || !self.grants.is_empty()
    }

    /// Creates the header of the next message and records when it is sent.
    pub(super) fn next_header(&mut self, now: Instant, incarnation: Incarnation, wants_ack: bool) -> SlotHeader {
        self.sequence += 1;
        self.sent_times.push_back((self.sequence, now));
        if self.sent_times.len() > MAX_SENT_TIMES {
            self.sent_times.pop_front();
        }
        self.last_sent = Some(now);
        self.send_at = None;
        SlotHeader {
            incarnation,
            session: self.incarnation.map_or(0, name_hash::session),
            sequence: self.sequence,
            ack: self.last_received,
            epoch: self.epoch,
            echo: self.peer_epoch,
            wants_ack,
        }
    }

    /// Processes the header of a message from the peer.
    pub(super) fn receive_header(&mut self, now: Instant, own: Incarnation, header: &SlotHeader) -> Received {
        let known = self.incarnation;
        if known.is_some_and(|known| header.incarnation < known) {
            return Received::Dropped;
        }
        let is_new = known != Some(header.incarnation);
        if is_new && known.is_some() {
            // The new process has no state of the exchange with the old one. Sequence numbers continue.
            *self = Self { sequence: self.sequence, is_local: self.is_local, ..Self::default() };
        }
        self.incarnation = Some(header.incarnation);
        let is_for_earlier_process = header.session != 0 && header.session != name_hash::session(own);
        if is_for_earlier_process {
            // The peer has not noticed that this process is new; any message informs it.
            self.schedule(now, MIN_MESSAGE_INTERVAL);
        }
        if header.sequence <= self.last_received || is_for_earlier_process {
            return if is_new { Received::New } else { Received::Dropped };
        }
        self.last_received = header.sequence;
        self.last_heard = Some(now);
        if header.session != 0 {
            self.acknowledge(header.ack);
        }
        let is_revoked = header.epoch != self.peer_epoch;
        self.peer_epoch = header.epoch;
        Received::Current { is_new, is_revoked, is_current_epoch: header.echo == self.epoch }
    }

    /// Processes the acknowledgement in a message, which is valid even if the rest of the message is outdated.
    pub(super) fn receive_ack(&mut self, own: Incarnation, header: &SlotHeader) {
        if self.incarnation == Some(header.incarnation) && header.session == name_hash::session(own) {
            let next = self.next_sequence();
            self.holdings.confirm(header.ack, next);
        }
    }

    fn acknowledge(&mut self, ack: u64) {
        while let Some((sequence, at)) = self.sent_times.front().copied()
            && sequence <= ack
        {
            self.sent_times.pop_front();
            if sequence == ack {
                self.lease_start = Some(self.lease_start.map_or(at, |start| start.max(at)));
            }
        }
    }
}
