//! Task that counts the error budget burn.

use {
    actix_rt::time::interval,
    hemlockford_core::{
        burn::{BurnCounter, BurnReport},
        config::Configuration,
        outcome::Outcome,
    },
    hemlockford_proxy::CallRecord,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{
            mpsc::{self, error::TryRecvError},
            oneshot, watch,
        },
        time::MissedTickBehavior,
    },
};

/// Interval at which finished calls are read. Waiting for each record would wake the control thread once per call,
/// which slows down the worker that serves the call. The finest resolution of the report is 30 s.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Counts finished calls and answers requests for the report.
pub(crate) struct ReportTask {
    pub(crate) records: mpsc::UnboundedReceiver<CallRecord>,
    pub(crate) requests: mpsc::UnboundedReceiver<oneshot::Sender<BurnReport>>,
    pub(crate) config: watch::Receiver<Arc<Configuration>>,
}

impl ReportTask {
    pub(crate) async fn run(mut self) {
        let mut burn = BurnCounter::new(Instant::now());
        let mut ticks = interval(RECORD_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => if !self.record(&mut burn) {
                    return;
                },
                Some(reply) = self.requests.recv() => {
                    self.record(&mut burn);
                    drop(reply.send(burn.report(Instant::now())));
                }
                Ok(()) = self.config.changed() => {
                    self.record(&mut burn);
                    burn.configure(&self.config.borrow_and_update().clone());
                }
            }
        }
    }

    /// Counts the finished calls; returns whether there can be more.
    fn record(&mut self, burn: &mut BurnCounter) -> bool {
        loop {
            match self.records.try_recv() {
                Ok(record) => record_call(burn, &record),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }
}

/// Counts one call. A call whose caller left before the response is not counted, as it says nothing about the service.
fn record_call(burn: &mut BurnCounter, record: &CallRecord) {
    if let Some(outcome) = record.outcome {
        let good = outcome == Outcome::Answered;
        burn.record(Instant::now(), &record.service, &record.customer, record.latency, good);
    }
}
