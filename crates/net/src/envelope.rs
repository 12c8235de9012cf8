//! A message with its sender.

use {
    hemlockford_core::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
};

/// A message with its sender. The incarnation lets the receiver drop what an earlier start of the same
/// instance sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<M> {
    /// Instance that sent the message.
    pub from: InstanceId,
    /// Start of the sender to which the message belongs.
    pub incarnation: Incarnation,
    /// The message.
    pub message: M,
}
