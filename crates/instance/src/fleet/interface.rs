//! The interface of a fleet towards its platform.

use {
    actix_http::{Method, StatusCode},
    bytes::Bytes,
    hemlockford_core::{
        fleet::{ReplicaAnswer, ServerRecord},
        ids::ServerId,
    },
    hemlockford_proxy::Dialect,
};

/// Translates between a platform's messages and those of the product.
///
/// It keeps no state and decides nothing, so that every rule stays in the product.
pub trait PlatformInterface {
    /// Returns the names and forms of the HTTP path.
    fn dialect(&self) -> Dialect;

    /// Translates a request at the admin listener; `None` if it is not part of the interface.
    fn parse_request(&self, method: &Method, path: &str, body: &[u8]) -> Option<Result<AdminRequest, AdminReply>>;

    /// Translates the answer to a request.
    fn build_reply(&self, answer: ReplicaAnswer) -> AdminReply;
}

/// A request at the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Whether the instance takes callers.
    Ready,
    /// A server announces itself.
    Announce(ServerRecord),
    /// A server leaves.
    Depart {
        /// The server.
        server: ServerId,
        /// Start of its incarnation, in Unix milliseconds, if it is named.
        incarnation: Option<u64>,
    },
    /// An operator submits a text.
    Submit(Box<str>),
    /// An operator reads the text in force.
    Read,
}

/// An answer of the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Bytes,
}
