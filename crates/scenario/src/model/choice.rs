//! Steps of a path.

/// Event of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Delivers the message at a queue position.
    Deliver(usize),
    /// Loses the message at a queue position.
    Drop(usize),
    /// Fires the next timer of a replica.
    FireTimer(usize),
    /// Submits a change to a leader.
    Submit(usize),
    /// Starts a read at a leader.
    Read(usize),
    /// Requests a planned stop of a leader.
    Stop(usize),
    /// Crashes a process.
    Crash(usize),
    /// Starts a process.
    Start(usize),
    /// Restarts a process with an empty data folder.
    LoseDisk(usize),
    /// Starts to delay messages to a replica.
    Delay(usize),
    /// Ends the delay of messages.
    Resume,
    /// Makes the pending writes of a replica durable.
    Sync(usize),
}

/// What happens to the writes that an event causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// They become durable immediately.
    Durable,
    /// They stay pending.
    Pending,
    /// The process crashes and they are lost.
    CrashBeforeSync,
    /// The process crashes after they became durable, but before it learns of that.
    CrashAfterSync,
    /// The process crashes after they became durable and this many messages were sent.
    CrashAfterMessages(usize),
}

/// Step of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Event.
    pub event: Event,
    /// What happens to the writes that the event causes.
    pub writes: WriteOutcome,
}
