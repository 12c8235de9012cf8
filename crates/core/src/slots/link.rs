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

/// What a message from a peer means for the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// The message is old, or was meant for an earlier process; nothing in it counts.
    Dropped,
    /// The peer is a new process; nothing else in the message counts.
    New,
    /// The message counts.
    Current {
        /// The peer is a new process.
        is_new: bool,
        /// The peer has taken back every permit that it had granted.
        is_revoked: bool,
        /// The reports in it are of the current epoch.
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
    /// Whether the peer is this instance itself, so that nothing is gained by waiting for further changes.
    pub(super) is_local: bool,
    /// Holdings to be reported to the peer.
    pub(super) holdings: Outbox,
    /// Permits to be granted to the peer.
    pub(super) grants: Outbox,
    /// Services to be reported to the peer.
    pub(super) due_reports: BTreeSet<NameHash>,
    /// Services about which the peer is to be answered.
    pub(super) due_replies: BTreeSet<NameHash>,
    /// Time of the last message to the peer.
    pub(super) last_sent: Option<Instant>,
    /// Time from which on a message is due, if any.
    pub(super) send_at: Option<Instant>,
}

impl Link {
    /// Makes the link of an instance to itself.
    pub(super) fn local() -> Self {
        Self { is_local: true, ..Self::default() }
    }

    /// Number of the next message.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence + 1
    }

    /// Returns whether permits granted by the peer may be used. The lease counts from when the message that
    /// the peer acknowledged was sent, which is before the peer's own count starts.
    pub(super) fn has_lease(&self, now: Instant) -> bool {
        self.lease_start.is_some_and(|start| now < start + LEASE_DURATION)
    }

    /// Returns the end of the lease on permits granted by the peer.
    pub(super) fn lease_end(&self) -> Option<Instant> {
        self.lease_start.map(|start| start + LEASE_DURATION)
    }

    /// Returns whether the peer has been silent for its whole lease.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|last_heard| now >= last_heard + LEASE_DURATION)
    }

    /// Takes back every permit of the peer, which must report anew.
    pub(super) fn revoke(&mut self) {
        self.last_heard = None;
        self.epoch += 1;
        self.grants.clear();
    }

    /// Forgets every service but those given.
    pub(super) fn retain(&mut self, services: &FastSet<NameHash>) {
        let next = self.next_sequence();
        self.holdings.retain(services, next);
        self.grants.retain(services, next);
    }

    /// Asks for a message to the peer within a time, but not sooner after the last one than the time for
    /// which changes are collected.
    pub(super) fn schedule(&mut self, now: Instant, within: Duration) {
        let earliest = self.last_sent.map_or(now, |sent| sent + MIN_MESSAGE_INTERVAL);
        let send_at = if self.is_local { now } else { earliest.max(now + within) };
        self.send_at = Some(self.send_at.map_or(send_at, |earlier| earlier.min(send_at)));
    }

    /// Returns whether a message is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.send_at.is_some_and(|send_at| now >= send_at)
    }

    /// Returns whether the last message was so long ago that what was not acknowledged is to be repeated.
    pub(super) fn is_repeat_due(&self, now: Instant) -> bool {
        let is_recently_heard = self.last_heard.is_some_and(|last_heard| now < last_heard + LEASE_DURATION);
        let interval = if is_recently_heard { RETRANSMIT_INTERVAL } else { SILENT_RETRANSMIT_INTERVAL };
        self.last_sent.is_none_or(|sent| now >= sent + interval)
    }

    /// Returns whether the lease has to be renewed.
    pub(super) fn needs_renewal(&self, now: Instant) -> bool {
        self.lease_start.is_none_or(|start| now >= start + RENEW_AFTER)
    }

    /// Returns whether the peer has yet to acknowledge a record.
    pub(super) fn has_unacknowledged(&self) -> bool {
        !self.holdings.is_empty() || !self.grants.is_empty()
    }

    /// Makes the header of the next message.
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

    /// Takes the header of a message from the peer.
    pub(super) fn receive_header(&mut self, now: Instant, own: Incarnation, header: &SlotHeader) -> Received {
        let known = self.incarnation;
        if known.is_some_and(|known| header.incarnation < known) {
            return Received::Dropped;
        }
        let is_new = known != Some(header.incarnation);
        if is_new && known.is_some() {
            // The new process knows nothing of what was said to the old one; numbers go on rising.
            *self = Self { sequence: self.sequence, is_local: self.is_local, ..Self::default() };
        }
        self.incarnation = Some(header.incarnation);
        let is_for_earlier_process = header.session != 0 && header.session != name_hash::session(own);
        if is_for_earlier_process {
            // The peer has not noticed that this process is new; any message tells it.
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

    /// Takes the acknowledgement of a message, which counts even if the rest of it comes too late.
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
