//! File operations at the edge of the process.

use std::{fmt::Debug, io::Result};

/// File operations in one folder. Nothing is durable before the matching sync.
///
/// The one implementation for the process is [`DataFolder`](crate::DataFolder); tests put a disk in its place
/// that crashes, is full, or fails a sync.
pub trait Disk: Debug + Send {
    /// Content of a file; `None` if it does not exist.
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>>;
    /// Creates or replaces a file.
    fn create(&mut self, file: &str, data: &[u8]) -> Result<()>;
    /// Adds to the end of a file, which exists.
    fn append(&mut self, file: &str, data: &[u8]) -> Result<()>;
    /// Cuts a file off at a length.
    fn truncate(&mut self, file: &str, len: u64) -> Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, file: &str) -> Result<()>;
    /// Renames a file over another one.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file.
    fn remove(&mut self, file: &str) -> Result<()>;
    /// Makes created, renamed and removed names durable.
    fn sync_folder(&mut self) -> Result<()>;
}
