//! Tools for experiments and tests: stand-in servers, an open-loop load generator, latency and scaling measurements,
//! and the evaluation of the test bench's journal.

pub mod added_latency;
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
    added_latency::{AddedLatencyOptions, AddedLatencyRow, measure_added_latency},
    content::{Content, ContentStatus},
    emulate::{EmulateOptions, Emulation, ServiceTime},
    journal::{JournalOptions, JournalReport, journal},
    load::{LoadOptions, LoadSummary, load},
    quantity::parse_time,
    slopes::{SlopesOptions, slopes},
    timer::PreciseTimer,
};
