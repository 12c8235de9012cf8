//! Record of a server as announced by itself.

use {
    crate::ids::{DataCentreId, ServerId, ServiceId},
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum length of a name in a record, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Latest start time of a server, in Unix milliseconds: the year 2248. A record with a later one would supersede every
/// start of the server, as the highest incarnation counts.
pub const MAX_INCARNATION: u64 = 1 << 43;

/// Why a record is invalid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RecordError {
    /// A name has no permitted length.
    #[display("the {field} has {bytes} bytes; {} to {MAX_NAME_BYTES} are permitted", u8::from(*is_required))]
    NameLength {
        /// The field that holds the name.
        field: &'static str,
        /// Length of the name.
        bytes: usize,
        /// Whether the name must not be empty.
        is_required: bool,
    },
    /// The start time is later than [`MAX_INCARNATION`].
    #[display("the start time {_0} ms is later than {MAX_INCARNATION} ms")]
    StartTime(u64),
}

impl RecordError {
    /// Returns the name of the invalid field.
    ///
    /// ```
    /// assert_eq!(hemlockford_core::fleet::RecordError::StartTime(u64::MAX).field(), "start time");
    /// ```
    pub fn field(&self) -> &'static str {
        match self {
            Self::NameLength { field, .. } => field,
            Self::StartTime(_) => "start time",
        }
    }
}

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
    /// Checks that every name has a permitted length and that the start time is possible.
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
    /// assert!(record.check().is_ok() && record.is_valid());
    /// let error = ServerRecord { server: "a".repeat(130).into(), ..record }.check().unwrap_err();
    /// assert_eq!(error.to_string(), "the server id has 130 bytes; 1 to 128 are permitted");
    /// ```
    pub fn check(&self) -> Result<(), RecordError> {
        let names: [(&str, &str, bool); 4] = [
            ("server id", &self.server, true),
            ("service", &self.service, true),
            ("data centre", &self.data_centre, false),
            ("version", &self.version, false),
        ];
        for (field, name, is_required) in names {
            if name.len() > MAX_NAME_BYTES || is_required && name.is_empty() {
                return Err(RecordError::NameLength { field, bytes: name.len(), is_required });
            }
        }
        if self.incarnation > MAX_INCARNATION {
            return Err(RecordError::StartTime(self.incarnation));
        }
        Ok(())
    }

    /// Returns whether [`check`](Self::check) finds no error.
    pub fn is_valid(&self) -> bool {
        self.check().is_ok()
    }

    /// Returns incarnation and sequence number. Of two announcements of one server the one with the higher pair is
    /// newer.
    pub(super) fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}

/// Returns whether a record can have this server name. No machine uses a server with another one.
pub(super) fn is_server_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
