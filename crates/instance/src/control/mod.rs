//! The control part of a running instance: the task, its messages and the page that shows its state.

mod claims;
mod message;
mod status;
mod task;
mod thread;

pub(crate) use {
    message::ControlMessage,
    status::Status,
    task::{ControlParts, ControlTask},
    thread::{ControlThread, control_options},
};
