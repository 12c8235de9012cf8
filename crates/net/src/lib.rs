//! Messages between the instances of the system, and the timer service.
//!
//! Messages are `postcard` bodies with a version byte and a checksum. Small ones travel in UDP
//! datagrams, large or ordered ones over one TCP connection for each direction between two instances.
//! Both transports may lose messages; the state machines above repeat what matters.

mod backoff;
mod datagram;
mod envelope;
mod frame;
mod link;
mod options;
mod stream;
mod timer;

pub use {
    datagram::DatagramSocket,
    envelope::Envelope,
    frame::{MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode},
    options::NetOptions,
    stream::{StreamLinks, StreamListener},
    timer::{Timer, TimerTask},
};
