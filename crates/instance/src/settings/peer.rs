//! Settings of a peer.

use {hemlockford_core::ids::InstanceId, std::net::SocketAddr};

/// Another instance of the roster, section `[peer NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address for other instances, over UDP and TCP.
    pub address: SocketAddr,
    /// Whether it is a control replica.
    pub is_replica: bool,
}
