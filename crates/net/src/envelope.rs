//! A message with its sender.

use {
    hemlockford_core::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// A message with its sender. The incarnation allows the receiver to drop messages from an earlier process of the same
/// instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// Sender of the message.
    pub from: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// The message.
    pub message: M,
}
