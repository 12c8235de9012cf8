//! Messages between the HTTP workers and the dispatcher's task.

use {
    hemlockford_core::{
        dispatch::{Call, FinishedAttempt, ServerNotice},
        ids::{CallId, InstanceId, ServerId},
        outcome::Outcome,
        quarantine::RequestFingerprint,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

/// Decision of the dispatcher about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to a server.
    Send {
        /// The chosen server.
        server: ServerId,
        /// Its address.
        address: SocketAddr,
        /// Whether the call needs a connection that is new or was used very recently.
        fresh_connection: bool,
        /// Whether the request forwards the retry token to the server.
        pass_allowance: bool,
        /// Whether the request asks for a load report in the response.
        want_report: bool,
    },
    /// Pass the call on to another entry.
    Relay {
        /// The other entry.
        entry: InstanceId,
        /// Its address for relayed calls.
        address: SocketAddr,
        /// Maximum number of servers to which it may send the call.
        attempts: u32,
        /// Whether the call needs a connection that is new or was used very recently.
        fresh_connection: bool,
    },
    /// Send the caller a final response.
    Reject {
        /// Outcome that is sent to the caller.
        outcome: Outcome,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// The server to which a second copy of a running call is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyTarget {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
}

/// A message from an HTTP worker to the dispatcher's task.
#[derive(Debug)]
pub enum DispatcherMessage {
    /// A call has arrived and waits for a decision.
    Arrive(Call, oneshot::Sender<Decision>),
    /// An attempt failed; the call waits for another decision.
    AttemptFailed(FinishedAttempt, oneshot::Sender<Decision>),
    /// A second copy of the call can run beside the attempt that was decided last. The reply is dropped if there is
    /// none.
    OfferCopy(CallId, oneshot::Sender<CopyTarget>),
    /// An attempt ended and the call needs no further decision.
    AttemptFinished(FinishedAttempt),
    /// The call no longer waits for a decision. If a `Send` was decided in the meantime and could not be delivered,
    /// the server has not seen the call and its slot is free.
    Cancel(CallId),
    /// A server ended while it ran a call.
    Crash {
        /// The call.
        call: CallId,
        /// The server.
        server: ServerId,
        /// The request.
        request: RequestFingerprint,
        /// Method, target and caller of the request, for the log.
        description: Box<str>,
    },
    /// A new connection to a server was opened for a call, or could not be opened.
    Connection {
        /// The server.
        server: ServerId,
        /// Whether it is open.
        is_open: bool,
    },
    /// A server answered a request that was not suspected yet when it arrived.
    Answered(RequestFingerprint),
    /// A server asked in an answer for no further calls.
    Notice {
        /// The server.
        server: ServerId,
        /// Address from which it answered.
        address: SocketAddr,
        /// What it asked for.
        notice: ServerNotice,
    },
}

/// Handle through which the HTTP workers reach the dispatcher's task.
#[derive(Clone, Debug)]
pub struct DispatcherHandle {
    tx: mpsc::UnboundedSender<DispatcherMessage>,
}

impl DispatcherHandle {
    /// Creates a handle and the receiver for the dispatcher's task.
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

    /// Requests a decision about a new call, which the receiver yields.
    pub fn call_arrived(&self, call: Call) -> oneshot::Receiver<Decision> {
        self.ask(|reply| DispatcherMessage::Arrive(call, reply))
    }

    /// Reports a failed attempt and requests another decision, which the receiver yields.
    pub fn attempt_failed(&self, attempt: FinishedAttempt) -> oneshot::Receiver<Decision> {
        let attempt = FinishedAttempt { wants_decision: true, ..attempt };
        self.ask(|reply| DispatcherMessage::AttemptFailed(attempt, reply))
    }

    /// Offers to run a second copy of a call; the receiver yields the server if the dispatcher decides on one.
    pub fn offer_copy(&self, call: CallId) -> oneshot::Receiver<CopyTarget> {
        let (reply, rx) = oneshot::channel();
        self.send(DispatcherMessage::OfferCopy(call, reply));
        rx
    }

    /// Reports the end of an attempt that needs no further decision.
    pub fn attempt_finished(&self, attempt: FinishedAttempt) {
        self.send(DispatcherMessage::AttemptFinished(attempt));
    }

    /// Cancels a call that waits for a decision.
    pub fn cancel(&self, call: CallId) {
        self.send(DispatcherMessage::Cancel(call));
    }

    /// Reports that a server asked for no further calls. It must precede the report of the attempt's end, after which
    /// the dispatcher may choose the server again.
    pub fn server_noticed(&self, server: ServerId, address: SocketAddr, notice: ServerNotice) {
        self.send(DispatcherMessage::Notice { server, address, notice });
    }

    /// Reports that a server ended while it ran a call. It must precede the report of the attempt's end, upon which the
    /// dispatcher decides whether the call is sent to another server.
    pub fn server_crashed(&self, call: CallId, server: ServerId, request: RequestFingerprint, description: Box<str>) {
        self.send(DispatcherMessage::Crash { call, server, request, description });
    }

    /// Reports that a new connection to a server was opened for a call, or could not be opened.
    pub fn connection_attempted(&self, server: ServerId, is_open: bool) {
        self.send(DispatcherMessage::Connection { server, is_open });
    }

    /// Reports that a server answered a request that was not suspected yet when it arrived.
    pub fn request_answered(&self, request: RequestFingerprint) {
        self.send(DispatcherMessage::Answered(request));
    }

    fn ask(&self, message: impl FnOnce(oneshot::Sender<Decision>) -> DispatcherMessage) -> oneshot::Receiver<Decision> {
        let (reply, rx) = oneshot::channel();
        self.send(message(reply));
        rx
    }

    /// Sends a message. If the dispatcher is gone, the process is stopping and the message can be dropped.
    fn send(&self, message: DispatcherMessage) {
        let _ = self.tx.send(message);
    }
}
