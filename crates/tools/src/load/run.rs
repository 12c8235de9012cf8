//! A run of the load generator and its threads.

use {
    super::{
        options::LoadOptions,
        pacer,
        schedule::Schedule,
        summary::LoadSummary,
        verify,
        worker::{Worker, WorkerResult},
    },
    actix_http::Method,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, invalid_input, io},
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Time before the first call is due, in which the threads start.
const STARTUP_TIME: Duration = Duration::from_millis(50);

/// Runs the load generator: sends calls at predetermined times and checks that each answer belongs to its request.
/// Blocks until the run ends.
pub fn load(options: LoadOptions) -> Result<LoadSummary> {
    check(&options)?;
    let method =
        |name: &str| Method::from_bytes(name.as_bytes()).map_err(|_| invalid_input(format!("invalid method '{name}'")));
    let methods = options.methods.iter().map(|share| method(&share.method)).collect::<Result<Vec<_>>>()?;
    let options = Arc::new(options);
    let run_id = options.run_id();
    let mut workers = Vec::new();
    let mut threads = Vec::new();
    for _ in 0..options.threads {
        let (tx, rx) = mpsc::unbounded_channel();
        workers.push(tx);
        let (options, methods, run_id) = (options.clone(), methods.clone(), run_id.clone());
        let thread = thread::Builder::new().name("load".into()).spawn(move || -> Result<WorkerResult> {
            let runtime = actix_rt::Runtime::new().change_context(ErrorKind::Io)?;
            Ok(runtime.block_on(Worker::new(options, methods, run_id).run(rx)))
        });
        threads.push(thread.change_context(ErrorKind::Io)?);
    }
    let start = Instant::now() + STARTUP_TIME;
    let mut summary = LoadSummary::new(options.seed);
    summary.planned = pacer::run(Schedule::new(&options), start, &workers);
    drop(workers);
    let mut reported_not_run = Vec::new();
    for thread in threads {
        let result = thread.join().map_err(|_| io("a load generator thread panicked"))??;
        merge(&mut summary, &result.summary);
        reported_not_run.extend(result.reported_not_run);
    }
    summary.elapsed = start.elapsed().saturating_sub(options.warm_up);
    if let Some(control) = options.control {
        let runtime = actix_rt::Runtime::new().change_context(ErrorKind::Io)?;
        summary.verification = Some(runtime.block_on(verify::verify(control, &reported_not_run))?);
    }
    Ok(summary)
}

fn check(options: &LoadOptions) -> Result<()> {
    let is_rate = |rate: f64| rate.is_finite() && rate > 0.0;
    let errors = [
        (options.targets.is_empty(), "at least one target is needed"),
        (options.customers.is_empty(), "at least one customer is needed"),
        (
            !options.customers.iter().all(|customer| is_rate(customer.rate)),
            "every rate must be a finite number greater than zero",
        ),
        (
            options.methods.iter().all(|share| share.weight == 0),
            "at least one method must have a weight greater than zero",
        ),
        (options.pipeline == 0, "the number of calls on one connection must be greater than zero"),
        (options.threads == 0, "the number of threads must be greater than zero"),
        (
            options.max_in_flight < options.threads,
            "the limit on calls in flight must be at least the number of threads",
        ),
    ];
    match errors.iter().find(|(is_error, _)| *is_error) {
        Some((_, message)) => Err(invalid_input(*message)),
        None => Ok(()),
    }
}

fn merge(to: &mut LoadSummary, from: &LoadSummary) {
    let _ = to.lateness.add(&from.lateness);
    to.total.merge(&from.total);
    for (name, tally) in &from.customers {
        to.customers.entry(name.clone()).or_default().merge(tally);
    }
}
