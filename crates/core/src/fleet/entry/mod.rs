//! The part of an entry that finds a current replica, polls it and installs what it says.

mod action;
mod event;
mod known;
mod machine;
mod options;
mod polls;
mod search;
mod view;

use {known::Known, polls::Polls, search::Search, view::View};

pub use {action::EntryAction, event::EntryEvent, machine::EntryLink, options::EntryOptions};
