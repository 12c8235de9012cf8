//! A disk in memory.

use {
    hemlockford_core::collections::FastMap,
    hemlockford_store::Disk,
    std::{
        io::{Error, ErrorKind, Result},
        sync::{Arc, Mutex, PoisonError},
    },
};

/// A disk in memory that counts syncs. Clones share their files. It keeps the wait for a busy disk out of
/// measured times.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryDisk(Arc<Mutex<Content>>);

#[derive(Debug, Default)]
struct Content {
    files: FastMap<Box<str>, Vec<u8>>,
    syncs: u64,
}

impl MemoryDisk {
    /// Returns the length of a file; 0 if there is none.
    pub(super) fn length(&self, file: &str) -> f64 {
        self.with(|content| content.files.get(file).map_or(0, Vec::len)) as f64
    }

    /// Returns the number of syncs so far.
    pub(super) fn syncs(&self) -> u64 {
        self.with(|content| content.syncs)
    }

    fn with<T>(&self, run: impl FnOnce(&mut Content) -> T) -> T {
        run(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn change(&self, file: &str, run: impl FnOnce(&mut Vec<u8>)) -> Result<()> {
        self.with(|content| content.files.get_mut(file).map(run).ok_or_else(|| Error::from(ErrorKind::NotFound)))
    }

    fn count_sync(&self) -> Result<()> {
        self.with(|content| content.syncs += 1);
        Ok(())
    }
}

impl Disk for MemoryDisk {
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.with(|content| content.files.get(file).cloned()))
    }

    fn create(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.with(|content| content.files.insert(file.into(), data.into()));
        Ok(())
    }

    fn append(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.change(file, |content| content.extend_from_slice(data))
    }

    fn truncate(&mut self, file: &str, len: u64) -> Result<()> {
        self.change(file, |content| content.truncate(len as usize))
    }

    fn sync(&mut self, _: &str) -> Result<()> {
        self.count_sync()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.with(|content| {
            let data = content.files.remove(from).ok_or_else(|| Error::from(ErrorKind::NotFound))?;
            content.files.insert(to.into(), data);
            Ok(())
        })
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.with(|content| content.files.remove(file));
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.count_sync()
    }
}
