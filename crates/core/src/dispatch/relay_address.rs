//! Address at which an entry takes calls from other entries.

use {
    crate::ids::InstanceId,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Address at which an entry takes calls from other entries that have lost the path to the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayAddress {
    /// The entry.
    pub entry: InstanceId,
    /// Its address.
    pub address: SocketAddr,
}
