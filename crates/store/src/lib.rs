//! Durable storage of a replica in one data folder. See docs/notes/store.md.
//!
//! The folder holds `identity` (incarnations), `log` (votes and entries, append-only) and `snapshot`.

mod data_folder;
mod disk;
mod identity;
mod record;
mod replay;
mod store;

pub use {
    data_folder::DataFolder,
    disk::Disk,
    store::{Opened, Store, StoreOptions},
};
