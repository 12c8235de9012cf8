//! Membership state machine.

use {
    super::{
        Echo, Heartbeat, MembershipAction, MembershipEvent, MembershipOptions, Status,
        peer::{Liveness, Peer},
    },
    crate::{
        collections::FastMap,
        freshness::PeerReport,
        ids::{Incarnation, InstanceId},
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of sent heartbeats whose send times are kept. This covers 16 s at the normal interval, and still more than
/// the time for which an echo counts if some heartbeats are sent early.
const MAX_SENT: usize = 64;

/// Failure detector for the instances of a fixed roster, based on heartbeats.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    started: Instant,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
    last_sent_to_all: Option<Instant>,
    status: Status,
    peers: FastMap<InstanceId, Peer>,
}

impl Membership {
    /// Creates a failure detector that has not heard from any peer.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::membership::{Membership, MembershipEvent, MembershipOptions},
    ///     std::time::Instant,
    /// };
    /// let now = Instant::now();
    /// let options = MembershipOptions { peers: vec!["e2".into()], ..Default::default() };
    /// let mut membership = Membership::new(options, now);
    /// let mut actions = Vec::new();
    /// membership.handle(now, MembershipEvent::Tick, &mut actions);
    /// assert_eq!(actions.len(), 1);
    /// assert!(!membership.is_live(now, "e2"));
    /// ```
    pub fn new(options: MembershipOptions, now: Instant) -> Self {
        let peers = options.peers.iter().map(|id| (id.clone(), Peer::new(now))).collect();
        Self {
            options,
            started: now,
            sequence: 0,
            sent: VecDeque::new(),
            last_sent_to_all: None,
            status: Status::default(),
            peers,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: MembershipEvent, actions: &mut Vec<MembershipAction>) {
        match event {
            MembershipEvent::Tick => {
                let interval = self.options.heartbeat_interval;
                if self.last_sent_to_all.is_none_or(|last| now.saturating_duration_since(last) >= interval) {
                    self.send_to_all(now, false, actions);
                }
                self.update_liveness(now, actions);
            }
            MembershipEvent::Receive { from, heartbeat } => self.receive(now, from, heartbeat, actions),
            MembershipEvent::Report(status) => self.status = status,
            MembershipEvent::SendNow => self.send_to_all(now, false, actions),
            MembershipEvent::RequestHeartbeats => self.send_to_all(now, true, actions),
        }
    }

    /// Returns whether a peer was heard from within `lost_after` before `now`.
    pub fn is_live(&self, now: Instant, peer: &str) -> bool {
        let heard = self.peers.get(peer).and_then(|peer| peer.last_heard_at);
        heard.is_some_and(|heard| now.saturating_duration_since(heard) < self.options.lost_after)
    }

    /// Returns the time since a peer was last heard from, or `None` if it never was.
    pub fn silence(&self, now: Instant, peer: &str) -> Option<Duration> {
        let heard = self.peers.get(peer).and_then(|peer| peer.last_heard_at);
        heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Returns the live instances, including this one, sorted by name.
    pub fn live(&self, now: Instant) -> Vec<InstanceId> {
        let mut live: Vec<_> = self.peers.keys().filter(|peer| self.is_live(now, peer)).cloned().collect();
        live.push(self.options.id.clone());
        live.sort_unstable();
        live
    }

    /// Returns the peers that are not live, sorted by name.
    pub fn lost(&self, now: Instant) -> Vec<InstanceId> {
        let mut lost: Vec<_> = self.peers.keys().filter(|peer| !self.is_live(now, peer)).cloned().collect();
        lost.sort_unstable();
        lost
    }

    /// Returns the latest report of each peer that was heard from.
    pub fn reports(&self) -> impl Iterator<Item = PeerReport<'_>> {
        self.peers.iter().filter_map(|(id, peer)| {
            Some(PeerReport {
                peer: id,
                last_heard_at: peer.last_heard_at?,
                status: &peer.status,
                history: &peer.history,
            })
        })
    }

    /// Returns the latest status that a peer reported.
    pub fn status(&self, peer: &str) -> Option<&Status> {
        self.peers.get(peer).filter(|peer| peer.last_heard_at.is_some()).map(|peer| &peer.status)
    }

    /// Returns the newest known incarnation of a peer.
    pub fn incarnation(&self, peer: &str) -> Option<Incarnation> {
        self.peers.get(peer).filter(|peer| peer.incarnation > 0).map(|peer| peer.incarnation)
    }

    /// Returns the age of a message that a peer sent when its clock showed `clock_ms`. Returns `None` if the age is
    /// unknown because the message is from another incarnation or no fresh heartbeat has been received yet.
    pub fn age(&self, now: Instant, peer: &str, incarnation: Incarnation, clock_ms: u64) -> Option<Duration> {
        let peer = self.peers.get(peer).filter(|peer| peer.incarnation == incarnation)?;
        peer.clock.age(now, clock_ms)
    }

    /// Returns the local clock value to put into a message.
    pub fn clock_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_millis() as u64
    }

    fn receive(&mut self, now: Instant, from: InstanceId, heartbeat: Heartbeat, actions: &mut Vec<MembershipAction>) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if heartbeat.incarnation < peer.incarnation {
            return;
        }
        if heartbeat.incarnation > peer.incarnation {
            if peer.incarnation > 0 {
                actions.push(MembershipAction::Restarted(from.clone(), heartbeat.incarnation));
            }
            peer.restart(now, heartbeat.incarnation);
        } else if heartbeat.sequence <= peer.sequence {
            return;
        }
        let own = self.options.incarnation;
        let echo = heartbeat.echo.filter(|echo| echo.incarnation == own).map(|echo| echo.sequence);
        let sent = echo.and_then(|echo| self.sent.iter().find(|(sequence, _)| *sequence == echo));
        let is_reply_requested = heartbeat.reply_requested;
        peer.record_heartbeat(now, heartbeat, sent.map(|(_, at)| *at));
        self.update_liveness(now, actions);
        if is_reply_requested {
            self.next_sequence(now);
            self.send(now, &from, false, actions);
        }
    }

    /// Updates the liveness of every peer and reports changes.
    fn update_liveness(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for id in &self.options.peers {
            let Some(peer) = self.peers.get_mut(id) else { continue };
            let silence = peer.last_heard_at.map(|heard| now.saturating_duration_since(heard));
            let liveness = match silence {
                // A restarted peer counts as lost until its new incarnation has been heard from.
                None if peer.liveness == Liveness::Unknown => Liveness::Unknown,
                None => Liveness::Lost,
                Some(silence) if silence >= self.options.lost_after => Liveness::Lost,
                Some(silence) if silence >= self.options.suspect_after => Liveness::Suspected,
                Some(_) => Liveness::Live,
            };
            if liveness == peer.liveness {
                continue;
            }
            peer.liveness = liveness;
            actions.push(match liveness {
                Liveness::Unknown => continue,
                Liveness::Live => MembershipAction::Returned(id.clone()),
                Liveness::Suspected => MembershipAction::Suspected(id.clone()),
                Liveness::Lost => MembershipAction::Lost(id.clone()),
            });
        }
    }

    fn send_to_all(&mut self, now: Instant, reply_requested: bool, actions: &mut Vec<MembershipAction>) {
        self.last_sent_to_all = Some(now);
        self.next_sequence(now);
        for id in &self.options.peers {
            self.send(now, id, reply_requested, actions);
        }
    }

    fn next_sequence(&mut self, now: Instant) {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    fn send(&self, now: Instant, to: &InstanceId, reply_requested: bool, actions: &mut Vec<MembershipAction>) {
        let peer = self.peers.get(to).filter(|peer| peer.incarnation > 0);
        let echo = peer.map(|peer| Echo { incarnation: peer.incarnation, sequence: peer.sequence });
        let heartbeat = Heartbeat {
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            clock_ms: self.clock_ms(now),
            echo,
            reply_requested,
            status: self.status.clone(),
        };
        actions.push(MembershipAction::Send { to: to.clone(), heartbeat });
    }
}
