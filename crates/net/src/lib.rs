//! Transports for messages between instances, the timer service, and the clock of leases.
//!
//! Messages consist of a version byte, a checksum and a body encoded with `postcard`. Small messages are sent in UDP
//! datagrams. Large or ordered messages are sent over TCP, with one connection per direction between two instances. If
//! `NetOptions::ack_timeout` is set, the receiver acknowledges each frame with one byte. Both transports may lose
//! messages; the state machines that use them retransmit if necessary.

mod backoff;
mod boot_clock;
mod datagram;
mod envelope;
mod frame;
mod link;
mod listener;
mod options;
mod stream;
mod timer;
mod unacknowledged_frames;
mod unreadable_frame;

pub use {
    boot_clock::BootClock,
    datagram::DatagramSocket,
    envelope::Envelope,
    frame::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MESSAGE_VERSION, decode, encode},
    listener::StreamListener,
    options::NetOptions,
    stream::StreamLinks,
    timer::{Timer, TimerTask},
    unreadable_frame::UnreadableFrame,
};
