//! Messages between instances.

use {
    super::{Reply, Request, RequestId},
    crate::{
        consensus::Message,
        ids::{ChangeNumber, Incarnation, ServerId},
        membership::Heartbeat,
        registry::Record,
    },
    derive_more::Debug,
    serde::{Deserialize, Serialize},
};

/// Transport of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// UDP; the message fits into one datagram.
    Datagram,
    /// TCP.
    Stream,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Signals that the sender is alive.
    Heartbeat(Heartbeat),
    /// Relays server announcements.
    Relay {
        /// Incarnation of the sender.
        incarnation: Incarnation,
        /// Time since the sender started, in milliseconds.
        clock_ms: u64,
        /// The announced servers.
        records: Vec<Record>,
    },
    /// Asks for records of servers whose leases are about to expire.
    Ask {
        /// The servers.
        servers: Vec<ServerId>,
    },
    /// A consensus message.
    Consensus(Message),
    /// Forwards a request to the leader.
    Request {
        /// Identifier of this message.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// Answers a forwarded request.
    Reply {
        /// Identifier of the request.
        id: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Sends a committed change to install.
    Install {
        /// Number of the change.
        number: ChangeNumber,
        /// Source text of the configuration.
        #[debug("{} bytes", text.len())]
        text: Box<str>,
    },
    /// Asks for a committed change.
    Fetch {
        /// Only a change with a higher number is of interest.
        above: ChangeNumber,
    },
}

impl PeerMessage {
    /// Returns the transport of the message.
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
