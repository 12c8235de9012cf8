//! Worker threads of the load generator.

use {
    super::{
        call::Call, connection::Connection, options::LoadOptions, outcome::CallOutcome, pacer::DueCall,
        pipeline::PipelinedConnection, summary::LoadSummary,
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

/// Maximum number of requests reported as not run that are kept for verification after the run; about 100 bytes each.
const MAX_REPORTED_NOT_RUN: usize = 500_000;

/// State of a worker thread.
pub(super) struct Worker {
    pub(super) options: Arc<LoadOptions>,
    pub(super) methods: Vec<Method>,
    run_id: Box<str>,
    idle: RefCell<FastMap<SocketAddr, Vec<Connection>>>,
    pipelined: RefCell<FastMap<SocketAddr, Vec<Rc<PipelinedConnection>>>>,
    in_flight: Cell<usize>,
    result: RefCell<WorkerResult>,
}

/// Result of a worker thread.
pub(super) struct WorkerResult {
    pub(super) summary: LoadSummary,
    /// Ids of the requests that were reported as not run.
    pub(super) reported_not_run: Vec<Box<str>>,
}

/// Counts a call as in flight until it is dropped, even by a panic.
struct InFlightGuard(Rc<Worker>);

impl InFlightGuard {
    fn new(worker: Rc<Worker>) -> Self {
        worker.in_flight.set(worker.in_flight.get() + 1);
        Self(worker)
    }

    async fn run_call(self, due: DueCall) {
        self.0.run_call(due).await;
    }
}

impl Drop for InFlightGuard {
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
            pipelined: RefCell::default(),
            in_flight: Cell::new(0),
            result: RefCell::new(WorkerResult { summary, reported_not_run: Vec::new() }),
        }
    }

    /// Sends calls until the pacer has finished, and waits for their answers.
    pub(super) async fn run(self, mut due: mpsc::UnboundedReceiver<DueCall>) -> WorkerResult {
        let worker = Rc::new(self);
        let limit = worker.options.max_in_flight / worker.options.threads;
        while let Some(due) = due.recv().await {
            let lateness = due.intended_start.elapsed();
            let is_counted = due.arrival.at >= worker.options.warm_up;
            if is_counted {
                worker.result.borrow_mut().summary.lateness.saturating_record(lateness.as_micros() as u64);
            }
            if worker.in_flight.get() >= limit {
                worker.result.borrow_mut().summary.total.unsent += u64::from(is_counted);
                continue;
            }
            actix_rt::spawn(InFlightGuard::new(worker.clone()).run_call(due));
        }
        while worker.in_flight.get() > 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        worker.idle.borrow_mut().clear();
        worker.pipelined.borrow_mut().clear();
        worker.result.replace(WorkerResult { summary: LoadSummary::new(0), reported_not_run: Vec::new() })
    }

    /// Returns the most recently used idle connection, which keeps the number of connections in use low.
    pub(super) fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }

    /// Returns a connection that can carry another pipelined request, and forgets those that have ended.
    pub(super) fn pipelined(&self, address: SocketAddr) -> Option<Rc<PipelinedConnection>> {
        let mut pipelined = self.pipelined.borrow_mut();
        let connections = pipelined.get_mut(&address)?;
        connections.retain(|connection| connection.has_room(usize::MAX));
        connections.iter().find(|connection| connection.has_room(self.options.pipeline)).cloned()
    }

    /// Makes a connection available to further pipelined requests.
    pub(super) fn add_pipelined(&self, address: SocketAddr, connection: Rc<PipelinedConnection>) {
        self.pipelined.borrow_mut().entry(address).or_default().push(connection);
    }

    /// Makes a connection available to further calls.
    pub(super) fn release(&self, address: SocketAddr, connection: Connection) {
        self.idle.borrow_mut().entry(address).or_default().push(connection);
    }

    async fn run_call(&self, due: DueCall) {
        let request_id = format!("{}-{}", self.run_id, due.arrival.number);
        let call = Call::new(self, &due, &request_id);
        let end = due.intended_start + self.options.timeout;
        let outcome = tokio::time::timeout_at(end.into(), call.run(self)).await;
        let outcome = outcome.unwrap_or_else(|_| CallOutcome::Unknown("given-up".into()));
        let latency = Instant::now().saturating_duration_since(due.intended_start);
        if due.arrival.at < self.options.warm_up && !matches!(outcome, CallOutcome::Fault(_)) {
            return;
        }
        let mut result = self.result.borrow_mut();
        if matches!(outcome, CallOutcome::NotRun(_)) && result.reported_not_run.len() < MAX_REPORTED_NOT_RUN {
            result.reported_not_run.push(request_id.into());
        }
        if let Some(name) = &self.options.customers[due.arrival.customer].name {
            let tally = result.summary.customers.entry(name.clone()).or_default();
            tally.record(outcome.clone(), latency);
        }
        result.summary.total.record(outcome, latency);
    }
}
