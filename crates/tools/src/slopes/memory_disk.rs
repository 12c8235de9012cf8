//! In-memory disk.

use {
    hemlockford_core::collections::FastMap,
    hemlockford_store::Disk,
    std::{
        io::{Error, ErrorKind, Result},
        sync::{Arc, Mutex, PoisonError},
    },
};

/// An in-memory disk that counts syncs, which excludes the latency of a real disk from measurements. Clones share their
/// files.
#[derive(Clone, Debug, Default)]
pub(super) struct MemoryDisk(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    files: FastMap<Box<str>, Vec<u8>>,
    syncs: u64,
}

impl MemoryDisk {
    /// Returns the length of a file, or 0 if it does not exist.
    pub(super) fn length(&self, file: &str) -> f64 {
        self.with(|state| state.files.get(file).map_or(0, Vec::len)) as f64
    }

    /// Returns the number of syncs so far.
    pub(super) fn syncs(&self) -> u64 {
        self.with(|state| state.syncs)
    }

    fn with<T>(&self, run: impl FnOnce(&mut State) -> T) -> T {
        run(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn modify(&self, file: &str, update: impl FnOnce(&mut Vec<u8>)) -> Result<()> {
        self.with(|state| state.files.get_mut(file).map(update).ok_or_else(|| Error::from(ErrorKind::NotFound)))
    }

    fn count_sync(&self) -> Result<()> {
        self.with(|state| state.syncs += 1);
        Ok(())
    }
}

impl Disk for MemoryDisk {
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.with(|state| state.files.get(file).cloned()))
    }

    fn create(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.with(|state| state.files.insert(file.into(), data.into()));
        Ok(())
    }

    fn append(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.modify(file, |content| content.extend_from_slice(data))
    }

    fn truncate(&mut self, file: &str, len: u64) -> Result<()> {
        self.modify(file, |content| content.truncate(len as usize))
    }

    fn sync(&mut self, _: &str) -> Result<()> {
        self.count_sync()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.with(|state| {
            let data = state.files.remove(from).ok_or_else(|| Error::from(ErrorKind::NotFound))?;
            state.files.insert(to.into(), data);
            Ok(())
        })
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.with(|state| state.files.remove(file));
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.count_sync()
    }
}
