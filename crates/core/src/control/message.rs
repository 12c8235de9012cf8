//! Messages between instances.

use {
    super::{Reply, Request, RequestId},
    crate::{
        consensus::Message,
        ids::{ChangeNumber, Incarnation, ServerId},
        membership::Heartbeat,
        registry::Record,
    },
    serde::{Deserialize, Serialize},
};

/// How a message is carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// UDP; the message fits one datagram.
    Datagram,
    /// TCP.
    Stream,
}

/// One message from an instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Shows that the sender is alive.
    Heartbeat(Heartbeat),
    /// Relays what servers announced.
    Relay {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Time since the start of the sender, in milliseconds.
        clock_ms: u64,
        /// What servers announced.
        records: Vec<Record>,
    },
    /// Asks for servers whose leases run out.
    Ask {
        /// The servers.
        servers: Vec<ServerId>,
    },
    /// A message of the replicated log.
    Consensus(Message),
    /// Forwards a request to the leader.
    Request {
        /// Number of this message.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// Answers a forwarded request.
    Reply {
        /// Number of the message that is answered.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Gives a committed change to install.
    Install {
        /// Its number.
        number: ChangeNumber,
        /// Its text.
        text: Box<str>,
    },
    /// Asks for a committed change.
    Fetch {
        /// Only a change above this number is wanted.
        above: ChangeNumber,
    },
}

impl PeerMessage {
    /// Returns how the message is carried.
    ///
    /// ```
    /// use hemlockford_core::control::{Channel, PeerMessage};
    /// assert_eq!(PeerMessage::Fetch { above: 1 }.channel(), Channel::Stream);
    /// assert_eq!(PeerMessage::Ask { servers: vec![] }.channel(), Channel::Datagram);
    /// ```
    pub fn channel(&self) -> Channel {
        match self {
            Self::Heartbeat(_) | Self::Relay { .. } | Self::Ask { .. } => Channel::Datagram,
            Self::Consensus(_)
            | Self::Request { .. }
            | Self::Reply { .. }
            | Self::Install { .. }
            | Self::Fetch { .. } => Channel::Stream,
        }
    }
}
