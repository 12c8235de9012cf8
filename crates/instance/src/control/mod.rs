//! The control part of a running instance: the task, its messages and the page that shows its state.

mod control_task;
mod control_thread;
mod message;
mod pending_claims;
mod status;

pub(crate) use {
    control_task::{ControlParts, ControlTask},
    control_thread::{ControlThread, control_options},
    message::ControlMessage,
    status::Status,
};
