//! Stand-in servers, an open-loop load generator and comparisons of the two, for experiments and tests.

pub mod compare;
mod content;
pub mod emulate;
mod headers;
mod histogram;
pub mod journal;
pub mod load;
mod plot;
mod quantity;
pub mod slopes;
mod timer;

pub use {
    compare::{AddedLatencyOptions, AddedLatencyRow, added},
    content::{Content, ContentStatus},
    emulate::{EmulateOptions, Emulation, ServiceTime},
    journal::{JournalOptions, JournalReport, journal},
    load::{LoadOptions, LoadSummary, load},
    quantity::parse_time,
    slopes::{SlopesOptions, slopes},
    timer::PreciseTimer,
};
