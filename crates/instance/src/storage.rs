//! The task that owns the data folder.
//!
//! It has a thread of its own, because an fsync blocks for milliseconds and heartbeats must not wait for it.

use {
    hemlockford_core::{consensus::Write, errors::ErrorKind},
    hemlockford_store::Store,
    prometheus::{Histogram, IntCounter},
    slog::{Logger, error, info},
    std::{
        sync::mpsc::{Receiver, RecvTimeoutError},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Wait before a write is tried again after the disk was full.
const FULL_DISK_RETRY: Duration = Duration::from_secs(1);

/// One write with its sequence.
pub(crate) struct StorageWrite {
    pub(crate) sequence: u64,
    pub(crate) write: Write,
}

/// Carries out writes and reports them once they are durable.
pub(crate) struct StorageTask {
    pub(crate) store: Store,
    pub(crate) rx: Receiver<StorageWrite>,
    /// Told the sequence of the last durable write.
    pub(crate) persisted: Box<dyn Fn(u64) + Send>,
    pub(crate) failure: mpsc::UnboundedSender<Box<str>>,
    pub(crate) seconds: Histogram,
    pub(crate) full: IntCounter,
    pub(crate) log: Logger,
}

impl StorageTask {
    pub(crate) fn run(mut self) {
        let mut pending = Vec::new();
        let mut up_to = 0;
        let mut is_full = false;
        loop {
            if !self.collect(&mut pending, &mut up_to, is_full) {
                return;
            }
            let start = Instant::now();
            match self.store.write(&mut pending) {
                Ok(()) => {
                    self.seconds.observe(start.elapsed().as_secs_f64());
                    if std::mem::take(&mut is_full) {
                        info!(self.log, "data folder has room again");
                    }
                    (self.persisted)(up_to);
                }
                Err(report) if *report.current_context() == ErrorKind::Limit => {
                    self.full.inc();
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

    /// Waits for writes and takes all that are there, so that they share one fsync. Returns whether there
    /// is anything left to do.
    fn collect(&self, pending: &mut Vec<Write>, up_to: &mut u64, is_full: bool) -> bool {
        let first = match is_full {
            true => self.rx.recv_timeout(FULL_DISK_RETRY),
            false => self.rx.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match first {
            Ok(first) => {
                for next in std::iter::once(first).chain(self.rx.try_iter()) {
                    *up_to = next.sequence;
                    pending.push(next.write);
                }
                true
            }
            Err(RecvTimeoutError::Timeout) => true,
            Err(RecvTimeoutError::Disconnected) => false,
        }
    }
}
