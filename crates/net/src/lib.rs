//! Messages between the instances of the system, and the timer service.
//!
//! Messages are `postcard` bodies with a version byte and a checksum. Small ones travel in UDP
//! datagrams, large or ordered ones over one TCP connection for each direction between two instances. Where
//! `NetOptions::ack_timeout` is set, the receiver acknowledges each frame with one byte.
//! Both transports may lose messages; the state machines above repeat what matters.

mod backoff;
mod datagram;
mod envelope;
mod frame;
mod link;
mod listener;
mod options;
mod stream;
mod timer;
mod unacknowledged;

pub use {
    datagram::DatagramSocket,
    envelope::Envelope,
    frame::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode},
    listener::StreamListener,
    options::NetOptions,
    stream::StreamLinks,
    timer::{Timer, TimerTask},
};
