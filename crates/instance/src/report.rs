//! The task that keeps the service-level burn.

use {
    hemlockford_core::{
        burn::{Burn, BurnReport},
        outcome::Outcome,
        text::Text,
    },
    hemlockford_proxy::CallRecord,
    std::{sync::Arc, time::Instant},
    tokio::sync::{mpsc, oneshot, watch},
};

/// Records finished calls and answers with the report.
pub(crate) struct ReportTask {
    pub(crate) records: mpsc::UnboundedReceiver<CallRecord>,
    pub(crate) requests: mpsc::UnboundedReceiver<oneshot::Sender<BurnReport>>,
    pub(crate) text: watch::Receiver<Arc<Text>>,
}

impl ReportTask {
    pub(crate) async fn run(mut self) {
        let mut burn = Burn::new(Instant::now());
        loop {
            tokio::select! {
                record = self.records.recv() => match record {
                    Some(record) => add(&mut burn, &record),
                    None => return,
                },
                Some(reply) = self.requests.recv() => drop(reply.send(burn.report(Instant::now()))),
                Ok(()) = self.text.changed() => burn.configure(&self.text.borrow_and_update().clone()),
            }
        }
    }
}

/// Records one call. A caller that left before it was told anything says nothing about the service.
fn add(burn: &mut Burn, record: &CallRecord) {
    if let Some(outcome) = record.outcome {
        let good = outcome == Outcome::Answered;
        burn.record(Instant::now(), &record.service, &record.customer, record.latency, good);
    }
}
