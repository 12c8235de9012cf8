//! Messages between the instances of a roster.

use {
    hemlockford_core::{control::PeerMessage, slots::SlotMessage},
    serde::{Deserialize, Serialize},
};

/// A message between two instances, over UDP or TCP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum InstanceMessage {
    /// A message about permits for server slots.
    Slots(SlotMessage),
    /// A message about membership, servers, the configuration or the replicated log.
    Control(PeerMessage),
}
