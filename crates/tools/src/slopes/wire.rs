//! Sizes of messages on the wire.

use {
    hemlockford_core::{
        control::{Channel, PeerMessage},
        errors::Result,
        slots::SlotMessage,
    },
    hemlockford_net::{Envelope, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode},
    serde::{Serialize, de::DeserializeOwned},
};

/// Bytes of IP and UDP headers of a datagram.
const UDP_BYTES: usize = 28;
/// Bytes of IP and TCP headers of a segment.
const TCP_BYTES: usize = 52;
/// Bytes of payload of a full segment on Ethernet.
const SEGMENT_BYTES: usize = 1_448;
/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 4;
/// Incarnations are the wall-clock time in nanoseconds, which takes 9 bytes.
pub(super) const INCARNATION: u64 = 1_790_000_000_000_000_000;

/// Part of the running instance's message type that stands in front of a message; both variants take a byte.
const TAG: u8 = 1;

/// A message as the running instances send it.
pub(super) struct Sent {
    /// The datagram, or the frame without its length.
    pub(super) bytes: Vec<u8>,
    /// Bytes on the wire with all headers and, for TCP, one acknowledgement for two segments.
    pub(super) on_wire: usize,
}

/// Encodes a control message.
pub(super) fn control(from: &str, message: &PeerMessage) -> Result<Sent> {
    send(from, message, message.channel() == Channel::Datagram)
}

/// Encodes a slot message.
pub(super) fn slots(from: &str, message: &SlotMessage) -> Result<Sent> {
    send(from, message, true)
}

/// Decodes a message.
pub(super) fn take<M: DeserializeOwned>(sent: &Sent) -> Result<M> {
    Ok(decode::<(u8, M)>(&sent.bytes)?.message.1)
}

fn send<M: Serialize>(from: &str, message: &M, is_datagram: bool) -> Result<Sent> {
    let envelope = Envelope { from: from.into(), incarnation: INCARNATION, message: (TAG, message) };
    let bytes = encode(&envelope, if is_datagram { MAX_DATAGRAM_BYTES } else { MAX_FRAME_BYTES })?;
    let on_wire = if is_datagram {
        bytes.len() + UDP_BYTES
    } else {
        let payload = bytes.len() + LENGTH_BYTES;
        let segments = payload.div_ceil(SEGMENT_BYTES);
        payload + TCP_BYTES * (segments + segments.div_ceil(2))
    };
    Ok(Sent { bytes, on_wire })
}
