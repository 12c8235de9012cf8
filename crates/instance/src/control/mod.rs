//! Control plane of a running instance: its thread, the task that runs the state machine, and the status page.

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
