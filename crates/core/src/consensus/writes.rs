//! Pending writes, and actions that are deferred until they are durable.

use {
    super::Message,
    crate::ids::{InstanceId, LogIndex, Term},
    std::{collections::VecDeque, time::Instant},
};

/// Maximum number of deferred actions. A stalled disk delays the acknowledgement of every heartbeat; further ones are
/// dropped, which the protocol tolerates like a lost message.
const MAX_DEFERRED: usize = 1_024;

/// Effect of a write once it is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum WriteEffect {
    /// No effect on the state of consensus.
    None,
    /// The hard state is durable.
    HardState,
    /// The log is durable up to this entry.
    Log(LogIndex),
    /// The admission of this replica is durable.
    Admitted,
}

/// An action that is deferred until all earlier writes are durable.
#[derive(Clone, Debug, Hash)]
pub(super) enum Deferred {
    /// Send a message that relies on durable state.
    Send(InstanceId, Message),
    /// Count this replica's own vote in a term.
    SelfVote(Term),
}

/// Pending writes, and actions that are deferred until they are durable.
#[derive(Clone, Debug)]
pub(super) struct Writes {
    /// Index up to which the log is durable.
    pub durable_index: LogIndex,
    /// Time of the current event, which is the issue time of its writes.
    pub now: Instant,
    pub issued: u64,
    pub pending: VecDeque<(u64, WriteEffect, Instant)>,
    pub deferred: VecDeque<(u64, Deferred)>,
}

impl Writes {
    pub fn new(now: Instant, durable_index: LogIndex) -> Self {
        Self { durable_index, now, issued: 0, pending: VecDeque::new(), deferred: VecDeque::new() }
    }

    /// Issue time of the oldest pending write.
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

    /// Whether the current term is durable.
    pub fn is_term_durable(&self) -> bool {
        !self.pending.iter().any(|(_, effect, _)| matches!(effect, WriteEffect::HardState | WriteEffect::Admitted))
    }

    /// Defers an action until all writes issued so far are durable; returns it if they already are.
    pub fn defer(&mut self, deferred: Deferred) -> Option<Deferred> {
        if self.is_idle() {
            return Some(deferred);
        }
        if self.deferred.len() < MAX_DEFERRED {
            self.deferred.push_back((self.issued, deferred));
        }
        None
    }

    /// Records that the entries after `last` were removed from the log.
    pub fn truncate_after(&mut self, last: LogIndex) {
        self.durable_index = self.durable_index.min(last);
        for (_, effect, _) in &mut self.pending {
            if let WriteEffect::Log(index) = effect {
                *index = (*index).min(last);
            }
        }
    }

    /// Records durable writes; returns whether the admission of this replica became durable, and the deferred actions
    /// to run now.
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
        while let Some((_, deferred)) = self.deferred.pop_front_if(|(sequence, _)| *sequence <= up_to) {
            released.push(deferred);
        }
        (admitted, released)
    }
}
