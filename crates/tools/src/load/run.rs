//! Runs the threads of one run of load.

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

/// Time for the threads to start before the first call is due.
const LEAD_TIME: Duration = Duration::from_millis(50);

/// Sends calls at fixed times, checks each answer against its own request, and blocks until the end.
pub fn load(options: LoadOptions) -> Result<LoadSummary> {
    check(&options)?;
    let method =
        |name: &str| Method::from_bytes(name.as_bytes()).map_err(|_| invalid_input(format!("method '{name}'")));
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
    let start = Instant::now() + LEAD_TIME;
    let mut summary = LoadSummary::new(options.seed);
    summary.planned = pacer::pace(Schedule::new(&options), start, &workers);
    drop(workers);
    let mut denied = Vec::new();
    for thread in threads {
        let result = thread.join().map_err(|_| io("a thread that sends calls panicked"))??;
        merge(&mut summary, &result.summary);
        denied.extend(result.denied);
    }
    summary.elapsed = start.elapsed().saturating_sub(options.warm_up);
    if let Some(control) = options.control {
        let runtime = actix_rt::Runtime::new().change_context(ErrorKind::Io)?;
        summary.verification = Some(runtime.block_on(verify::verify(control, &denied))?);
    }
    Ok(summary)
}

fn check(options: &LoadOptions) -> Result<()> {
    let is_rate = |rate: f64| rate.is_finite() && rate > 0.0;
    let faults = [
        (options.targets.is_empty(), "no target"),
        (options.customers.is_empty(), "no customer"),
        (!options.customers.iter().all(|customer| is_rate(customer.rate)), "a rate must be above zero"),
        (options.methods.iter().all(|share| share.weight == 0), "the weights of the methods add up to nothing"),
        (options.threads == 0, "threads must be above zero"),
        (options.max_in_flight < options.threads, "in flight must be at least the number of threads"),
    ];
    match faults.iter().find(|(is_fault, _)| *is_fault) {
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
