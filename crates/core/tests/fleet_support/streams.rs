//! Stream connections between machines, which may go silent without a reset.

use {
    hemlockford_core::collections::FastMap,
    hemlockford_net::NetOptions,
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// An open connection in one direction.
#[derive(Debug)]
struct Stream {
    last_used: Duration,
    is_silent: bool,
    /// Time at which the first message was lost.
    lost_at: Option<Duration>,
}

/// Open connections, by sender and receiver. They are opened and closed as the links of a running process are.
#[derive(Debug, Default)]
pub struct Streams(FastMap<(Box<str>, Box<str>), Stream>);

impl Streams {
    /// Makes a share of the open connections silent: whatever is sent on them is lost, while new connections work.
    pub fn silence(&mut self, share: f64, rng: &mut SmallRng) {
        let mut streams: Vec<_> = self.0.iter_mut().collect();
        streams.sort_unstable_by(|a, b| a.0.cmp(b.0));
        for (_, stream) in streams {
            stream.is_silent |= rng.random_bool(share);
        }
    }

    /// Returns whether a message that is sent now arrives.
    pub fn deliver(&mut self, now: Duration, from: &str, to: &str) -> bool {
        let NetOptions { idle_timeout, ack_timeout, .. } = NetOptions::fleet();
        let opened = Stream { last_used: now, is_silent: false, lost_at: None };
        let stream = self.0.entry((from.into(), to.into())).or_insert(opened);
        let is_idle = idle_timeout.is_some_and(|idle| now >= stream.last_used + idle);
        let is_noticed = stream.lost_at.zip(ack_timeout).is_some_and(|(lost_at, timeout)| now >= lost_at + timeout);
        if is_idle || is_noticed {
            (stream.is_silent, stream.lost_at) = (false, None);
        }
        stream.last_used = now;
        if stream.is_silent {
            stream.lost_at.get_or_insert(now);
        }
        !stream.is_silent
    }
}
