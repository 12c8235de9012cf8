//! Faults that strike when a certain message arrives.

/// A fault that strikes when a message arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The message is lost.
    Drop,
    /// The message arrives twice, the second time after 700 ms.
    Duplicate,
    /// The message arrives 700 ms later, after messages that were sent after it.
    Delay,
    /// The receiver crashes before it takes the message, and loses what was not synced.
    KillReceiver,
    /// The receiver takes the message, syncs and crashes.
    KillReceiverAfter,
    /// The sender crashes after sending.
    KillSender,
    /// The receiver is frozen for 4 s.
    Freeze,
    /// The link is cut for 4 s.
    Cut,
    /// The way back is cut for 4 s.
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

/// A fault and the message at which it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trigger {
    /// Number of the message since [`World::arm`](super::World::arm), from 0, of the kinds that it names.
    pub message: u64,
    /// The fault.
    pub fault: Fault,
}
