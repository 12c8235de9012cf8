//! The tasks of a running instance and their wiring.
//!
//! Each task owns its sockets and its state and talks to the others by messages: HTTP workers accept
//! callers, the dispatcher's task chooses servers, the control task keeps servers and the text, and
//! the admin task speaks HTTP with servers, operators and the platform.

mod admin;
mod control;
mod dispatcher;
mod instance;
mod settings;

pub use {
    instance::{Addresses, Instance},
    settings::{Peer, Settings},
};
