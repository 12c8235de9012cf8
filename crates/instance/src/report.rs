//! The task that keeps the service-level burn.

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

/// Time between two looks at finished calls. Waiting for each one would wake the thread of control once
/// per call, at the cost of the worker that serves the call. The shortest step of the report is 30 s.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// Records finished calls and answers with the report.
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

    /// Records the calls that have finished, and returns whether there may be more.
    fn record(&mut self, burn: &mut BurnCounter) -> bool {
        loop {
            match self.records.try_recv() {
                Ok(record) => add(burn, &record),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }
}

/// Records one call. A caller that left before it was told anything says nothing about the service.
fn add(burn: &mut BurnCounter, record: &CallRecord) {
    if let Some(outcome) = record.outcome {
        let good = outcome == Outcome::Answered;
        burn.record(Instant::now(), &record.service, &record.customer, record.latency, good);
    }
}
