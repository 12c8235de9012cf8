//! Network links that lose, duplicate, delay and reorder messages.

use {
    super::Streams,
    hemlockford_core::collections::FastSet,
    rand::{RngExt, rngs::SmallRng},
    std::time::Duration,
};

/// Links between all machines.
#[derive(Debug)]
pub struct Links {
    /// Directed links that drop all messages.
    pub cuts: FastSet<(Box<str>, Box<str>)>,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicate: f64,
    pub delay: Duration,
    /// Maximum additional random delay, which reorders messages.
    pub jitter: Duration,
    pub streams: Streams,
    pub messages: u64,
    pub bytes: u64,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            cuts: FastSet::default(),
            loss: 0.05,
            duplicate: 0.05,
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(10),
            streams: Streams::default(),
            messages: 0,
            bytes: 0,
        }
    }
}

impl Links {
    /// Returns the delays after which the copies of a message arrive. Streams lose messages only if the link is cut or
    /// the connection has gone silent.
    pub fn carry(
        &mut self,
        now: Duration,
        from: &str,
        to: &str,
        is_datagram: bool,
        rng: &mut SmallRng,
    ) -> Vec<Duration> {
        if !is_datagram && !self.streams.deliver(now, from, to) {
            return Vec::new();
        }
        if self.cuts.contains(&(from.into(), to.into())) || is_datagram && rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(is_datagram && rng.random_bool(self.duplicate));
        let jitter = self.jitter.as_micros() as u64;
        (0..copies).map(|_| self.delay + Duration::from_micros(rng.random_range(0..=jitter))).collect()
    }

    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }
}
