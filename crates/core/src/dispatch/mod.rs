//! Choice of a server for each call.

mod action;
mod active;
mod attempt;
mod call;
mod call_options;
mod call_rate;
mod dispatcher;
mod event;
mod exclusions;
mod finished_attempt;
mod load;
mod measurement;
mod options;
mod relay_address;
mod retrying;
mod server;
mod server_notice;
mod servers;
mod service;
mod waiting;

pub use {
    action::DispatchAction,
    attempt::AttemptResult,
    call::Call,
    call_options::CallOptions,
    call_rate::CallRate,
    dispatcher::Dispatcher,
    event::DispatchEvent,
    finished_attempt::FinishedAttempt,
    load::{LOAD_HEADER, LoadReport, NOMINAL_PACE, WANT_LOAD_HEADER},
    options::DispatchOptions,
    relay_address::RelayAddress,
    server::{ServerState, ServerView},
    server_notice::{MAX_SERVER_PAUSE, ServerNotice},
};

pub(crate) use exclusions::{Exclusion, Exclusions};

use {active::ActiveCall, measurement::Measurement, servers::Servers, service::ServiceState};
