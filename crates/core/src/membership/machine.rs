//! The state machine of membership.

use {
    super::{
        Echo, Heartbeat, MembershipAction, MembershipEvent, MembershipOptions, Status,
        peer::{Peer, Phase},
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

/// Own heartbeats whose times are remembered; 16 s of them at the normal interval, and more than the time
/// for which an echo counts if some were sent early.
const MAX_SENT: usize = 64;

/// Heartbeats between the instances of a fixed roster.
#[derive(Clone, Debug)]
pub struct Membership {
    options: MembershipOptions,
    started: Instant,
    sequence: u64,
    sent: VecDeque<(u64, Instant)>,
    last_round: Option<Instant>,
    status: Status,
    peers: FastMap<InstanceId, Peer>,
}

impl Membership {
    /// Starts with no peer heard.
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
            last_round: None,
            status: Status::default(),
            peers,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Instant, event: MembershipEvent, actions: &mut Vec<MembershipAction>) {
        match event {
            MembershipEvent::Tick => {
                let interval = self.options.heartbeat_interval;
                if self.last_round.is_none_or(|last| now.saturating_duration_since(last) >= interval) {
                    self.send_round(now, false, actions);
                }
                self.judge(now, actions);
            }
            MembershipEvent::Receive { from, heartbeat } => self.receive(now, from, heartbeat, actions),
            MembershipEvent::Report(status) => self.status = status,
            MembershipEvent::Hasten => self.send_round(now, false, actions),
            MembershipEvent::Prompt => self.send_round(now, true, actions),
        }
    }

    /// Returns whether a peer was heard within the second limit, judged at `now`.
    pub fn is_live(&self, now: Instant, peer: &str) -> bool {
        let heard = self.peers.get(peer).and_then(|peer| peer.heard);
        heard.is_some_and(|heard| now.saturating_duration_since(heard) < self.options.lost_after)
    }

    /// Returns for how long nothing fresh was heard of a peer; nothing if it was never heard.
    pub fn silence(&self, now: Instant, peer: &str) -> Option<Duration> {
        let heard = self.peers.get(peer).and_then(|peer| peer.heard);
        heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Returns the live instances, this one included, in order of their names.
    pub fn live(&self, now: Instant) -> Vec<InstanceId> {
        let mut live: Vec<_> = self.peers.keys().filter(|peer| self.is_live(now, peer)).cloned().collect();
        live.push(self.options.id.clone());
        live.sort_unstable();
        live
    }

    /// Returns the peers that are not live, in order of their names.
    pub fn lost(&self, now: Instant) -> Vec<InstanceId> {
        let mut lost: Vec<_> = self.peers.keys().filter(|peer| !self.is_live(now, peer)).cloned().collect();
        lost.sort_unstable();
        lost
    }

    /// Returns what each peer that was heard last reported.
    pub fn reports(&self) -> impl Iterator<Item = PeerReport<'_>> {
        self.peers.iter().filter_map(|(id, peer)| {
            Some(PeerReport { peer: id, last_heard_at: peer.heard?, status: &peer.status, history: &peer.history })
        })
    }

    /// Returns what a peer last reported.
    pub fn status(&self, peer: &str) -> Option<&Status> {
        self.peers.get(peer).filter(|peer| peer.heard.is_some()).map(|peer| &peer.status)
    }

    /// Returns the incarnation under which a peer was last heard.
    pub fn incarnation(&self, peer: &str) -> Option<Incarnation> {
        self.peers.get(peer).filter(|peer| peer.incarnation > 0).map(|peer| peer.incarnation)
    }

    /// Returns the age of a message that a peer sent when its clock showed `clock_ms`, or nothing if that
    /// cannot be told because the message is of another incarnation or no fresh heartbeat was received yet.
    pub fn age(&self, now: Instant, peer: &str, incarnation: Incarnation, clock_ms: u64) -> Option<Duration> {
        let peer = self.peers.get(peer).filter(|peer| peer.incarnation == incarnation)?;
        peer.clock.age(now, clock_ms)
    }

    /// Returns the reading of the own clock that a message carries.
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
        let prompted = heartbeat.prompt;
        peer.take(now, heartbeat, sent.map(|(_, at)| *at));
        self.judge(now, actions);
        if prompted {
            self.next_sequence(now);
            self.send(now, &from, false, actions);
        }
    }

    /// Reports the peers whose judgement has changed.
    fn judge(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for id in &self.options.peers {
            let Some(peer) = self.peers.get_mut(id) else { continue };
            let silent = peer.heard.map(|heard| now.saturating_duration_since(heard));
            let phase = match silent {
                // A peer that was heard before it restarted is judged by its new incarnation.
                None if peer.phase == Phase::Unknown => Phase::Unknown,
                None => Phase::Lost,
                Some(silent) if silent >= self.options.lost_after => Phase::Lost,
                Some(silent) if silent >= self.options.suspect_after => Phase::Suspected,
                Some(_) => Phase::Live,
            };
            if phase == peer.phase {
                continue;
            }
            peer.phase = phase;
            actions.push(match phase {
                Phase::Unknown => continue,
                Phase::Live => MembershipAction::Returned(id.clone()),
                Phase::Suspected => MembershipAction::Suspected(id.clone()),
                Phase::Lost => MembershipAction::Lost(id.clone()),
            });
        }
    }

    fn send_round(&mut self, now: Instant, prompt: bool, actions: &mut Vec<MembershipAction>) {
        self.last_round = Some(now);
        self.next_sequence(now);
        for id in &self.options.peers {
            self.send(now, id, prompt, actions);
        }
    }

    fn next_sequence(&mut self, now: Instant) {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    fn send(&self, now: Instant, to: &InstanceId, prompt: bool, actions: &mut Vec<MembershipAction>) {
        let peer = self.peers.get(to).filter(|peer| peer.incarnation > 0);
        let echo = peer.map(|peer| Echo { incarnation: peer.incarnation, sequence: peer.sequence });
        let heartbeat = Heartbeat {
            incarnation: self.options.incarnation,
            sequence: self.sequence,
            clock_ms: self.clock_ms(now),
            echo,
            prompt,
            status: self.status.clone(),
        };
        actions.push(MembershipAction::Send { to: to.clone(), heartbeat });
    }
}
