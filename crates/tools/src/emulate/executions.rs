//! Counts of the requests executed by the servers of one process, used to detect repeated executions.

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

/// Maximum number of request ids that are tracked; about 200 MB at 100 bytes each. Further ones count as untracked.
const MAX_TRACKED_IDS: usize = 2_000_000;

/// Maximum number of repeated requests that a report lists by id; all of them are counted.
const MAX_LISTED_IDS: usize = 100;

/// Execution counts by request id, shared by the servers of one process.
#[derive(Debug, Default)]
pub struct Executions {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    lateness: Histogram<u64>,
    counts_by_id: FastMap<Box<str>, u32>,
    repeated_ids: Vec<Box<str>>,
    report: ExecutionReport,
}

/// Execution counts of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ExecutionReport {
    /// Number of executions started.
    pub total: u64,
    /// Repeated executions of idempotent requests, which retries may cause.
    pub repeated_idempotent: u64,
    /// Repeated executions of non-idempotent requests, of which there must be none.
    pub repeated_non_idempotent: u64,
    /// Ids of the first repeated non-idempotent requests.
    pub repeated_ids: Vec<Box<str>>,
    /// Executions whose id was not tracked because of the limit on memory.
    pub untracked: u64,
    /// Uploads whose content did not match their request.
    pub wrong_uploads: u64,
}

impl Executions {
    /// Records the start of an execution and returns how often the request has been executed, including this time.
    pub fn record_start(&self, request: &str, is_idempotent: bool) -> u32 {
        let mut state = self.lock();
        let state = &mut *state;
        state.report.total += 1;
        let Some(count) = state.counts_by_id.get_mut(request) else {
            if state.counts_by_id.len() < MAX_TRACKED_IDS {
                state.counts_by_id.insert(request.into(), 1);
            } else {
                state.report.untracked += 1;
            }
            return 1;
        };
        *count += 1;
        if is_idempotent {
            state.report.repeated_idempotent += 1;
        } else {
            state.report.repeated_non_idempotent += 1;
            if state.repeated_ids.len() < MAX_LISTED_IDS {
                state.repeated_ids.push(request.into());
            }
        }
        *count
    }

    /// Records by how much an execution exceeded its service time.
    pub fn record_lateness(&self, lateness: Duration) {
        self.lock().lateness.saturating_record(lateness.as_micros() as u64);
    }

    /// Returns quantiles of the time by which executions exceeded their service time, in microseconds.
    pub fn lateness(&self) -> serde_json::Value {
        quantiles(&self.lock().lateness)
    }

    /// Counts an upload whose content did not match its request.
    pub fn record_wrong_upload(&self) {
        self.lock().report.wrong_uploads += 1;
    }

    /// Returns those of the given request ids that were executed.
    pub fn executed<'a>(&self, requests: impl Iterator<Item = &'a str>) -> Vec<Box<str>> {
        let state = self.lock();
        requests.filter(|request| state.counts_by_id.contains_key(*request)).map(Into::into).collect()
    }

    /// Returns the execution counts.
    pub fn report(&self) -> ExecutionReport {
        let state = self.lock();
        ExecutionReport { repeated_ids: state.repeated_ids.clone(), ..state.report.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for State {
    fn default() -> Self {
        Self {
            lateness: histogram(),
            counts_by_id: FastMap::default(),
            repeated_ids: Vec::new(),
            report: ExecutionReport::default(),
        }
    }
}
