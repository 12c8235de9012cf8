//! Simulated network between instances: latency, cuts, and rules that drop, delay or duplicate messages.

use {
    hemlockford_core::control::{Channel, PeerMessage, Request},
    rand::{RngExt, rngs::SmallRng},
    std::collections::{BTreeMap, BTreeSet},
};

/// Minimum and maximum latency of a message, in milliseconds.
const LATENCY_MS: (u64, u64) = (1, 3);

/// Kind of a message, as distinguished by rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Membership heartbeats.
    Heartbeat,
    /// Relays of announcements, and requests for missing ones.
    Relay,
    /// Consensus messages with entries or votes, and replies to them.
    Log,
    /// Consensus heartbeats without entries, and requests for the current state.
    LogHeartbeat,
    /// Forwarded requests and replies to them.
    Request,
    /// Changes to install, and requests for them.
    Install,
    /// Server announcements.
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

    /// Parses the name of a kind in scripts.
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

/// Effect of a rule on a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleEffect {
    /// Drops it.
    Drop,
    /// Delays it by this many milliseconds.
    Delay(u64),
    /// Delivers it twice, the second time after this many additional milliseconds.
    Duplicate(u64),
}

/// Rule that affects messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Sender; `None` matches any.
    pub from: Option<usize>,
    /// Receiver; `None` matches any.
    pub to: Option<usize>,
    /// Kind; `None` matches any.
    pub kind: Option<MessageKind>,
    /// Effect.
    pub effect: RuleEffect,
    /// Probability of the effect in percent.
    pub percent: u32,
}

/// Simulated network between instances.
#[derive(Clone, Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(usize, usize)>,
    /// Active rules.
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

    /// Restores every link and removes every rule.
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
            // Streams preserve the order of messages.
            let last = self.last_stream.entry((from, to)).or_default();
            at = at.max(*last);
            *last = at;
        }
        [Some(at), duplicate_delay.map(|delay| at + delay)].into_iter().flatten().collect()
    }
}
