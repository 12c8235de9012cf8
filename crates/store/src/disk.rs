//! Abstraction of file operations.

use std::{fmt::Debug, io::Result};

/// File operations in a folder. Changes are not durable until the corresponding sync.
///
/// The production implementation is [`DataFolder`](crate::DataFolder). Tests use a fake disk that simulates crashes, a
/// full disk and failed syncs.
pub trait Disk: Debug + Send {
    /// Returns the contents of a file; `None` if it does not exist.
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>>;
    /// Creates a file or replaces its contents.
    fn create(&mut self, file: &str, data: &[u8]) -> Result<()>;
    /// Appends to an existing file.
    fn append(&mut self, file: &str, data: &[u8]) -> Result<()>;
    /// Truncates a file to a length.
    fn truncate(&mut self, file: &str, len: u64) -> Result<()>;
    /// Makes the contents of a file durable.
    fn sync(&mut self, file: &str) -> Result<()>;
    /// Renames a file, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file.
    fn remove(&mut self, file: &str) -> Result<()>;
    /// Makes created, renamed and removed directory entries durable.
    fn sync_folder(&mut self) -> Result<()>;
}
