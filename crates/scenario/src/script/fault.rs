//! Faults triggered by the arrival of a given message.

/// Fault triggered by the arrival of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The message is lost.
    Drop,
    /// The message arrives twice, the second time after 700 ms.
    Duplicate,
    /// The message arrives 700 ms later, after messages that were sent after it.
    Delay,
    /// The receiver crashes before it handles the message; unsynced writes may be lost.
    KillReceiver,
    /// The receiver handles the message, syncs its writes and crashes.
    KillReceiverAfter,
    /// The sender crashes after sending.
    KillSender,
    /// The receiver is frozen for 4 s.
    Freeze,
    /// The link is cut in both directions for 4 s.
    Cut,
    /// The link from the receiver to the sender is cut for 4 s.
    CutReturnPath,
    /// The receiver crashes and loses its data folder.
    LoseDisk,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 10] = [
        Self::Drop,
        Self::Duplicate,
        Self::Delay,
        Self::KillReceiver,
        Self::KillReceiverAfter,
        Self::KillSender,
        Self::Freeze,
        Self::Cut,
        Self::CutReturnPath,
        Self::LoseDisk,
    ];
}

/// Fault and the message that triggers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trigger {
    /// Number of the message, from 0, among the kinds given to [`World::arm`](super::World::arm).
    pub message: u64,
    /// Triggered fault.
    pub fault: Fault,
}
