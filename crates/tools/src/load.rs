//! Open-loop load on fixed arrival times.

use {
    error_stack::ResultExt,
    hdrhistogram::Histogram,
    hemlockford_core::errors::{ErrorKind, Result},
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
};

const HIGHEST_MICROSECONDS: u64 = 60_000_000;

/// Options of a run of load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where the calls are sent.
    pub target: SocketAddr,
    /// Service that is called.
    pub service: Box<str>,
    /// Calls a second.
    pub rate: f64,
    /// Length of the run.
    pub time: Duration,
}

/// Result of a run of load. Latency counts from the intended start of a call.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Latency of good answers in microseconds.
    pub latency: Histogram<u64>,
    /// Whole answers to the right request.
    pub good: u64,
    /// Answers with a status of 400 or above.
    pub failed: u64,
    /// Answers that were partial or belonged to another request.
    pub wrong: u64,
}

/// Sends calls at fixed times and checks each answer against its own request.
pub async fn load(options: LoadOptions) -> Result<LoadSummary> {
    let latency = Histogram::new_with_bounds(1, HIGHEST_MICROSECONDS, 3).change_context(ErrorKind::InvalidInput)?;
    let summary = Rc::new(RefCell::new(LoadSummary { latency, good: 0, failed: 0, wrong: 0 }));
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder().connector(connector).disable_redirects().finish();
    let count = (options.rate * options.time.as_secs_f64()) as u64;
    let interval = Duration::from_secs_f64(1.0 / options.rate);
    let start = Instant::now();
    let mut calls = Vec::new();
    for number in 0..count {
        let intended = start + interval.mul_f64(number as f64);
        actix_rt::time::sleep_until(intended.into()).await;
        let url = format!("http://{}/{}/{number}", options.target, options.service);
        let (client, summary, service) = (client.clone(), summary.clone(), options.service.clone());
        calls.push(actix_rt::spawn(async move {
            let answer = client.get(url).no_decompress().timeout(Duration::from_secs(10)).send().await;
            let expected = format!("/{service}/{number}\n");
            let mut is_failed = true;
            let mut is_right = false;
            if let Ok(mut answer) = answer {
                is_failed = answer.status().as_u16() >= 400;
                let body = answer.body().await.unwrap_or_default();
                is_right = body.starts_with(expected.as_bytes());
            }
            let mut summary = summary.borrow_mut();
            if is_failed {
                summary.failed += 1;
            } else if is_right {
                summary.good += 1;
                summary.latency.saturating_record(intended.elapsed().as_micros() as u64);
            } else {
                summary.wrong += 1;
            }
        }));
    }
    for call in calls {
        let _ = call.await;
    }
    Ok(summary.borrow().clone())
}
