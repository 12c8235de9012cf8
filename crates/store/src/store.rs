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
        ids::{Incarnation, LogIndex},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io::{self, ErrorKind as IoErrorKind},
        path::Path,
        sync::Arc,
    },
};

const IDENTITY: &str = "identity";
const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const DIRECTORY: &str = "directory";
/// Longest directory that is kept or read. A longer one counts as none.
const DIRECTORY_BYTES: usize = 1024 * 1024;
/// Suffix of a file that is written to replace another one.
const TEMPORARY: &str = ".new";

/// Settings of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Wall-clock time in nanoseconds; incarnations of new folders and new processes come from it, so
    /// that they rise also when the folder was lost.
    pub wall_clock_ns: u64,
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct Opened {
    /// The store.
    pub store: Store,
    /// The directory that was saved last; empty if there is none or it is damaged.
    pub directory: Vec<u8>,
    /// What consensus starts from, with the incarnation of the folder.
    pub recovered: Recovered,
    /// Incarnation of this process; it rises at each start.
    pub process_incarnation: Incarnation,
    /// Whether the folder was empty.
    pub is_new: bool,
    /// Bytes of a torn tail that were cut off the log.
    pub truncated_bytes: u64,
}

/// The store of a replica. Every write is durable before its function returns.
///
/// When a write is refused because the disk is full, nothing of it is kept, and the same write may be
/// tried again; later writes must not go before it. After any other failure the state of the folder is
/// unknown, and the store refuses everything.
#[derive(Debug)]
pub struct Store {
    disk: Box<dyn Disk>,
    len: u64,
    is_failed: bool,
}

impl Store {
    /// Opens the store in a folder, which is created if need be.
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
        let mut store = Self { disk, len: 0, is_failed: false };
        let held: Option<Identity> = store.read_one(IDENTITY)?;
        let snapshot: Option<Snapshot> = store.read_one(SNAPSHOT)?;
        let log = store.disk.read(LOG).map_err(|error| failed("read", LOG, &error))?;
        match (&held, &log) {
            (Some(_), None) => return Err(corrupt(format!("{LOG} is missing"))),
            (None, Some(data)) if !data.is_empty() || snapshot.is_some() => {
                return Err(corrupt(format!("{IDENTITY} is missing")));
            }
            (None, None) if snapshot.is_some() => return Err(corrupt(format!("{IDENTITY} is missing"))),
            _ => {}
        }
        let data = log.unwrap_or_default();
        let mut replay = Replay::read(LOG, &data)?;
        if let Some(snapshot) = &snapshot
            && replay.covered().0 < snapshot.index
        {
            replay.cover(snapshot.index, snapshot.term);
        }
        if replay.covered().0 > snapshot.as_ref().map_or(0, |snapshot| snapshot.index) {
            return Err(corrupt(format!("{SNAPSHOT} is older than {LOG}")));
        }
        let truncated_bytes = data.len() - replay.len;
        if held.is_none() {
            store.checked(|disk| disk.create(LOG, &[]).and_then(|()| disk.sync(LOG)), LOG)?;
        } else {
            // What a process that crashed left unsynced must be durable before it is built upon.
            let len = replay.len as u64;
            store.checked(|disk| disk.truncate(LOG, len).and_then(|()| disk.sync(LOG)), LOG)?;
        }
        store.len = replay.len as u64;
        let identity = Identity::next(held, options.wall_clock_ns);
        store.replace(IDENTITY, &identity)?;
        let directory = if held.is_some() { store.read_directory() } else { Vec::new() };
        let recovered = Recovered {
            incarnation: identity.folder_incarnation,
            hard_state: replay.vote,
            snapshot: snapshot.map(Arc::new),
            entries: replay.entries,
        };
        let (process_incarnation, is_new) = (identity.process_incarnation, held.is_none());
        Ok(Opened { store, directory, recovered, process_incarnation, is_new, truncated_bytes: truncated_bytes as u64 })
    }

    /// Appends entries.
    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        self.write(&mut vec![Write::Append(entries.to_vec())])
    }

    /// Replaces the vote.
    pub fn save_hard_state(&mut self, vote: &HardState) -> Result<()> {
        self.write(&mut vec![Write::HardState(vote.clone())])
    }

    /// Removes the entries from one on.
    pub fn truncate(&mut self, from: LogIndex) -> Result<()> {
        self.write(&mut vec![Write::Truncate(from)])
    }

    /// Replaces the snapshot and removes the entries that it covers.
    pub fn save_snapshot(&mut self, snapshot: Arc<Snapshot>) -> Result<()> {
        self.write(&mut vec![Write::Snapshot(snapshot)])
    }

    /// Carries out writes in order, with one fsync for those between two snapshots. Those that are
    /// durable are removed; the rest is left when the disk is full, to be tried again.
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
                self.replace(SNAPSHOT, &**snapshot)?;
                let mut buf = Vec::new();
                self.encode(LogBody::Snapshot(snapshot.index, snapshot.term), &mut buf)?;
                self.flush(buf)?;
                self.compact()?;
                writes.remove(0);
            }
        }
        self.check()
    }

    /// Replaces the saved directory. After a failure the old one stays or none is there, and the log goes on: the
    /// directory only shortens a start, and the log's own syncs report what fails there.
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
        self.check()?;
        if directory.len() > DIRECTORY_BYTES {
            return Err(errors::limit("the directory is too long to be saved"));
        }
        let mut buf = Vec::new();
        record::encode(&directory, &mut buf)?;
        let temporary = format!("{DIRECTORY}{TEMPORARY}");
        let disk = &mut *self.disk;
        // The rename is not synced: after a crash the old file is as good.
        let saved = disk
            .create(&temporary, &buf)
            .and_then(|()| disk.sync(&temporary))
            .and_then(|()| disk.rename(&temporary, DIRECTORY));
        saved.map_err(|error| {
            // A failure to remove it leaves a file that the next save replaces.
            let _ = disk.remove(&temporary);
            failed("save", DIRECTORY, &error)
        })
    }

    fn read_directory(&self) -> Vec<u8> {
        let data = self.disk.read(DIRECTORY).ok().flatten().unwrap_or_default();
        match record::decode::<Vec<u8>>(&data) {
            Some((directory, len)) if len == data.len() && directory.len() <= DIRECTORY_BYTES => directory,
            _ => Vec::new(),
        }
    }

    /// Size of the log, in bytes.
    pub fn log_len(&self) -> u64 {
        self.len
    }

    fn encode(&self, body: LogBody, buf: &mut Vec<u8>) -> Result<()> {
        record::encode(&LogRecord { durable: self.len, body }, buf)
    }

    fn encode_write(&self, write: &Write, buf: &mut Vec<u8>) -> Result<()> {
        match write {
            Write::HardState(vote) => self.encode(LogBody::Vote(vote.clone()), buf),
            Write::Append(entries) => {
                entries.iter().try_for_each(|entry| self.encode(LogBody::Entry(entry.clone()), buf))
            }
            Write::Truncate(from) => self.encode(LogBody::Truncate(*from), buf),
            Write::Snapshot(_) => Ok(()),
        }
    }

    /// Appends records to the log and makes them durable.
    fn flush(&mut self, buf: Vec<u8>) -> Result<()> {
        self.check()?;
        if buf.is_empty() {
            return Ok(());
        }
        if let Err(error) = self.disk.append(LOG, &buf) {
            let len = self.len;
            if is_full(&error) {
                self.checked(|disk| disk.truncate(LOG, len), LOG)?;
                return Err(failed("append to", LOG, &error));
            }
            return Err(self.fail("append to", LOG, &error));
        }
        self.checked(|disk| disk.sync(LOG), LOG)?;
        self.len += buf.len() as u64;
        Ok(())
    }

    /// Writes the log again without what the snapshot covers. On a full disk the old log stays, which
    /// says the same.
    fn compact(&mut self) -> Result<()> {
        let data = self.disk.read(LOG).map_err(|error| self.fail("read", LOG, &error))?.unwrap_or_default();
        let replay = Replay::read(LOG, &data)?;
        // Commands may be as long as a text, so the log is not held twice.
        drop(data);
        let (index, term) = replay.covered();
        let mut buf = Vec::new();
        let bodies = [LogBody::Snapshot(index, term), LogBody::Vote(replay.vote)];
        for body in bodies.into_iter().chain(replay.entries.into_iter().map(LogBody::Entry)) {
            // The file is durable as a whole before it takes its name.
            let durable = buf.len() as u64;
            record::encode(&LogRecord { durable, body }, &mut buf)?;
        }
        match self.replace_bytes(LOG, &buf) {
            Ok(()) => self.len = buf.len() as u64,
            Err(_) if !self.is_failed => {}
            Err(report) => return Err(report),
        }
        Ok(())
    }

    fn read_one<T: DeserializeOwned>(&self, file: &str) -> Result<Option<T>> {
        let Some(data) = self.disk.read(file).map_err(|error| failed("read", file, &error))? else { return Ok(None) };
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

    /// Replaces a file so that after a crash either the old or the new content is there.
    fn replace_bytes(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.check()?;
        let temporary = format!("{file}{TEMPORARY}");
        if let Err(error) = self.disk.create(&temporary, data) {
            if is_full(&error) {
                self.checked(|disk| disk.remove(&temporary), &temporary)?;
                return Err(failed("write", &temporary, &error));
            }
            return Err(self.fail("write", &temporary, &error));
        }
        self.checked(|disk| disk.sync(&temporary), &temporary)?;
        self.checked(|disk| disk.rename(&temporary, file).and_then(|()| disk.sync_folder()), file)
    }

    /// Runs an operation whose failure is final. A failed sync may have dropped the data, and a later
    /// one would report success without it.
    fn checked(&mut self, run: impl FnOnce(&mut dyn Disk) -> io::Result<()>, file: &str) -> Result<()> {
        self.check()?;
        run(&mut *self.disk).map_err(|error| self.fail("change or sync", file, &error))
    }

    fn check(&self) -> Result<()> {
        if self.is_failed { Err(errors::io("the store failed before and refuses everything")) } else { Ok(()) }
    }

    fn fail(&mut self, what: &str, file: &str, error: &io::Error) -> error_stack::Report<ErrorKind> {
        self.is_failed = true;
        failed(what, file, error)
    }
}

fn is_full(error: &io::Error) -> bool {
    matches!(error.kind(), IoErrorKind::StorageFull | IoErrorKind::QuotaExceeded)
}

fn failed(what: &str, file: &str, error: &io::Error) -> error_stack::Report<ErrorKind> {
    let message = format!("cannot {what} {file}: {error}");
    if is_full(error) { errors::limit(message) } else { errors::io(message) }
}
