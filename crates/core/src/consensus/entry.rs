//! Entries of the replicated log.

use {
    super::Member,
    crate::ids::{LogIndex, Term},
    derive_more::Debug,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Encoded size of an entry without its command, rounded up, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry; 0 for the initial entries of a group.
    pub term: Term,
    /// What the entry carries.
    pub payload: Payload,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing. A new leader commits a no-op to commit the entries of earlier terms.
    Noop,
    /// Makes the given incarnation of a replica a voter.
    Admit(Member),
    /// A command for the replicated state machine, opaque to consensus.
    Command(#[debug("{} bytes", _0.len())] Arc<[u8]>),
    /// Removes the given replica from the voters.
    Remove(Member),
}

impl Entry {
    /// Upper bound of the encoded size, in bytes.
    ///
    /// ```
    /// use hemlockford_core::consensus::{Entry, Payload};
    /// let entry = Entry { index: 1, term: 1, payload: Payload::Command(vec![0; 100].into()) };
    /// assert!(entry.size() >= 100);
    /// ```
    pub fn size(&self) -> usize {
        ENTRY_OVERHEAD_BYTES
            + match &self.payload {
                Payload::Noop => 0,
                Payload::Admit(member) | Payload::Remove(member) => member.replica.len(),
                Payload::Command(command) => command.len(),
            }
    }
}
