//! Links between instances: latency, cuts, and rules that lose, delay or repeat messages.

use {
    hemlockford_core::control::{Channel, PeerMessage, Request},
    rand::{RngExt, rngs::SmallRng},
    std::collections::{BTreeMap, BTreeSet},
};

/// Shortest and longest latency of a message, in milliseconds.
const LATENCY_MS: (u64, u64) = (1, 3);

/// Kinds of messages that rules tell apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Heartbeats of membership.
    Heartbeat,
    /// Relays of announcements and questions about them.
    Relay,
    /// Messages of the replicated log that carry entries, votes or their answers.
    Log,
    /// Messages of the replicated log that only show that the leader is alive, and their answers.
    LogHeartbeat,
    /// Forwarded requests and their answers.
    Request,
    /// Changes to install and questions for them.
    Install,
    /// Announcements of servers.
    Announce,
}

impl MessageKind {
    /// Returns the kind of a message.
    pub fn of(message: &PeerMessage) -> Self {
        use hemlockford_core::consensus::MessageBody;
        match message {
            PeerMessage::Heartbeat(_) => Self::Heartbeat,
            PeerMessage::Relay { .. } | PeerMessage::Ask { .. } => Self::Relay,
            PeerMessage::Consensus(message) => match &message.body {
                MessageBody::Append { entries, .. } if entries.is_empty() => Self::LogHeartbeat,
                _ => Self::Log,
            },
            PeerMessage::Request { request: Request::Current, .. } => Self::LogHeartbeat,
            PeerMessage::Request { .. } | PeerMessage::Reply { .. } => Self::Request,
            PeerMessage::Install { .. } | PeerMessage::Fetch { .. } => Self::Install,
        }
    }

    /// Parses the name that scripts use.
    pub fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "heartbeat" => Self::Heartbeat,
            "relay" => Self::Relay,
            "log" => Self::Log,
            "log-heartbeat" => Self::LogHeartbeat,
            "request" => Self::Request,
            "install" => Self::Install,
            "announce" => Self::Announce,
            _ => return None,
        })
    }
}

/// What a rule does to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleEffect {
    /// Loses it.
    Drop,
    /// Delivers it later by this many milliseconds.
    Delay(u64),
    /// Delivers it twice, the second time later by this many milliseconds.
    Duplicate(u64),
}

/// A rule about messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Sender, or any.
    pub from: Option<usize>,
    /// Receiver, or any.
    pub to: Option<usize>,
    /// Kind, or any.
    pub kind: Option<MessageKind>,
    /// Effect.
    pub effect: RuleEffect,
    /// Chance of the effect in percent.
    pub percent: u32,
}

/// Links between instances.
#[derive(Clone, Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(usize, usize)>,
    /// Rules in force.
    pub rules: Vec<Rule>,
    last_stream: BTreeMap<(usize, usize), u64>,
}

impl Network {
    /// Cuts one direction of a link.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Restores one direction of a link.
    pub fn heal(&mut self, from: usize, to: usize) {
        self.cuts.remove(&(from, to));
    }

    /// Restores every link and ends every rule.
    pub fn heal_all(&mut self) {
        self.cuts.clear();
        self.rules.clear();
    }

    /// Returns whether one direction of a link is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Returns the times at which a message that is sent now arrives.
    pub fn arrivals(
        &mut self,
        now: u64,
        (from, to): (usize, usize),
        kind: MessageKind,
        channel: Channel,
        rng: &mut SmallRng,
    ) -> Vec<u64> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let mut at = now + rng.random_range(LATENCY_MS.0..=LATENCY_MS.1);
        let mut duplicate_delay = None;
        for rule in &self.rules {
            let matches = rule.from.is_none_or(|f| f == from)
                && rule.to.is_none_or(|t| t == to)
                && rule.kind.is_none_or(|k| k == kind)
                && rng.random_range(0..100) < rule.percent;
            match rule.effect {
                _ if !matches => {}
                RuleEffect::Drop => return Vec::new(),
                RuleEffect::Delay(delay) => at += delay,
                RuleEffect::Duplicate(delay) => duplicate_delay = Some(delay),
            }
        }
        if channel == Channel::Stream {
            // Streams keep their order.
            let last = self.last_stream.entry((from, to)).or_default();
            at = at.max(*last);
            *last = at;
        }
        [Some(at), duplicate_delay.map(|delay| at + delay)].into_iter().flatten().collect()
    }
}
