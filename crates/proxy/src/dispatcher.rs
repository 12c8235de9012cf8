//! Messages between HTTP workers and the dispatcher's task.

use {
    hemlockford_core::{
        dispatch::{Call, FinishedAttempt},
        ids::{CallId, ServerId},
        outcome::Outcome,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// What the dispatcher decided about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to a server.
    Send {
        /// The chosen server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
        /// Whether only a connection that is new or was used a moment ago may carry the call.
        fresh_connection: bool,
        /// Whether the request carries the retry token on to the server.
        pass_allowance: bool,
        /// Whether the request asks for a load report in the answer.
        want_report: bool,
    },
    /// Give the call its final answer.
    Reject {
        /// What the caller is told.
        outcome: Outcome,
        /// When the caller may come back.
        retry_after: Duration,
    },
}

/// A message from an HTTP worker to the dispatcher's task.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A call has arrived and waits for a decision.
    Arrive(Call, oneshot::Sender<Decision>),
    /// An attempt failed; the call waits for another decision.
    Failed(FinishedAttempt, oneshot::Sender<Decision>),
    /// An attempt ended and the call needs no further decision.
    Done(FinishedAttempt),
    /// The call no longer waits for a decision. If a `Send` was decided meanwhile and could not be
    /// delivered, the server has not seen the call and its slot is free.
    Cancel(CallId),
}

/// Handle through which HTTP workers reach the dispatcher's task.
#[derive(Clone, Debug)]
pub struct DispatcherHandle {
    tx: mpsc::UnboundedSender<DispatcherMessage>,
}

impl DispatcherHandle {
    /// Makes a handle and the receiving end for the dispatcher's task.
    ///
    /// ```
    /// use hemlockford_proxy::{DispatcherHandle, DispatcherMessage};
    /// let (dispatcher, mut messages) = DispatcherHandle::new();
    /// dispatcher.cancel(7);
    /// assert!(matches!(messages.try_recv(), Ok(DispatcherMessage::Cancel(7))));
    /// ```
    pub fn new() -> (Self, mpsc::UnboundedReceiver<DispatcherMessage>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// Announces a call; the receiver yields the decision.
    pub fn arrive(&self, call: Call) -> oneshot::Receiver<Decision> {
        self.ask(|reply| DispatcherMessage::Arrive(call, reply))
    }

    /// Reports a failed attempt; the receiver yields what to do next.
    pub fn fail(&self, finish: FinishedAttempt) -> oneshot::Receiver<Decision> {
        let finish = FinishedAttempt { wants_decision: true, ..finish };
        self.ask(|reply| DispatcherMessage::Failed(finish, reply))
    }

    /// Reports the end of an attempt that needs no further decision.
    pub fn finish(&self, finish: FinishedAttempt) {
        self.send(DispatcherMessage::Done(finish));
    }

    /// Withdraws a call that waits for a decision.
    pub fn cancel(&self, call: CallId) {
        self.send(DispatcherMessage::Cancel(call));
    }

    fn ask(&self, message: impl FnOnce(oneshot::Sender<Decision>) -> DispatcherMessage) -> oneshot::Receiver<Decision> {
        let (reply, rx) = oneshot::channel();
        self.send(message(reply));
        rx
    }

    /// Sends a message; when the dispatcher is gone the process is stopping and the message has no use.
    fn send(&self, message: DispatcherMessage) {
        let _ = self.tx.send(message);
    }
}
