//! The HTTP path: forwards requests of callers to servers and the servers' responses to the callers.
//!
//! Workers accept the callers' connections on a listener of their own, ask the dispatcher for a server through a
//! [`DispatcherHandle`], and stream bodies in both directions through bounded buffers. The design decisions are
//! recorded in `docs/notes/http.md`.

mod attempt;
mod attempt_route;
mod body;
mod call;
mod call_end;
mod caller;
mod caller_writer;
mod claims;
mod client_budget;
mod client_guard;
mod client_limits;
mod conclude;
mod connection;
mod copy_call;
mod copy_offer;
mod copy_wait;
mod counters;
mod crash_check;
mod credentials;
mod customer_refusals;
mod dialect;
mod digest;
mod dispatcher;
mod exchange;
mod fingerprint;
mod forwarding;
mod framing;
mod headers;
mod load_format;
mod memory_budget;
mod named_limits;
mod options;
mod pending_decision;
mod pipeline;
mod pool;
mod probe;
mod recorded_response;
mod reply;
mod request;
mod request_id_echo;
mod request_sequence;
mod request_source;
mod response_check;
mod response_head_check;
mod routing;
mod saved_error;
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
    client_budget::ClientBudget,
    client_guard::ClientGuard,
    client_limits::ClientLimits,
    counters::{CallRecord, ProxyCounters},
    dialect::Dialect,
    dispatcher::{CopyTarget, Decision, DispatcherHandle, DispatcherMessage},
    load_format::LoadFormat,
    memory_budget::{ClientId, ClientKind, ClientState, CloseReason, Closing, MemoryBudget},
    options::{ConnectionLimit, ProxyOptions},
    probe::Probe,
    request_id_echo::RequestIdEcho,
    service_selection::ServiceSelection,
    worker::Worker,
    worker_balancer::WorkerBalancer,
};
