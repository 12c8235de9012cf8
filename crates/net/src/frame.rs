//! The form of a message on the wire.
//!
//! A datagram is `version (1 byte) | crc32 of the body (4 bytes, little endian) | body`. A frame on a
//! stream has the length of that in front (4 bytes, little endian). The body is `postcard`.

use {
    crate::envelope::Envelope,
    hemlockford_core::{
        config::MAX_CONFIG_BYTES,
        errors::{Result, corrupt, limit},
    },
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the messages between instances.
const VERSION: u8 = 1;
/// Bytes in front of the body: version and checksum.
const PREFIX_BYTES: usize = 5;
/// Bytes in front of a frame on a stream: its length.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Largest datagram, in bytes. It fits the smallest path MTU in common use (1,280 bytes) with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_232;
/// Largest frame on a stream, in bytes: one operators' text and its envelope.
pub const MAX_FRAME_BYTES: usize = MAX_CONFIG_BYTES + 64 * 1024;

/// Encodes a message that may be at most `max` bytes long.
///
/// ```
/// use hemlockford_net::{Envelope, MAX_DATAGRAM_BYTES, decode, encode};
/// let envelope = Envelope { from: "e1".into(), incarnation: 7, message: 42_u32 };
/// let bytes = encode(&envelope, MAX_DATAGRAM_BYTES).unwrap();
/// assert_eq!(decode::<u32>(&bytes).unwrap(), envelope);
/// ```
pub fn encode<M: Serialize>(envelope: &Envelope<M>, max: usize) -> Result<Vec<u8>> {
    encode_after(0, envelope, max)
}

/// Encodes a frame on a stream: a message with its length in front, so that both are written at once.
pub(crate) fn encode_frame<M: Serialize>(envelope: &Envelope<M>) -> Result<Vec<u8>> {
    let mut bytes = encode_after(LENGTH_BYTES, envelope, MAX_FRAME_BYTES)?;
    // The length is bounded far below 4 GiB.
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Encodes a message behind `head` bytes that are left free.
fn encode_after<M: Serialize>(head: usize, envelope: &Envelope<M>, max: usize) -> Result<Vec<u8>> {
    let body = head + PREFIX_BYTES;
    let mut bytes = postcard::to_extend(envelope, vec![0; body]).map_err(|e| corrupt(e.to_string()))?;
    if bytes.len() - head > max {
        return Err(limit(format!("message of {} bytes is longer than {max}", bytes.len() - head)));
    }
    let checksum = crc32fast::hash(&bytes[body..]);
    bytes[head] = VERSION;
    bytes[head + 1..body].copy_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// Decodes a message; anything but a whole message of this version is an error.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<Envelope<M>> {
    let Some((prefix, body)) = bytes.split_at_checked(PREFIX_BYTES) else {
        return Err(corrupt("message is shorter than its prefix"));
    };
    if prefix[0] != VERSION {
        return Err(corrupt(format!("message has version {} instead of {VERSION}", prefix[0])));
    }
    if prefix[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(corrupt("checksum of a message does not match"));
    }
    let (envelope, rest) = postcard::take_from_bytes(body).map_err(|e| corrupt(e.to_string()))?;
    if !rest.is_empty() {
        return Err(corrupt("message is followed by further bytes"));
    }
    Ok(envelope)
}
