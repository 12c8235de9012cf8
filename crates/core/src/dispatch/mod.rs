//! Choice of a server for each call.

mod action;
mod attempt;
mod call;
mod dispatcher;
mod event;
mod finish;
mod load;
mod server;

pub use {
    action::DispatchAction,
    attempt::AttemptResult,
    call::Call,
    dispatcher::Dispatcher,
    event::DispatchEvent,
    finish::Finish,
    load::{LOAD_HEADER, LoadReport},
    server::{ServerState, ServerView},
};
