//! Choice of a server for each call.

mod action;
mod active;
mod attempt;
mod call;
mod dispatcher;
mod event;
mod finish;
mod load;
mod measuring;
mod options;
mod retrying;
mod server;
mod servers;
mod service;
mod terms;
mod waiting;

pub use {
    action::DispatchAction,
    attempt::AttemptResult,
    call::Call,
    dispatcher::Dispatcher,
    event::DispatchEvent,
    finish::Finish,
    load::{LOAD_HEADER, LoadReport, USUAL_PACE, WANT_LOAD_HEADER},
    options::DispatchOptions,
    server::{ServerState, ServerView},
    terms::CallTerms,
};

use {active::ActiveCall, measuring::Measuring, servers::Servers, service::ServiceState};
