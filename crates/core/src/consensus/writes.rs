//! Writes that are not durable yet, and what waits for them.

use {
    super::Message,
    crate::ids::{InstanceId, LogIndex, Term},
    std::{collections::VecDeque, time::Instant},
};

/// Messages that may wait for writes. A disk that stands still holds back each answer to a heartbeat;
/// beyond this number answers are dropped, as the network may drop them too.
const MAX_DEFERRED: usize = 1_024;

/// What a write makes true once it is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum WriteEffect {
    /// Nothing that consensus acts on by itself.
    None,
    /// The replica remembers its term and vote.
    HardState,
    /// The log is durable up to this entry.
    Log(LogIndex),
    /// The replica remembers that it is admitted.
    Admitted,
}

/// What is done once all writes issued before it are durable.
#[derive(Clone, Debug, Hash)]
pub(super) enum Deferred {
    /// Send a message that promises something.
    Send(InstanceId, Message),
    /// Count the replica's own vote in a term.
    SelfVote(Term),
}

/// Writes that are not durable yet, and what waits for them.
#[derive(Clone, Debug)]
pub(super) struct Writes {
    /// Last entry up to which the log is durable.
    pub durable_index: LogIndex,
    /// Time of the event that is handled; writes are issued at this time.
    pub now: Instant,
    pub issued: u64,
    pub pending: VecDeque<(u64, WriteEffect, Instant)>,
    pub deferred: VecDeque<(u64, Deferred)>,
}

impl Writes {
    pub fn new(now: Instant, durable_index: LogIndex) -> Self {
        Self { durable_index, now, issued: 0, pending: VecDeque::new(), deferred: VecDeque::new() }
    }

    /// When the oldest write that is not durable was issued.
    pub fn oldest(&self) -> Option<Instant> {
        self.pending.front().map(|(_, _, at)| *at)
    }

    pub fn issue(&mut self, effect: WriteEffect) -> u64 {
        self.issued += 1;
        self.pending.push_back((self.issued, effect, self.now));
        self.issued
    }

    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether the term is durable.
    pub fn is_term_durable(&self) -> bool {
        !self.pending.iter().any(|(_, effect, _)| matches!(effect, WriteEffect::HardState | WriteEffect::Admitted))
    }

    /// Keeps an action until all writes issued so far are durable; gives it back if they are.
    pub fn defer(&mut self, held: Deferred) -> Option<Deferred> {
        if self.is_idle() {
            return Some(held);
        }
        if self.deferred.len() < MAX_DEFERRED {
            self.deferred.push_back((self.issued, held));
        }
        None
    }

    /// Notes that entries after `last` are no longer part of the log.
    pub fn truncate_after(&mut self, last: LogIndex) {
        self.durable_index = self.durable_index.min(last);
        for (_, effect, _) in &mut self.pending {
            if let WriteEffect::Log(index) = effect {
                *index = (*index).min(last);
            }
        }
    }

    /// Takes the report of durable writes; returns whether the replica now remembers that it is
    /// admitted, and what need not wait any longer.
    pub fn persisted(&mut self, up_to: u64) -> (bool, Vec<Deferred>) {
        let mut admitted = false;
        while let Some((_, effect, _)) = self.pending.pop_front_if(|(sequence, ..)| *sequence <= up_to) {
            match effect {
                WriteEffect::None | WriteEffect::HardState => {}
                WriteEffect::Log(index) => self.durable_index = self.durable_index.max(index),
                WriteEffect::Admitted => admitted = true,
            }
        }
        let mut released = Vec::new();
        while let Some((_, held)) = self.deferred.pop_front_if(|(sequence, _)| *sequence <= up_to) {
            released.push(held);
        }
        (admitted, released)
    }
}
