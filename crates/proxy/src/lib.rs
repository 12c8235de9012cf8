//! The HTTP path: from a caller's connection to a server's and back.
//!
//! Workers accept callers on a listener of their own, ask the dispatcher for a server through a
//! [`DispatcherHandle`], and stream bodies in both directions through bounded buffers. `docs/notes/http.md` records
//! the decisions behind it.

mod attempt;
mod body;
mod call;
mod call_end;
mod caller;
mod caller_writer;
mod claims;
mod conclude;
mod connection;
mod counters;
mod dialect;
mod digest;
mod dispatcher;
mod exchange;
mod framing;
mod headers;
mod load_format;
mod options;
mod pending_decision;
mod pool;
mod probe;
mod reply;
mod request;
mod routing;
mod saved_response;
mod service_selection;
mod session;
mod shared;
mod split;
mod worker;
mod worker_balancer;

pub use {
    actix_http::header::{HeaderName, HeaderValue},
    claims::{Claim, ClaimDecision, ClaimMessage, ClaimTicket, RECORDED_BODY_LIMIT},
    counters::{CallRecord, ProxyCounters},
    dialect::Dialect,
    dispatcher::{Decision, DispatcherHandle, DispatcherMessage},
    load_format::LoadFormat,
    options::{ConnectionLimit, ProxyOptions},
    probe::Probe,
    service_selection::ServiceSelection,
    worker::Worker,
    worker_balancer::WorkerBalancer,
};
