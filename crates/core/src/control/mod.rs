//! The control part of one instance: membership, currency, registry, replicated log and ledger together.
//!
//! An instance that is a replica owns a part of the replicated log; every other instance forwards its
//! requests to the leader. All instances keep servers and the configuration.

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

/// Time between two ticks that the task gives to the state machine.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after proposing a claim for which its holder may send the request. A holder that was frozen for
/// longer does not send, as the claim may be over.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(10);

/// Time after which a submission without an answer is reported as not accepted or unknown.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(10);
