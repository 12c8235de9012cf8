//! An error response of a server that is saved while another server is tried.

use {
    crate::{
        connection::{BufferedBody, Connection},
        framing::Framing,
        options::BUFFERED_BODY_LIMIT,
    },
    actix_http::ResponseHead,
    bytes::Bytes,
    std::net::SocketAddr,
};

/// An error response of a server that is saved while another server is tried.
pub(crate) struct SavedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    /// The part of the body that has arrived.
    pub(crate) parts: Vec<Bytes>,
    is_complete: bool,
    is_truncated: bool,
    /// The connection on which the rest of the body arrives.
    connection: Option<Connection>,
}

impl SavedResponse {
    /// Saves a response with the part of its body that has arrived, and the result of reading it if that has ended.
    pub(crate) fn new(head: ResponseHead, framing: Framing, parts: Vec<Bytes>, buffered: Option<BufferedBody>) -> Self {
        let is_truncated = buffered == Some(BufferedBody::Truncated);
        let mut saved = Self { head, framing, parts, is_complete: false, is_truncated, connection: None };
        if buffered == Some(BufferedBody::Complete) {
            saved.set_complete();
        }
        saved
    }

    /// Returns whether the rest of the body may still arrive.
    pub(crate) fn is_arriving(&self) -> bool {
        !self.is_complete && !self.is_truncated
    }

    /// Returns whether the whole response can be sent to the caller, as far as is known.
    pub(crate) fn is_available(&self) -> bool {
        self.is_complete || self.connection.is_some()
    }

    /// Keeps the connection on which the rest of the body arrives. Nothing is read from it meanwhile, so that a long body
    /// waits at the server.
    pub(crate) fn keep_connection(&mut self, connection: Connection) {
        self.connection = Some(connection);
    }

    /// Returns the server whose connection is kept.
    pub(crate) fn connection_address(&self) -> Option<SocketAddr> {
        self.connection.as_ref().map(Connection::address)
    }

    /// Reads the rest of the body, unless it is long. Returns whether the response is whole so far.
    pub(crate) async fn read_rest(&mut self) -> bool {
        let Some(connection) = &mut self.connection else { return self.is_complete };
        match connection.reader.buffer_body(&mut self.parts, BUFFERED_BODY_LIMIT).await {
            BufferedBody::Complete => {
                self.set_complete();
                self.release();
                true
            }
            BufferedBody::TooLong => true,
            BufferedBody::Truncated => false,
        }
    }

    /// Returns the connection on which the rest of a long body arrives.
    pub(crate) fn take_connection(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Releases the connection, if there is one. An incomplete response is lost then.
    pub(crate) fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    fn set_complete(&mut self) {
        self.is_complete = true;
        if !self.framing.is_empty() {
            self.framing = Framing::of_complete(&self.parts);
        }
    }
}
