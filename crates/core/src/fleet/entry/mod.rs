//! The part of an entry that finds a current replica, polls it and installs what it says.

mod action;
mod event;
mod options;

pub use {action::EntryAction, event::EntryEvent, options::EntryOptions};
