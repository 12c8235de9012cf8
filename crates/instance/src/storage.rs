//! Task that writes to the data folder.
//!
//! It runs on a thread of its own, because an fsync blocks for milliseconds and must not delay heartbeats.

use {
    hemlockford_core::{consensus::Write, errors::ErrorKind, ids::Incarnation},
    hemlockford_store::Store,
    prometheus::{Histogram, IntCounter},
    slog::{Logger, error, info, warn},
    std::{
        sync::mpsc::{Receiver, RecvTimeoutError},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Delay before a write is retried after the disk was full.
const FULL_DISK_RETRY: Duration = Duration::from_secs(1);

/// A write to the data folder.
pub(crate) enum StorageWrite {
    /// A write to the log, which is reported once it is durable.
    Log { sequence: u64, write: Write },
    /// Later incarnations than this one for the folder and the next process. The process stops afterwards.
    Renumber(Incarnation),
    /// The directory of servers. It has lower priority than writes to the log and may be lost.
    Directory(Vec<u8>),
}

/// Writes that have not been executed yet.
#[derive(Default)]
struct PendingWrites {
    log: Vec<Write>,
    /// Sequence number of the last write to the log.
    up_to: u64,
    /// The latest directory; an older one that was not saved yet is replaced.
    directory: Option<Vec<u8>>,
    renumber: Option<Incarnation>,
}

/// Executes writes and reports them once they are durable.
pub(crate) struct StorageTask {
    pub(crate) store: Store,
    pub(crate) rx: Receiver<StorageWrite>,
    /// Called with the sequence number of the last durable write.
    pub(crate) on_persisted: Box<dyn Fn(u64) + Send>,
    pub(crate) failure: mpsc::UnboundedSender<Box<str>>,
    pub(crate) write_seconds: Histogram,
    pub(crate) full_disk_errors: IntCounter,
    pub(crate) log: Logger,
}

impl StorageTask {
    pub(crate) fn run(mut self) {
        let mut pending = PendingWrites::default();
        let mut is_full = false;
        loop {
            if !self.collect(&mut pending, is_full) {
                return;
            }
            if let Some(latest) = pending.renumber {
                let reason = match self.store.renumber(latest) {
                    Ok(()) => "the data folder has a later incarnation; the process must restart".into(),
                    Err(report) => format!("data folder failed: {report:?}"),
                };
                let _ = self.failure.send(reason.into());
                return;
            }
            if pending.log.is_empty() {
                self.save_directory(&mut pending);
                continue;
            }
            let start = Instant::now();
            match self.store.write(&mut pending.log) {
                Ok(()) => {
                    self.write_seconds.observe(start.elapsed().as_secs_f64());
                    if std::mem::take(&mut is_full) {
                        info!(self.log, "data folder is no longer full");
                    }
                    (self.on_persisted)(pending.up_to);
                }
                Err(report) if *report.current_context() == ErrorKind::Limit => {
                    self.full_disk_errors.inc();
                    // The remaining space is reserved for the log.
                    pending.directory = None;
                    if !std::mem::replace(&mut is_full, true) {
                        error!(self.log, "data folder is full; no write is confirmed until there is space");
                    }
                }
                Err(report) => {
                    // The content of the folder is now unknown, so no later write may be confirmed.
                    let _ = self.failure.send(format!("data folder failed: {report:?}").into());
                    return;
                }
            }
        }
    }

    /// Saves the directory if there is one. A failure does not affect the log; the next save replaces the directory.
    fn save_directory(&mut self, pending: &mut PendingWrites) {
        let Some(directory) = pending.directory.take() else { return };
        if let Err(report) = self.store.save_directory(&directory) {
            warn!(self.log, "cannot save the directory of servers"; "error" => %report);
        }
    }

    /// Waits for a write and collects all that are queued, so that they share one fsync. Returns `false` once the
    /// channel is closed.
    fn collect(&self, pending: &mut PendingWrites, is_full: bool) -> bool {
        let first = match is_full {
            true => self.rx.recv_timeout(FULL_DISK_RETRY),
            // The directory is saved only if no write to the log is queued.
            false if pending.directory.is_some() => self.rx.recv_timeout(Duration::ZERO),
            false => self.rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match first {
            Ok(first) => {
                for next in std::iter::once(first).chain(self.rx.try_iter()) {
                    match next {
                        StorageWrite::Log { sequence, write } => {
                            pending.up_to = sequence;
                            pending.log.push(write);
                        }
                        StorageWrite::Renumber(latest) => pending.renumber = Some(latest),
                        StorageWrite::Directory(directory) => pending.directory = Some(directory),
                    }
                }
                true
            }
            Err(RecvTimeoutError::Timeout) => true,
            Err(RecvTimeoutError::Disconnected) => false,
        }
    }
}
