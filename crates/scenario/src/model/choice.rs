//! One step of a path.

/// What happens next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The message at a position of the queue arrives.
    Deliver(usize),
    /// The message at a position of the queue is lost.
    Drop(usize),
    /// A timer of a replica fires.
    FireTimer(usize),
    /// A change is submitted to a replica that leads.
    Submit(usize),
    /// A replica that leads is read from.
    Read(usize),
    /// A replica that leads is asked to stop as planned.
    Stop(usize),
    /// A process ends without notice.
    Crash(usize),
    /// A process starts.
    Start(usize),
    /// A process ends, and starts with an empty folder.
    LoseDisk(usize),
    /// Messages to a replica are held back from here on.
    Delay(usize),
    /// Messages are held back no more.
    Resume,
    /// The pending writes of a replica become durable.
    Sync(usize),
}

/// What becomes of the writes that an event causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// They become durable at once.
    Durable,
    /// They stay pending.
    Pending,
    /// The process ends, and they are gone.
    CrashBeforeSync,
    /// The process ends after they became durable, before it knows.
    CrashAfterSync,
    /// The process ends after they became durable and this many of its messages left.
    CrashAfterMessages(usize),
}

/// One step of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// What happens.
    pub event: Event,
    /// What becomes of the writes.
    pub after: WriteOutcome,
}
