//! The control plane of one instance: membership, configuration freshness, server registry, replicated log and
//! ledger.
//!
//! An instance that is a replica takes part in the replicated log; every other instance forwards its requests to the
//! leader. All instances store the servers and the configuration.

mod action;
mod answer;
mod event;
mod incoming_requests;
mod install;
mod log_event;
mod machine;
mod message;
mod options;
mod outgoing_requests;
mod pending;
mod replica;
mod replicate;
mod request;

pub use {
    action::ControlAction,
    answer::{Answer, ClaimAnswer, SubmitAnswer},
    event::ControlEvent,
    log_event::ControlLogEvent,
    machine::Control,
    message::{Channel, PeerMessage},
    options::ControlOptions,
    request::{Reply, Request, RequestId},
};

use std::time::Duration;

/// Time between two `Tick` events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after proposing a claim within which its holder may send the request. A holder that was suspended for longer
/// must not send, as the claim may have expired.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(10);

/// Time after which an unanswered submission is reported as not accepted or unknown.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
