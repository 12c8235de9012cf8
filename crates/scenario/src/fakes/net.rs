//! Fake network between replicas with link cuts and message tampering.

use {
    hemlockford_core::{
        collections::FastSet,
        consensus::{Member, Message, MessageBody},
    },
    std::time::Duration,
};

/// How the network tampers with messages. Used to show that the checks detect the resulting errors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tampering {
    /// Messages are delivered unchanged.
    #[default]
    None,
    /// A message from a replica that is not admitted claims the admitted incarnation.
    Incarnation,
    /// A granted vote is also delivered in the name of every other replica.
    Vote,
    /// An acknowledgement covers one more entry than the replica has acknowledged.
    Acknowledgement,
}

/// Fake network between replicas.
#[derive(Clone, Debug, Default)]
pub struct FakeNet {
    /// Directed links that drop every message.
    pub cuts: FastSet<(usize, usize)>,
    /// Tampering in effect.
    pub tampering: Tampering,
}

impl FakeNet {
    /// Delivery time of a message without delays.
    pub const LATENCY: Duration = Duration::from_millis(1);

    /// Returns whether a link delivers messages.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        !self.cuts.contains(&(from, to))
    }

    /// Returns the sender and content of each message delivered for one sent message. `admitted` is the admitted
    /// member of each replica.
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
