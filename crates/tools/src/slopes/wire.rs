//! Encoding of messages and their sizes on the wire.

use {
    hemlockford_core::{
        control::{Channel, PeerMessage},
        errors::Result,
        slots::SlotMessage,
    },
    hemlockford_net::{Envelope, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode},
    serde::{Serialize, de::DeserializeOwned},
};

/// Length of the IP and UDP headers of a datagram.
const UDP_HEADER_BYTES: usize = 28;
/// Length of the IP and TCP headers of a segment.
const TCP_HEADER_BYTES: usize = 52;
/// Payload length of a full TCP segment on Ethernet.
const SEGMENT_PAYLOAD_BYTES: usize = 1_448;
/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// A realistic incarnation: the wall-clock time in nanoseconds, which is encoded in 9 bytes.
pub(super) const INCARNATION: u64 = 1_790_000_000_000_000_000;

/// Variant tag of the instance's message type, which precedes each message. Both variants are encoded in one byte.
const VARIANT_TAG: u8 = 1;

/// A message encoded as the instances send it.
pub(super) struct EncodedMessage {
    /// Content of the datagram, or of the frame without its length prefix.
    pub(super) bytes: Vec<u8>,
    /// Number of bytes on the wire including all headers and, for TCP, one acknowledgement for every two segments.
    pub(super) wire_bytes: usize,
}

/// Encodes a control message.
pub(super) fn encode_control(from: &str, message: &PeerMessage) -> Result<EncodedMessage> {
    encode_message(from, message, message.channel() == Channel::Datagram)
}

/// Encodes a slot message.
pub(super) fn encode_slots(from: &str, message: &SlotMessage) -> Result<EncodedMessage> {
    encode_message(from, message, true)
}

/// Decodes a message.
pub(super) fn decode_message<M: DeserializeOwned>(encoded: &EncodedMessage) -> Result<M> {
    Ok(decode::<(u8, M)>(&encoded.bytes)?.message.1)
}

fn encode_message<M: Serialize>(from: &str, message: &M, is_datagram: bool) -> Result<EncodedMessage> {
    let envelope = Envelope { from: from.into(), incarnation: INCARNATION, message: (VARIANT_TAG, message) };
    let bytes = encode(&envelope, if is_datagram { MAX_DATAGRAM_BYTES } else { MAX_FRAME_BYTES })?;
    let wire_bytes = if is_datagram {
        bytes.len() + UDP_HEADER_BYTES
    } else {
        let payload = bytes.len() + LENGTH_PREFIX_BYTES;
        let segments = payload.div_ceil(SEGMENT_PAYLOAD_BYTES);
        payload + TCP_HEADER_BYTES * (segments + segments.div_ceil(2))
    };
    Ok(EncodedMessage { bytes, wire_bytes })
}
