//! Where a call gets the body of its request and the news that its caller has disconnected.

use {
    crate::caller::{CallerError, CallerReader},
    bytes::Bytes,
    tokio::sync::watch,
};

/// Where a call gets the body of its request and the news that its caller has disconnected.
pub(crate) enum RequestSource<'a> {
    /// The call is the only one on its connection and reads from it.
    Connection(&'a mut CallerReader),
    /// The request has no body, and the session reads the requests behind it. The value becomes true when the caller
    /// disconnects.
    Pipelined(watch::Receiver<bool>),
}

impl RequestSource<'_> {
    /// Returns whether no data of the body or of a next request has arrived.
    pub(crate) fn is_idle(&self) -> bool {
        match self {
            Self::Connection(reader) => reader.is_idle(),
            Self::Pipelined(_) => true,
        }
    }

    /// Returns whether more than `limit` bytes of the body may have to be read before a next request.
    pub(crate) fn has_long_remainder(&self, limit: usize) -> bool {
        match self {
            Self::Connection(reader) => reader.has_long_remainder(limit),
            Self::Pipelined(_) => false,
        }
    }

    /// Reads the next part of the body; `None` marks its end.
    pub(crate) async fn read_part(&mut self) -> Result<Option<Bytes>, CallerError> {
        match self {
            Self::Connection(reader) => reader.read_part().await,
            Self::Pipelined(_) => Ok(None),
        }
    }

    /// Returns when the caller has disconnected.
    pub(crate) async fn wait_for_disconnect(&mut self) -> CallerError {
        match self {
            Self::Connection(reader) => reader.wait_for_disconnect().await,
            Self::Pipelined(disconnected) => {
                // A dropped sender means that the session has ended.
                let _ = disconnected.wait_for(|disconnected| *disconnected).await;
                CallerError::Disconnected
            }
        }
    }
}
