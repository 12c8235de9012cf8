//! Links between replicas that can be cut, and rewriting of messages on purpose.

use {
    hemlockford_core::{
        collections::FastSet,
        consensus::{Member, Message, MessageBody},
    },
    std::time::Duration,
};

/// A rule that the network breaks on purpose, to show that the checks notice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tampering {
    /// None.
    #[default]
    None,
    /// A message of a replica that is not admitted claims the admitted incarnation.
    Incarnation,
    /// A granted vote arrives again under the name of every other replica.
    Vote,
    /// An acknowledgement names an entry that the replica may not have.
    Acknowledgement,
}

/// Links between replicas.
#[derive(Clone, Debug, Default)]
pub struct FakeNet {
    /// Directed links that lose every message.
    pub cuts: FastSet<(usize, usize)>,
    /// Rule that is broken on purpose.
    pub tampering: Tampering,
}

impl FakeNet {
    /// Delivery time of a message in a quiet network.
    pub const LATENCY: Duration = Duration::from_millis(1);

    /// Whether a link carries messages.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// What arrives for one message, given the members that are admitted: sender and message.
    pub fn deliveries(
        &self,
        from: usize,
        to: usize,
        message: Message,
        admitted: &[Option<Member>],
    ) -> Vec<(usize, Message)> {
        let mut message = message;
        let mut arrived = Vec::new();
        match (self.tampering, &mut message.body) {
            (Tampering::Incarnation, body) if !message.admitted && !matches!(body, MessageBody::Hello { .. }) => {
                if let Some(member) = &admitted[from] {
                    message.incarnation = member.incarnation;
                    message.admitted = true;
                }
            }
            (Tampering::Acknowledgement, MessageBody::Appended { index, conflict: false, .. }) => *index += 1,
            (Tampering::Vote, MessageBody::Vote { granted: true, .. } | MessageBody::PreVote { granted: true }) => {
                for (other, member) in admitted.iter().enumerate().filter(|(other, _)| ![from, to].contains(other)) {
                    if let Some(member) = member {
                        arrived.push((other, Message { incarnation: member.incarnation, ..message.clone() }));
                    }
                }
            }
            _ => {}
        }
        arrived.push((from, message));
        arrived
    }
}
