//! The task that owns the data folder.
//!
//! It has a thread of its own, because an fsync blocks for milliseconds and heartbeats must not wait for it.

use {
    hemlockford_core::{consensus::Write, errors::ErrorKind},
    hemlockford_store::Store,
    prometheus::{Histogram, IntCounter},
    slog::{Logger, error, info, warn},
    std::{
        sync::mpsc::{Receiver, RecvTimeoutError},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Wait before a write is tried again after the disk was full.
const FULL_DISK_RETRY: Duration = Duration::from_secs(1);

/// What is written to the data folder.
pub(crate) enum StorageWrite {
    /// A write of the log, which is reported once it is durable.
    Log { sequence: u64, write: Write },
    /// The directory of servers. It may be lost, and waits until no write of the log does.
    Directory(Vec<u8>),
}

/// Writes that are to be carried out.
#[derive(Default)]
struct PendingWrites {
    log: Vec<Write>,
    /// Sequence of the last write of the log.
    up_to: u64,
    /// The newest directory.
    directory: Option<Vec<u8>>,
}

/// Carries out writes and reports them once they are durable.
pub(crate) struct StorageTask {
    pub(crate) store: Store,
    pub(crate) rx: Receiver<StorageWrite>,
    /// Told the sequence of the last durable write.
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
            if pending.log.is_empty() {
                self.save_directory(&mut pending);
                continue;
            }
            let start = Instant::now();
            match self.store.write(&mut pending.log) {
                Ok(()) => {
                    self.write_seconds.observe(start.elapsed().as_secs_f64());
                    if std::mem::take(&mut is_full) {
                        info!(self.log, "data folder has room again");
                    }
                    (self.on_persisted)(pending.up_to);
                }
                Err(report) if *report.current_context() == ErrorKind::Limit => {
                    self.full_disk_errors.inc();
                    // The room is left to the log.
                    pending.directory = None;
                    if !std::mem::replace(&mut is_full, true) {
                        error!(self.log, "data folder is full; nothing is confirmed");
                    }
                }
                Err(report) => {
                    // What the folder holds now is unknown, so that no later write may be promised.
                    let _ = self.failure.send(format!("data folder failed: {report:?}").into());
                    return;
                }
            }
        }
    }

    /// Saves the directory if there is one. A failure does not touch the log and ends with the next save.
    fn save_directory(&mut self, pending: &mut PendingWrites) {
        let Some(directory) = pending.directory.take() else { return };
        if let Err(report) = self.store.save_directory(&directory) {
            warn!(self.log, "directory of servers not saved"; "error" => %report);
        }
    }

    /// Waits for writes and takes all that are there, so that they share one fsync. Returns whether there
    /// is anything left to do.
    fn collect(&self, pending: &mut PendingWrites, is_full: bool) -> bool {
        let first = match is_full {
            true => self.rx.recv_timeout(FULL_DISK_RETRY),
            // A directory is saved only when no write of the log has arrived meanwhile.
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
