//! Addresses to which an instance is bound.

use {serde::Serialize, std::net::SocketAddr};

/// Addresses to which an instance is bound.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Name of the instance.
    pub id: Box<str>,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Admin listener for servers, operators and the platform.
    pub admin: SocketAddr,
    /// Address for other instances, over UDP and TCP.
    pub listen: SocketAddr,
}
