//! Heartbeat failure detection between the instances of a fixed roster.
//!
//! Every heartbeat echoes the last one that its sender received from the recipient. The recipient therefore knows
//! that the message was sent after the echoed heartbeat, and uses the send time of that heartbeat to determine
//! liveness. A heartbeat that was delayed in a network or socket buffer, for example while the recipient was
//! frozen, carries an old echo and does not count as fresh.

mod action;
mod event;
mod heartbeat;
mod machine;
mod options;
mod peer;
mod peer_clock;

pub(crate) use peer_clock::PeerClock;

pub use {
    action::MembershipAction,
    event::MembershipEvent,
    heartbeat::{ConsensusHint, Echo, Heartbeat, Status},
    machine::Membership,
    options::MembershipOptions,
};

use std::time::Duration;

/// Default interval between heartbeats to a peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Default time without a heartbeat after which a peer is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Default time without a heartbeat after which a peer counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(2);
