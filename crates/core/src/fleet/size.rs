//! Encoded sizes of messages.

use {
    super::FleetMessage,
    crate::consensus::{Entry, MessageBody},
    postcard::ser_flavors::Size,
};

/// Maximum size of a datagram. This passes common network paths without fragmentation.
const DATAGRAM_BYTES: usize = 1_200;
/// Size reserved for the envelope that the transport adds: version, sender and incarnation.
const ENVELOPE_BYTES: usize = 160;

impl FleetMessage {
    /// Returns whether the message and its envelope fit in one datagram of 1,200 bytes.
    ///
    /// ```
    /// use hemlockford_core::fleet::FleetMessage;
    /// assert!(FleetMessage::RecordRequest(vec!["server".into()]).fits_datagram());
    /// assert!(!FleetMessage::RecordRequest(vec!["server".into(); 1_200]).fits_datagram());
    /// ```
    pub fn fits_datagram(&self) -> bool {
        // Avoids encoding messages that are certainly too long.
        let is_long = match self {
            Self::Install(update) => update.size() > DATAGRAM_BYTES,
            Self::Servers(servers) => servers.usable.len() > DATAGRAM_BYTES / 8,
            Self::Consensus(message) => match &message.body {
                MessageBody::Append { entries, .. } => entries.iter().map(Entry::size).sum::<usize>() > DATAGRAM_BYTES,
                MessageBody::SnapshotPiece { .. } => true,
                _ => false,
            },
            Self::StatusResponse(greeting) => greeting.records.is_some(),
            Self::Request { request: super::Request::Submit { text, .. }, .. }
            | Self::Reply { reply: super::Reply::Current { text, .. }, .. } => text.len() > DATAGRAM_BYTES,
            _ => false,
        };
        !is_long && self.size().is_some_and(|size| size + ENVELOPE_BYTES <= DATAGRAM_BYTES)
    }

    fn size(&self) -> Option<usize> {
        postcard::serialize_with_flavor(self, Size::default()).ok()
    }
}
