//! Messages between instances, over both transports.

use {
    hemlockford_core::{control::PeerMessage, slots::SlotMessage},
    serde::{Deserialize, Serialize},
};

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum InstanceMessage {
    /// Concerns permits for server slots.
    Slots(SlotMessage),
    /// Concerns membership, servers, the text or the replicated log.
    Control(PeerMessage),
}
