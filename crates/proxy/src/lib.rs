//! The HTTP path: from a caller's connection to a server's and back.
//!
//! Workers accept callers on a listener of their own, ask the dispatcher for a server through a
//! [`Gate`], and stream bodies in both directions through bounded buffers.

mod answer;
mod connection;
mod gate;
mod handler;
mod headers;
mod options;
mod pool;
mod worker;

pub use {
    gate::{Decision, Gate, GateMessage},
    options::ProxyOptions,
    worker::Worker,
};
