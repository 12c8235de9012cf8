//! Durable storage of a replica in one data folder. See docs/notes/store.md.
//!
//! The folder holds `identity` (incarnations), `log` (votes and entries, append-only) and `snapshot`.

mod disk;
mod folder;
mod identity;
mod record;
mod replay;
mod store;

pub use {
    disk::Disk,
    folder::Folder,
    store::{Opened, Store, StoreOptions},
};
