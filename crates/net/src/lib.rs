//! Transports for messages between instances, and the timer service.
//!
//! Messages consist of a version byte, a checksum and a body encoded with `postcard`. Small messages are sent in UDP
//! datagrams. Large or ordered messages are sent over TCP, with one connection per direction between two instances. If
//! `NetOptions::ack_timeout` is set, the receiver acknowledges each frame with one byte. Both transports may lose
//! messages; the state machines that use them retransmit if necessary.

mod backoff;
mod datagram;
mod envelope;
mod frame;
mod link;
mod listener;
mod options;
mod stream;
mod timer;
mod unacknowledged_frames;

pub use {
    datagram::DatagramSocket,
    envelope::Envelope,
    frame::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode},
    listener::StreamListener,
    options::NetOptions,
    stream::StreamLinks,
    timer::{Timer, TimerTask},
};
