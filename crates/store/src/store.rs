//! The store of a replica.

use {
    crate::{
        DataFolder, Disk,
        identity::Identity,
        record::{self, LogBody, LogRecord},
        replay::Replay,
    },
    hemlockford_core::{
        consensus::{Entry, HardState, Recovered, Snapshot, Write},
        errors::{self, ErrorKind, Result, corrupt},
        ids::{Incarnation, LogIndex, Term},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io::{self, ErrorKind as IoErrorKind},
        path::Path,
        sync::Arc,
    },
};

const IDENTITY_FILE: &str = "identity";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const DIRECTORY_FILE: &str = "directory";
/// Maximum size of the saved directory. A larger one is treated as missing.
const MAX_DIRECTORY_BYTES: usize = 1024 * 1024;
/// Suffix of a temporary file that replaces another one by a rename.
const TEMPORARY_SUFFIX: &str = ".new";

/// Options of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Wall-clock time in nanoseconds. Incarnations of new folders and processes are derived from it, so that they
    /// increase even if the folder was lost.
    pub wall_clock_ns: u64,
}

/// An opened store and the state that was recovered from its folder.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The last saved directory; empty if it is missing or corrupt.
    pub directory: Vec<u8>,
    /// State for starting consensus, including the incarnation of the folder.
    pub recovered: Recovered,
    /// Incarnation of this process, which increases with each start.
    pub process_incarnation: Incarnation,
    /// Whether the folder was empty.
    pub is_new: bool,
    /// Length of the torn tail that was removed from the log, in bytes.
    pub truncated_bytes: u64,
}

/// The store of a replica. Writes are durable when the function returns.
///
/// A write that fails because the disk is full has no effect and may be retried; later writes must not be made before
/// it. After any other failure the state of the folder is unknown, and the store rejects all further operations.
#[derive(Debug)]
pub struct Store {
    disk: Box<dyn Disk>,
    len: u64,
    /// Whether a part of a record may follow the end of the log, because a full disk refused to remove it.
    has_partial_record: bool,
    is_failed: bool,
}

impl Store {
    /// Opens the store in a folder, which is created if it does not exist.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::consensus::{Entry, Payload},
    ///     hemlockford_store::{Store, StoreOptions},
    /// };
    /// let folder = tempfile::tempdir().unwrap();
    /// let mut opened = Store::open(folder.path(), StoreOptions { wall_clock_ns: 5 }).unwrap();
    /// assert!(opened.is_new);
    /// opened.store.append(&[Entry { index: 1, term: 1, payload: Payload::Noop }]).unwrap();
    /// drop(opened);
    /// let opened = Store::open(folder.path(), StoreOptions { wall_clock_ns: 9 }).unwrap();
    /// assert_eq!((opened.is_new, opened.recovered.incarnation), (false, 5));
    /// assert_eq!(opened.recovered.entries.len(), 1);
    /// ```
    pub fn open(folder: &Path, options: StoreOptions) -> Result<Opened> {
        Self::open_disk(Box::new(DataFolder::open(folder)?), options)
    }

    /// Opens the store on a disk.
    pub fn open_disk(disk: Box<dyn Disk>, options: StoreOptions) -> Result<Opened> {
        let mut store = Self { disk, len: 0, has_partial_record: false, is_failed: false };
        let saved_identity: Option<Identity> = store.read_record(IDENTITY_FILE)?;
        let snapshot: Option<Snapshot> = store.read_record(SNAPSHOT_FILE)?;
        let log = store.disk.read(LOG_FILE).map_err(|error| io_error("read", LOG_FILE, &error))?;
        match (&saved_identity, &log) {
            (Some(_), None) => return Err(corrupt(format!("{LOG_FILE} is missing"))),
            (None, Some(data)) if !data.is_empty() || snapshot.is_some() => {
                return Err(corrupt(format!("{IDENTITY_FILE} is missing")));
            }
            (None, None) if snapshot.is_some() => return Err(corrupt(format!("{IDENTITY_FILE} is missing"))),
            _ => {}
        }
        let data = log.unwrap_or_default();
        let stored = snapshot.as_ref().map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let replay = Replay::read(LOG_FILE, &data, stored)?;
        if replay.snapshot_position().0 > stored.0 {
            return Err(corrupt(format!("{SNAPSHOT_FILE} is older than {LOG_FILE}")));
        }
        let truncated_bytes = data.len() - replay.intact_len;
        if saved_identity.is_none() {
            store.run_or_fail(|disk| disk.create(LOG_FILE, &[]).and_then(|()| disk.sync(LOG_FILE)), LOG_FILE)?;
        } else {
            // Data that a crashed process left unsynced must be durable before new writes depend on it.
            let len = replay.intact_len as u64;
            store.run_or_fail(|disk| disk.truncate(LOG_FILE, len).and_then(|()| disk.sync(LOG_FILE)), LOG_FILE)?;
        }
        store.len = replay.intact_len as u64;
        if replay.is_snapshot_unnamed {
            // The process ended before the log named the snapshot. No entry may be appended before it does. The name of
            // the snapshot's file may not be durable yet, and a log must not name a snapshot that a loss of power undoes.
            store.run_or_fail(|disk| disk.sync_folder(), SNAPSHOT_FILE)?;
            store.name_snapshot(stored)?;
        } else if replay.has_gap {
            store.compact(stored)?;
        }
        let identity = Identity::next(saved_identity, options.wall_clock_ns);
        store.replace(IDENTITY_FILE, &identity)?;
        let directory = if saved_identity.is_some() { store.read_directory() } else { Vec::new() };
        let recovered = Recovered {
            incarnation: identity.folder_incarnation,
            hard_state: replay.hard_state,
            snapshot: snapshot.map(Arc::new),
            entries: replay.entries,
        };
        let (process_incarnation, is_new) = (identity.process_incarnation, saved_identity.is_none());
        Ok(Opened { store, directory, recovered, process_incarnation, is_new, truncated_bytes: truncated_bytes as u64 })
    }

    /// Gives the folder and the next process later incarnations than this one.
    ///
    /// ```
    /// use hemlockford_store::{Store, StoreOptions};
    /// let folder = tempfile::tempdir().unwrap();
    /// let mut opened = Store::open(folder.path(), StoreOptions { wall_clock_ns: 5 }).unwrap();
    /// opened.store.renumber(20).unwrap();
    /// drop(opened);
    /// let opened = Store::open(folder.path(), StoreOptions { wall_clock_ns: 9 }).unwrap();
    /// assert!(opened.recovered.incarnation > 20 && opened.process_incarnation > 20);
    /// ```
    pub fn renumber(&mut self, latest: Incarnation) -> Result<()> {
        let later = latest.saturating_add(1);
        self.replace(IDENTITY_FILE, &Identity { folder_incarnation: later, process_incarnation: later })
    }

    /// Appends entries.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        self.write(&mut vec![Write::Append(entries.to_vec())])
    }

    /// Replaces the hard state.
    pub fn save_hard_state(&mut self, hard_state: &HardState) -> Result<()> {
        self.write(&mut vec![Write::HardState(hard_state.clone())])
    }

    /// Removes the entries starting at an index.
    pub fn truncate(&mut self, from: LogIndex) -> Result<()> {
        self.write(&mut vec![Write::Truncate(from)])
    }

    /// Replaces the snapshot and removes the entries that it covers.
    pub fn save_snapshot(&mut self, snapshot: Arc<Snapshot>) -> Result<()> {
        self.write(&mut vec![Write::Snapshot(snapshot)])
    }

    /// Executes writes in order, with one fsync for all writes between two snapshots. Durable writes are removed from
    /// the list; if the disk is full, the remaining ones are left in it for a retry.
    pub fn write(&mut self, writes: &mut Vec<Write>) -> Result<()> {
        while !writes.is_empty() {
            let records = writes.iter().take_while(|write| !matches!(write, Write::Snapshot(_))).count();
            let mut buf = Vec::new();
            for write in &writes[..records] {
                self.encode_write(write, &mut buf)?;
            }
            self.flush(buf)?;
            writes.drain(..records);
            if let Some(Write::Snapshot(snapshot)) = writes.first() {
                self.replace(SNAPSHOT_FILE, &**snapshot)?;
                self.name_snapshot((snapshot.index, snapshot.term))?;
                writes.remove(0);
            }
        }
        self.check_usable()
    }

    /// Replaces the saved directory. After a failure, either the old one or none is present, and the store remains
    /// usable: the directory only speeds up a start, and failures that affect the log are reported by its own syncs.
    ///
    /// ```
    /// use hemlockford_store::{Store, StoreOptions};
    /// let folder = tempfile::tempdir().unwrap();
    /// let mut opened = Store::open(folder.path(), StoreOptions::default()).unwrap();
    /// opened.store.save_directory(b"servers").unwrap();
    /// drop(opened);
    /// assert_eq!(Store::open(folder.path(), StoreOptions::default()).unwrap().directory, b"servers");
    /// ```
    pub fn save_directory(&mut self, directory: &[u8]) -> Result<()> {
        self.check_usable()?;
        if directory.len() > MAX_DIRECTORY_BYTES {
            return Err(errors::limit("the directory exceeds the maximum size"));
        }
        let mut buf = Vec::new();
        record::encode(&directory, &mut buf)?;
        let temporary = format!("{DIRECTORY_FILE}{TEMPORARY_SUFFIX}");
        let disk = &mut *self.disk;
        // The rename is not synced, because the old file is acceptable after a crash.
        let saved = disk
            .create(&temporary, &buf)
            .and_then(|()| disk.sync(&temporary))
            .and_then(|()| disk.rename(&temporary, DIRECTORY_FILE));
        saved.map_err(|error| {
            // If the removal fails, the next save replaces the file.
            let _ = disk.remove(&temporary);
            io_error("save", DIRECTORY_FILE, &error)
        })
    }

    fn read_directory(&self) -> Vec<u8> {
        let data = self.disk.read(DIRECTORY_FILE).ok().flatten().unwrap_or_default();
        match record::decode::<Vec<u8>>(&data) {
            Some((directory, len)) if len == data.len() && directory.len() <= MAX_DIRECTORY_BYTES => directory,
            _ => Vec::new(),
        }
    }

    /// Size of the log, in bytes.
    pub fn log_len(&self) -> u64 {
        self.len
    }

    fn encode(&self, body: LogBody, buf: &mut Vec<u8>) -> Result<()> {
        record::encode(&LogRecord { durable_len: self.len, body }, buf)
    }

    fn encode_write(&self, write: &Write, buf: &mut Vec<u8>) -> Result<()> {
        match write {
            Write::HardState(hard_state) => self.encode(LogBody::HardState(hard_state.clone()), buf),
            Write::Append(entries) => {
                entries.iter().try_for_each(|entry| self.encode(LogBody::Entry(entry.clone()), buf))
            }
            Write::Truncate(from) => self.encode(LogBody::Truncate(*from), buf),
            Write::Snapshot(_) => Ok(()),
        }
    }

    /// Appends records to the log and makes them durable.
    fn flush(&mut self, buf: Vec<u8>) -> Result<()> {
        self.check_usable()?;
        if buf.is_empty() {
            return Ok(());
        }
        self.remove_partial_record()?;
        if let Err(error) = self.disk.append(LOG_FILE, &buf) {
            if is_full(&error) {
                self.has_partial_record = true;
                self.remove_partial_record()?;
                return Err(io_error("append to", LOG_FILE, &error));
            }
            return Err(self.mark_failed("append to", LOG_FILE, &error));
        }
        self.run_or_fail(|disk| disk.sync(LOG_FILE), LOG_FILE)?;
        self.len += buf.len() as u64;
        Ok(())
    }

    /// Removes what an append to a full disk has left. The disk may refuse that too as long as it is full.
    fn remove_partial_record(&mut self) -> Result<()> {
        if !self.has_partial_record {
            return Ok(());
        }
        match self.disk.truncate(LOG_FILE, self.len) {
            Ok(()) => {
                self.has_partial_record = false;
                Ok(())
            }
            Err(error) if is_full(&error) => Err(io_error("truncate", LOG_FILE, &error)),
            Err(error) => Err(self.mark_failed("truncate", LOG_FILE, &error)),
        }
    }

    /// Names the snapshot in the folder in the log, and removes the entries that it covers.
    fn name_snapshot(&mut self, (index, term): (LogIndex, Term)) -> Result<()> {
        let mut buf = Vec::new();
        self.encode(LogBody::Snapshot(index, term), &mut buf)?;
        self.flush(buf)?;
        self.compact((index, term))
    }

    /// Rewrites the log without the entries that the snapshot covers. If the disk is full, the old log is kept, which
    /// is equivalent.
    fn compact(&mut self, stored: (LogIndex, Term)) -> Result<()> {
        let data =
            self.disk.read(LOG_FILE).map_err(|error| self.mark_failed("read", LOG_FILE, &error))?.unwrap_or_default();
        let replay = Replay::read(LOG_FILE, &data, stored)?;
        // Commands may be large, so the log is not kept in memory twice.
        drop(data);
        let (index, term) = replay.snapshot_position();
        let mut buf = Vec::new();
        let bodies = [LogBody::Snapshot(index, term), LogBody::HardState(replay.hard_state)];
        for body in bodies.into_iter().chain(replay.entries.into_iter().map(LogBody::Entry)) {
            // The whole file is durable before it is renamed.
            let durable_len = buf.len() as u64;
            record::encode(&LogRecord { durable_len, body }, &mut buf)?;
        }
        match self.replace_bytes(LOG_FILE, &buf) {
            Ok(()) => self.len = buf.len() as u64,
            Err(_) if !self.is_failed => {}
            Err(report) => return Err(report),
        }
        Ok(())
    }

    fn read_record<T: DeserializeOwned>(&self, file: &str) -> Result<Option<T>> {
        let Some(data) = self.disk.read(file).map_err(|error| io_error("read", file, &error))? else { return Ok(None) };
        match record::decode(&data) {
            Some((body, len)) if len == data.len() => Ok(Some(body)),
            _ => Err(corrupt(format!("{file}: the record at offset 0 is damaged"))),
        }
    }

    fn replace<T: Serialize>(&mut self, file: &str, body: &T) -> Result<()> {
        let mut buf = Vec::new();
        record::encode(body, &mut buf)?;
        self.replace_bytes(file, &buf)
    }

    /// Replaces a file atomically: after a crash it has either the old or the new contents.
    fn replace_bytes(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.check_usable()?;
        let temporary = format!("{file}{TEMPORARY_SUFFIX}");
        if let Err(error) = self.disk.create(&temporary, data) {
            if is_full(&error) {
                // If the removal fails, the next attempt replaces the file.
                let _ = self.disk.remove(&temporary);
                return Err(io_error("write", &temporary, &error));
            }
            return Err(self.mark_failed("write", &temporary, &error));
        }
        self.run_or_fail(|disk| disk.sync(&temporary), &temporary)?;
        self.run_or_fail(|disk| disk.rename(&temporary, file).and_then(|()| disk.sync_folder()), file)
    }

    /// Runs an operation whose failure is permanent. A failed sync may have discarded the data, and a later sync would
    /// succeed without it.
    fn run_or_fail(&mut self, run: impl FnOnce(&mut dyn Disk) -> io::Result<()>, file: &str) -> Result<()> {
        self.check_usable()?;
        run(&mut *self.disk).map_err(|error| self.mark_failed("change or sync", file, &error))
    }

    fn check_usable(&self) -> Result<()> {
        if self.is_failed { Err(errors::io("the store is unusable after an earlier failure")) } else { Ok(()) }
    }

    fn mark_failed(&mut self, operation: &str, file: &str, error: &io::Error) -> error_stack::Report<ErrorKind> {
        self.is_failed = true;
        io_error(operation, file, error)
    }
}

fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), IoErrorKind::StorageFull | IoErrorKind::QuotaExceeded)
}

fn io_error(operation: &str, file: &str, error: &io::Error) -> error_stack::Report<ErrorKind> {
    let message = format!("cannot {operation} {file}: {error}");
    if is_full(error) { errors::limit(message) } else { errors::io(message) }
}
