//! Durable storage of a replica in a data folder. See docs/notes/store.md.
//!
//! The folder contains the files `identity` (incarnations), `log` (hard states and entries, append-only), `snapshot`
//! and `directory` (saved records of the servers).

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
