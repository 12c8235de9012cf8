//! Options of a run of load.

use std::{
    net::SocketAddr,
    str::FromStr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Distribution of the times between arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arrivals {
    /// Equal times.
    #[default]
    Constant,
    /// Exponential times, which make a Poisson process.
    Poisson,
}

/// Calls of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerLoad {
    /// Name that the calls carry; calls without a customer carry none.
    pub name: Option<Box<str>>,
    /// Calls a second.
    pub rate: f64,
}

/// Part of the calls that use one method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MethodShare {
    /// Method, such as `GET`.
    pub method: Box<str>,
    /// Weight among the methods.
    pub weight: u32,
}

/// Options of a run of load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where the calls are sent, in turn.
    pub targets: Vec<SocketAddr>,
    /// Service that is called.
    pub service: Box<str>,
    /// Customers and their rates.
    pub customers: Vec<CustomerLoad>,
    /// Distribution of the times between arrivals.
    pub arrivals: Arrivals,
    /// Methods and their weights.
    pub methods: Vec<MethodShare>,
    /// Bytes of the body of each call that is neither GET, HEAD nor DELETE.
    pub upload_bytes: usize,
    /// Bytes of one piece of an upload.
    pub chunk_bytes: usize,
    /// Whether uploads are sent in chunks instead of with their length.
    pub chunked: bool,
    /// Bytes that the calls ask for as their answer.
    pub answer_bytes: usize,
    /// Deadline that the calls state.
    pub deadline: Option<Duration>,
    /// Time after which a call without a whole answer is given up.
    pub timeout: Duration,
    /// Whether calls that are not idempotent carry an idempotency key.
    pub send_idempotency_keys: bool,
    /// Time before the run whose calls open connections and are not counted, unless they break a promise.
    pub warm_up: Duration,
    /// Length of the run.
    pub duration: Duration,
    /// Largest number of calls.
    pub max_calls: u64,
    /// Calls in flight from which on a call is not sent and counted as unsent.
    pub max_in_flight: usize,
    /// Threads that send the calls; one more keeps the arrival times.
    pub threads: usize,
    /// Seed of the arrival times and methods.
    pub seed: u64,
    /// Control listener of the stand-in servers, asked after the run for repeats and for calls that ran
    /// although their caller was told that they did not.
    pub control: Option<SocketAddr>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            service: "catalogue".into(),
            customers: vec![CustomerLoad { name: None, rate: 100.0 }],
            arrivals: Arrivals::Constant,
            methods: vec![MethodShare { method: "GET".into(), weight: 1 }],
            upload_bytes: 1_000,
            chunk_bytes: 16 << 10,
            chunked: false,
            answer_bytes: 1_000,
            deadline: None,
            timeout: Duration::from_secs(10),
            send_idempotency_keys: false,
            warm_up: Duration::ZERO,
            duration: Duration::from_secs(5),
            max_calls: 10_000_000,
            max_in_flight: 10_000,
            threads: 2,
            seed: 1,
            control: None,
        }
    }
}

impl LoadOptions {
    /// Returns a prefix of request ids that no other run uses.
    pub(super) fn run_id(&self) -> Box<str> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
        format!("{since:x}").into()
    }
}

impl FromStr for Arrivals {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "constant" => Ok(Self::Constant),
            "poisson" => Ok(Self::Poisson),
            _ => Err(format!("'{text}' is neither constant nor poisson")),
        }
    }
}

impl FromStr for CustomerLoad {
    type Err = String;

    /// Parses `NAME=RATE`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (name, rate) = text.split_once('=').ok_or_else(|| format!("'{text}' is not of the form NAME=RATE"))?;
        let rate: f64 = rate.parse().map_err(|_| format!("'{rate}' is not a number of calls a second"))?;
        Ok(Self { name: Some(name.into()), rate })
    }
}

impl FromStr for MethodShare {
    type Err = String;

    /// Parses `METHOD=WEIGHT`, or `METHOD` with weight 1.
    fn from_str(text: &str) -> Result<Self, String> {
        let (method, weight) = text.split_once('=').unwrap_or((text, "1"));
        let weight = weight.parse().map_err(|_| format!("'{weight}' is not a weight"))?;
        Ok(Self { method: method.to_ascii_uppercase().into(), weight })
    }
}
