//! Interface between a fleet and its platform.

use {
    actix_http::{Method, StatusCode},
    bytes::Bytes,
    derive_more::Debug,
    hemlockford_core::{
        fleet::{ReplicaAnswer, ServerRecord},
        ids::{DataCentreId, LogIndex, ServerId},
    },
    hemlockford_proxy::Dialect,
};

/// Translation between the messages of a platform and those of the product.
///
/// An implementation has no state and makes no decisions, so that all rules remain in the product.
pub trait PlatformInterface: Send + Sync {
    /// Returns the header names and rules of the HTTP path.
    fn dialect(&self) -> Dialect;

    /// Parses a request to the admin listener; returns `None` if the request is not part of the interface.
    fn parse_request(&self, method: &Method, path: &str, body: &[u8]) -> Option<Result<AdminRequest, AdminReply>>;

    /// Returns the maximum size of the body of a request to the admin listener, unless it is that of a configuration.
    fn max_body(&self, _path: &str) -> Option<usize> {
        None
    }

    /// Returns the response for an answer of the replica.
    fn build_reply(&self, answer: ReplicaAnswer) -> AdminReply;
}

/// A request to the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// The platform checks whether the instance is ready for callers.
    Ready,
    /// A server announces itself.
    Announce(ServerRecord),
    /// A server leaves.
    Depart {
        /// The server.
        server: ServerId,
        /// Start time of the server in Unix milliseconds, if given.
        incarnation: Option<u64>,
    },
    /// An operator submits a configuration.
    Submit(#[debug("{} bytes", _0.len())] Box<str>),
    /// An operator reads the current configuration.
    Read,
    /// An operator orders that the servers of a data centre get no calls, or withdraws such an order.
    Evacuate {
        /// The data centre.
        data_centre: DataCentreId,
        /// Whether its servers get no calls.
        is_active: bool,
        /// Index that the redirect to this request named.
        known: Option<LogIndex>,
    },
}

/// A response of the admin listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Path at this listener at which the client is to send its request again.
    pub location: Option<Box<str>>,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    #[debug("{} bytes", body.len())]
    pub body: Bytes,
}
