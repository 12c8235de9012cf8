//! Options of the load generator.

use std::{
    net::SocketAddr,
    str::FromStr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Distribution of the intervals between arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arrivals {
    /// Constant intervals.
    #[default]
    Constant,
    /// Exponentially distributed intervals, which form a Poisson process.
    Poisson,
}

/// Load of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerLoad {
    /// Name sent with the calls; `None` for calls without a customer.
    pub name: Option<Box<str>>,
    /// Rate in calls per second.
    pub rate: f64,
}

/// Share of the calls that use a method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MethodShare {
    /// Method, such as `GET`.
    pub method: Box<str>,
    /// Weight relative to the other methods.
    pub weight: u32,
}

/// Options of a run of the load generator.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses to which the calls are sent in turn.
    pub targets: Vec<SocketAddr>,
    /// Name of the called service.
    pub service: Box<str>,
    /// Customers and their rates.
    pub customers: Vec<CustomerLoad>,
    /// Distribution of the intervals between arrivals.
    pub arrivals: Arrivals,
    /// Methods and their weights.
    pub methods: Vec<MethodShare>,
    /// Body length of calls with methods other than GET, HEAD and DELETE.
    pub upload_bytes: usize,
    /// Maximum length of a chunk of an upload.
    pub chunk_bytes: usize,
    /// Whether uploads use chunked encoding instead of a content length.
    pub chunked: bool,
    /// Length of the requested answers.
    pub answer_bytes: usize,
    /// Deadline sent with the calls.
    pub deadline: Option<Duration>,
    /// Time after which a call without a complete answer is abandoned.
    pub timeout: Duration,
    /// Whether non-idempotent calls carry an idempotency key.
    pub send_idempotency_keys: bool,
    /// Warm-up time, in which connections are opened. Its calls are not counted unless their answers are faulty.
    pub warm_up: Duration,
    /// Duration of the run after the warm-up.
    pub duration: Duration,
    /// Maximum number of calls.
    pub max_calls: u64,
    /// Maximum number of calls in flight. A call that is due at this limit is not sent and counts as unsent.
    pub max_in_flight: usize,
    /// Maximum number of GET calls on one connection without an answer; with 1 each call has a connection of its own.
    pub pipeline: usize,
    /// Number of threads that send calls. One more thread keeps the arrival times.
    pub threads: usize,
    /// Seed of the random arrival times and methods.
    pub seed: u64,
    /// Control listener of the stand-in servers. It is queried after the run for repeated executions, and for calls
    /// that were executed although the outcome said otherwise.
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
            pipeline: 1,
            threads: 2,
            seed: 1,
            control: None,
        }
    }
}

impl LoadOptions {
    /// Returns a prefix of request ids that is unique to this run.
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
            _ => Err(format!("unknown distribution '{text}'; expected constant or poisson")),
        }
    }
}

impl FromStr for CustomerLoad {
    type Err = String;

    /// Parses `NAME=RATE`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (name, rate) = text.split_once('=').ok_or_else(|| format!("'{text}' is not of the form NAME=RATE"))?;
        let rate: f64 = rate.parse().map_err(|_| format!("'{rate}' is not a rate in calls per second"))?;
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
