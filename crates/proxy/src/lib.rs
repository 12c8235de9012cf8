//! The HTTP path: from a caller's connection to a server's and back.
//!
//! Workers accept callers on a listener of their own, ask the dispatcher for a server through a
//! [`Gate`], and stream bodies in both directions through bounded buffers. `docs/notes/http.md` records
//! the decisions behind it.

mod attempt;
mod body;
mod call;
mod caller;
mod claims;
mod connection;
mod counters;
mod digest;
mod exchange;
mod framing;
mod gate;
mod handover;
mod headers;
mod options;
mod pool;
mod reply;
mod request;
mod session;
mod waiting;
mod worker;

pub use {
    claims::{Claim, ClaimDecision, ClaimMessage, ClaimTicket, SETTLED_BODY_LIMIT},
    counters::{CallRecord, ProxyCounters},
    gate::{Decision, Gate, GateMessage},
    handover::Handover,
    options::{ConnectionBound, ProxyOptions},
    worker::Worker,
};
