//! Record of a server as announced by itself.

use {
    crate::ids::{DataCentreId, ServerId, ServiceId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum length of a name in a record, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Record of a server as announced by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of the server. Later incarnations may reuse it.
    pub server: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Software version.
    pub version: Box<str>,
    /// Incarnation: the start time in Unix milliseconds.
    pub incarnation: u64,
    /// Sequence number of the announcement, which increases within one incarnation.
    pub sequence: u64,
    /// Remaining warm-up, during which it is slower than usual.
    pub warm_up: Duration,
    /// Whether it is leaving and accepts no new requests.
    pub is_draining: bool,
}

impl ServerRecord {
    /// Returns whether every name has a permitted length.
    ///
    /// ```
    /// use {hemlockford_core::fleet::ServerRecord, std::time::Duration};
    /// let record = ServerRecord {
    ///     server: "a-1".into(),
    ///     service: "a".into(),
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     data_centre: "north".into(),
    ///     slots: 2,
    ///     version: "1".into(),
    ///     incarnation: 1,
    ///     sequence: 1,
    ///     warm_up: Duration::ZERO,
    ///     is_draining: false,
    /// };
    /// assert!(record.is_valid());
    /// assert!(!ServerRecord { server: "".into(), ..record }.is_valid());
    /// ```
    pub fn is_valid(&self) -> bool {
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        is_name(&self.server)
            && is_name(&self.service)
            && self.data_centre.len() <= MAX_NAME_BYTES
            && self.version.len() <= MAX_NAME_BYTES
    }

    /// Returns incarnation and sequence number. Of two announcements of one server the one with the higher pair is
    /// newer.
    pub(super) fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
