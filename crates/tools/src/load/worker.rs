//! One thread that sends calls.

use {
    super::{
        call::Call, connection::Connection, options::LoadOptions, outcome::CallOutcome, pacer::Due,
        summary::LoadSummary,
    },
    actix_http::Method,
    hemlockford_core::collections::FastMap,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Requests that were said not to have run and are checked after the run; 100 bytes each.
const MAX_DENIED: usize = 500_000;

/// State of one thread that sends calls.
pub(super) struct Worker {
    pub(super) options: Arc<LoadOptions>,
    pub(super) methods: Vec<Method>,
    run_id: Box<str>,
    idle: RefCell<FastMap<SocketAddr, Vec<Connection>>>,
    in_flight: Cell<usize>,
    result: RefCell<WorkerResult>,
}

/// What one thread found.
pub(super) struct WorkerResult {
    pub(super) summary: LoadSummary,
    /// Requests that were said not to have run.
    pub(super) denied: Vec<Box<str>>,
}

/// Counts a call as in flight until it is dropped, also by a panic.
struct InFlight(Rc<Worker>);

impl InFlight {
    fn new(worker: Rc<Worker>) -> Self {
        worker.in_flight.set(worker.in_flight.get() + 1);
        Self(worker)
    }

    async fn call(self, due: Due) {
        self.0.call(due).await;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Worker {
    pub(super) fn new(options: Arc<LoadOptions>, methods: Vec<Method>, run_id: Box<str>) -> Self {
        let summary = LoadSummary::new(options.seed);
        Self {
            options,
            methods,
            run_id,
            idle: RefCell::default(),
            in_flight: Cell::new(0),
            result: RefCell::new(WorkerResult { summary, denied: Vec::new() }),
        }
    }

    /// Sends calls until the pacer has no more, and waits for their answers.
    pub(super) async fn run(self, mut due: mpsc::UnboundedReceiver<Due>) -> WorkerResult {
        let worker = Rc::new(self);
        let limit = worker.options.max_in_flight / worker.options.threads;
        while let Some(due) = due.recv().await {
            let late = due.intended.elapsed();
            if due.arrival.at >= worker.options.warm_up {
                worker.result.borrow_mut().summary.lateness.saturating_record(late.as_micros() as u64);
            }
            if worker.in_flight.get() >= limit {
                worker.result.borrow_mut().summary.total.unsent += 1;
                continue;
            }
            actix_rt::spawn(InFlight::new(worker.clone()).call(due));
        }
        while worker.in_flight.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        worker.idle.borrow_mut().clear();
        worker.result.replace(WorkerResult { summary: LoadSummary::new(0), denied: Vec::new() })
    }

    /// Takes the connection that was used last, so that few stay in use.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        self.idle.borrow_mut().entry(address).or_default().push(connection);
    }

    async fn call(&self, due: Due) {
        let request = format!("{}-{}", self.run_id, due.arrival.number);
        let call = Call::new(self, &due, &request);
        let end = due.intended + self.options.timeout;
        let outcome = tokio::time::timeout_at(end.into(), call.run(self)).await;
        let outcome = outcome.unwrap_or_else(|_| CallOutcome::Unknown("given-up".into()));
        let latency = Instant::now().saturating_duration_since(due.intended);
        if due.arrival.at < self.options.warm_up && !matches!(outcome, CallOutcome::Fault(_)) {
            return;
        }
        let mut result = self.result.borrow_mut();
        if matches!(outcome, CallOutcome::NotRun(_)) && result.denied.len() < MAX_DENIED {
            result.denied.push(request.into());
        }
        if let Some(name) = &self.options.customers[due.arrival.customer].name {
            let tally = result.summary.customers.entry(name.clone()).or_default();
            tally.record(outcome.clone(), latency);
        }
        result.summary.total.record(outcome, latency);
    }
}
