//! Progress of the requests on one caller's connection, shared by its reader and its writers.

use std::cell::Cell;

/// Progress of the requests on one caller's connection.
#[derive(Debug, Default)]
pub(crate) struct RequestSequence {
    /// Number of requests whose heads were read.
    read: Cell<u64>,
    /// Whether data of a request behind them has arrived.
    has_next: Cell<bool>,
    /// Whether a response announces the close, after which no request is read.
    is_closing: Cell<bool>,
    /// Whether a response is being forwarded whose end has not arrived.
    is_streaming: Cell<bool>,
    /// Whether a response waits for the caller to read.
    is_unread: Cell<bool>,
}

impl RequestSequence {
    /// Counts a request whose head was read.
    pub(crate) fn count_request(&self) {
        self.read.set(self.read.get() + 1);
    }

    /// Returns the number of the last request whose head was read.
    pub(crate) fn last_request(&self) -> u64 {
        self.read.get()
    }

    pub(crate) fn set_has_next(&self, has_next: bool) {
        self.has_next.set(has_next);
    }

    /// Returns whether a request behind the given one was read or has begun to arrive.
    pub(crate) fn is_followed(&self, request: u64) -> bool {
        self.read.get() > request || self.has_next.get()
    }

    /// Sets whether a response is being forwarded whose end has not arrived. If it is truncated, the connection must be
    /// reset, so that a request behind it is not sent to a server meanwhile.
    pub(crate) fn set_streaming(&self, is_streaming: bool) {
        self.is_streaming.set(is_streaming);
    }

    pub(crate) fn is_streaming(&self) -> bool {
        self.is_streaming.get()
    }

    /// Sets whether a response waits for the caller to read. Meanwhile no further request is started.
    pub(crate) fn set_unread(&self, is_unread: bool) {
        self.is_unread.set(is_unread);
    }

    pub(crate) fn is_unread(&self) -> bool {
        self.is_unread.get()
    }

    pub(crate) fn close(&self) {
        self.is_closing.set(true);
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing.get()
    }
}
