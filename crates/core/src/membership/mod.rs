//! Heartbeats between the instances of a fixed roster.
//!
//! Every heartbeat echoes the last one that its sender received from the recipient. The recipient
//! therefore knows that the message was sent after its own echoed heartbeat, and judges liveness by the
//! time at which it sent that one. A heartbeat that waited in a network or socket buffer, for example
//! while the recipient was frozen, carries an old echo and does not count as fresh.

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

/// Time between two heartbeats to a peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Silence after which a peer is suspected.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Silence after which a peer is lost.
pub const LOST_AFTER: Duration = Duration::from_secs(2);
