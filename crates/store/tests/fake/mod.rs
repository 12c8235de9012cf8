//! In-memory disk that simulates crashes, torn writes, a full disk and failed syncs.

use {
    hemlockford_store::Disk,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::BTreeMap,
        io::{Error, ErrorKind, Result},
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Size of the units that a torn write keeps or loses, in bytes.
const SECTOR: usize = 16;

#[derive(Debug, Clone, Default)]
struct Inode {
    durable: Vec<u8>,
    cached: Vec<u8>,
}

/// State of the disk. Names and contents become durable independently.
#[derive(Debug, Default)]
pub struct State {
    inodes: Vec<Inode>,
    cached: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    /// Number of operations that succeed before the process crashes.
    pub operations_left: Option<usize>,
    /// Capacity of the disk, in bytes.
    pub capacity: Option<usize>,
    /// Whether the disk also refuses to shorten and remove files while its capacity is limited.
    pub refuses_removals: bool,
    /// Number of syncs that succeed before one fails.
    pub syncs_left: Option<usize>,
}

/// In-memory disk; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct FakeDisk(Arc<Mutex<State>>);

impl FakeDisk {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Simulates a crash, which discards data that is not durable; unsynced appends may survive in part.
    pub fn crash(&self, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut state = self.state();
        state.operations_left = None;
        if rng.random() {
            // The file system had already written the names.
            state.durable = state.cached.clone();
        }
        state.cached = state.durable.clone();
        for inode in &mut state.inodes {
            if inode.cached.starts_with(&inode.durable) && rng.random() {
                let kept = inode.durable.len();
                let len = rng.random_range(kept..=inode.cached.len());
                inode.cached.truncate(len);
                for sector in inode.cached[kept..].chunks_mut(SECTOR) {
                    if rng.random_bool(0.2) {
                        sector.fill(0);
                    }
                }
                inode.durable = inode.cached.clone();
            }
            inode.cached = inode.durable.clone();
        }
    }

    pub fn bytes(&self, file: &str) -> Vec<u8> {
        let state = self.state();
        state.cached.get(file).map(|inode| state.inodes[*inode].cached.clone()).unwrap_or_default()
    }

    pub fn overwrite(&self, file: &str, data: Vec<u8>) {
        let mut state = self.state();
        let inode = state.cached[file];
        state.inodes[inode] = Inode { durable: data.clone(), cached: data };
    }
}

impl State {
    fn count_operation(&mut self) -> Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(Error::other("the process crashed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn check_removal(&self) -> Result<()> {
        let is_refused = self.refuses_removals && self.capacity.is_some();
        if is_refused { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn inode(&mut self, file: &str) -> Result<&mut Inode> {
        let at = *self.cached.get(file).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.inodes[at])
    }

    /// Appends as many bytes as fit.
    fn append_fitting(&mut self, file: &str, data: &[u8]) -> Result<()> {
        let used: usize = self.cached.values().map(|inode| self.inodes[*inode].cached.len()).sum();
        let fits = self.capacity.map_or(data.len(), |capacity| capacity.saturating_sub(used).min(data.len()));
        self.inode(file)?.cached.extend(&data[..fits]);
        if fits < data.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
    }
}

impl Disk for FakeDisk {
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>> {
        let state = self.state();
        Ok(state.cached.get(file).map(|inode| state.inodes[*inode].cached.clone()))
    }

    fn create(&mut self, file: &str, data: &[u8]) -> Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.cached.insert(file.into(), inode);
        state.append_fitting(file, data)
    }

    fn append(&mut self, file: &str, data: &[u8]) -> Result<()> {
        let mut state = self.state();
        // The process may crash during the write.
        let result = state.count_operation();
        state.append_fitting(file, data)?;
        result
    }

    fn truncate(&mut self, file: &str, len: u64) -> Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.check_removal()?;
        state.inode(file)?.cached.truncate(len as usize);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        if let Some(left) = &mut state.syncs_left {
            if *left == 0 {
                state.syncs_left = None;
                return Err(Error::other("the device failed"));
            }
            *left -= 1;
        }
        let inode = state.inode(file)?;
        inode.durable = inode.cached.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let inode = state.cached.remove(from).ok_or(ErrorKind::NotFound)?;
        state.cached.insert(to.into(), inode);
        Ok(())
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.check_removal()?;
        state.cached.remove(file);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        state.durable = state.cached.clone();
        Ok(())
    }
}
