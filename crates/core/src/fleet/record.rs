//! A server as it announced itself.

use {
    crate::ids::{DataCentreId, ServerId, ServiceId},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Longest name in a record, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A server as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Name of the server. A later incarnation may use it again.
    pub server: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Version of its software.
    pub version: Box<str>,
    /// Time of its start in Unix milliseconds, which names its incarnation.
    pub incarnation: u64,
    /// Number of the announcement; rises within one incarnation.
    pub sequence: u64,
    /// Time for which it is still slower than usual.
    pub warm_up: Duration,
    /// Whether it is leaving and takes no new requests.
    pub is_draining: bool,
}

impl ServerRecord {
    /// Whether every name has a permitted length.
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

    /// Incarnation and number of the announcement; of two announcements of one server the higher one counts.
    pub(super) fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
