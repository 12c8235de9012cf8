//! Counts of what the servers of one process ran, to prove repeats and work after leaving from outside.

use {
    crate::histogram::{histogram, quantiles},
    hdrhistogram::Histogram,
    hemlockford_core::collections::FastMap,
    serde::Serialize,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Request ids that are remembered; about 200 MB at 100 bytes each. Later ones are counted as untracked.
const MAX_IDS: usize = 2_000_000;

/// Repeated requests that are named in a report; all are counted.
const MAX_NAMED: usize = 100;

/// Executions of each request id.
#[derive(Debug, Default)]
pub struct Executions {
    seen: Mutex<Seen>,
}

#[derive(Debug)]
struct Seen {
    late: Histogram<u64>,
    counts: FastMap<Box<str>, u32>,
    repeated: Vec<Box<str>>,
    report: ExecutionReport,
}

/// Executions of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExecutionReport {
    /// Executions that started.
    pub total: u64,
    /// Executions of an idempotent request after its first; retries may cause them.
    pub repeated_idempotent: u64,
    /// Executions of a non-idempotent request after its first; there must be none.
    pub repeated_non_idempotent: u64,
    /// Ids of repeated non-idempotent requests, the first of them.
    pub repeated_ids: Vec<Box<str>>,
    /// Executions whose id was not remembered because of the bound on memory.
    pub untracked: u64,
    /// Uploads whose content was not that of their request.
    pub wrong_uploads: u64,
}

impl Executions {
    /// Counts the start of an execution and returns its number among those of the request.
    pub fn start(&self, request: &str, is_idempotent: bool) -> u32 {
        let mut seen = self.lock();
        let seen = &mut *seen;
        seen.report.total += 1;
        let Some(count) = seen.counts.get_mut(request) else {
            if seen.counts.len() < MAX_IDS {
                seen.counts.insert(request.into(), 1);
            } else {
                seen.report.untracked += 1;
            }
            return 1;
        };
        *count += 1;
        if is_idempotent {
            seen.report.repeated_idempotent += 1;
        } else {
            seen.report.repeated_non_idempotent += 1;
            if seen.repeated.len() < MAX_NAMED {
                seen.repeated.push(request.into());
            }
        }
        *count
    }

    /// Records how much longer an execution took than its service time.
    pub fn late(&self, late: Duration) {
        self.lock().late.saturating_record(late.as_micros() as u64);
    }

    /// Returns how much longer executions took than their service time, in microseconds by quantile.
    pub fn lateness(&self) -> serde_json::Value {
        quantiles(&self.lock().late)
    }

    /// Counts an upload whose content was not that of its request.
    pub fn wrong_upload(&self) {
        self.lock().report.wrong_uploads += 1;
    }

    /// Returns which of these requests were executed.
    pub fn executed<'a>(&self, requests: impl Iterator<Item = &'a str>) -> Vec<Box<str>> {
        let seen = self.lock();
        requests.filter(|request| seen.counts.contains_key(*request)).map(Into::into).collect()
    }

    /// Returns the counts.
    pub fn report(&self) -> ExecutionReport {
        let seen = self.lock();
        ExecutionReport { repeated_ids: seen.repeated.clone(), ..seen.report.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Seen {
    fn default() -> Self {
        Self { late: histogram(), counts: FastMap::default(), repeated: Vec::new(), report: ExecutionReport::default() }
    }
}
