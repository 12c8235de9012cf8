//! Wire format of messages.
//!
//! A datagram is `version (1 byte) | crc32 of the body (4 bytes, little endian) | body`. A frame on a stream is prefixed
//! with the length of these fields (4 bytes, little endian). The body is encoded with `postcard`.

use {
    crate::envelope::Envelope,
    hemlockford_core::{
        config::MAX_CONFIG_BYTES,
        errors::{Result, corrupt, limit},
    },
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the messages between instances.
pub const MESSAGE_VERSION: u8 = 1;
/// Length of the version and checksum before the body, in bytes.
const HEADER_BYTES: usize = 5;
/// Length of the length prefix of a frame on a stream, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Maximum size of a datagram in bytes. With its headers, it fits the smallest path MTU in common use (1,280 bytes).
pub const MAX_DATAGRAM_BYTES: usize = 1_232;
/// Maximum size of a frame on a stream in bytes: one configuration and its envelope.
pub const MAX_FRAME_BYTES: usize = MAX_CONFIG_BYTES + 64 * 1024;

/// Encodes a message of at most `max` bytes.
///
/// ```
/// use hemlockford_net::{Envelope, MAX_DATAGRAM_BYTES, decode, encode};
/// let envelope = Envelope { from: "e1".into(), incarnation: 7, message: 42_u32 };
/// let bytes = encode(&envelope, MAX_DATAGRAM_BYTES).unwrap();
/// assert_eq!(decode::<u32>(&bytes).unwrap(), envelope);
/// ```
pub fn encode<M: Serialize>(envelope: &Envelope<M>, max: usize) -> Result<Vec<u8>> {
    encode_at(0, envelope, max)
}

/// Encodes a frame on a stream: a message with its length prefix, so that both are written at once.
pub(crate) fn encode_frame<M: Serialize>(envelope: &Envelope<M>) -> Result<Vec<u8>> {
    let mut bytes = encode_at(LENGTH_BYTES, envelope, MAX_FRAME_BYTES)?;
    // The length is limited to far less than 4 GiB.
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Encodes a message at `offset`; the bytes before it are zero.
fn encode_at<M: Serialize>(offset: usize, envelope: &Envelope<M>, max: usize) -> Result<Vec<u8>> {
    let body = offset + HEADER_BYTES;
    let mut bytes = postcard::to_extend(envelope, vec![0; body]).map_err(|e| corrupt(e.to_string()))?;
    if bytes.len() - offset > max {
        return Err(limit(format!("message of {} bytes is longer than {max}", bytes.len() - offset)));
    }
    let checksum = crc32fast::hash(&bytes[body..]);
    bytes[offset] = MESSAGE_VERSION;
    bytes[offset + 1..body].copy_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// Returns whether a message of this version arrived as it was sent, whether or not it can be read.
pub(crate) fn is_intact(bytes: &[u8]) -> bool {
    body(bytes).is_ok()
}

fn body(bytes: &[u8]) -> Result<&[u8]> {
    let Some((header, body)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(corrupt("message is shorter than its header"));
    };
    if header[0] != MESSAGE_VERSION {
        return Err(corrupt(format!("message has version {} instead of {MESSAGE_VERSION}", header[0])));
    }
    if header[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(corrupt("message has an invalid checksum"));
    }
    Ok(body)
}

/// Decodes a message. Any input other than exactly one complete message of this version is an error.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Envelope<M>> {
    let body = body(bytes)?;
    let (envelope, rest) = postcard::take_from_bytes(body).map_err(|e| corrupt(e.to_string()))?;
    if !rest.is_empty() {
        return Err(corrupt("message is followed by extra bytes"));
    }
    Ok(envelope)
}
