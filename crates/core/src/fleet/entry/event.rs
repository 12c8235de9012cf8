//! What the link of an entry is told.

use crate::{
    fleet::FleetMessage,
    ids::{Incarnation, InstanceId},
};

/// One thing that the link of an entry is told.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// The time named by `next_wake` has come.
    Tick,
    /// A message has arrived.
    Receive {
        /// The sender.
        from: InstanceId,
        /// Incarnation of its process.
        incarnation: Incarnation,
        /// The message.
        message: FleetMessage,
    },
    /// The seeds in the settings have changed.
    Seeds(Vec<InstanceId>),
}
