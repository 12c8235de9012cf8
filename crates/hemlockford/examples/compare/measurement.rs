//! Measurement of one load under one condition with one policy, which becomes one row of the table.

use {
    crate::{
        options::{Condition, Policy, Size},
        support::machine,
        system::{QUIET_CUSTOMERS, SERVERS, TestSystem, metric_increases, quiet_customer},
    },
    hemlockford_tools::{
        LoadOptions, LoadSummary,
        load::{Arrivals, CallStats, CustomerLoad, MethodShare},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::OnceLock,
        thread,
        time::{Duration, Instant},
    },
};

/// Ratio of the rate of the noisy customer to the rate of each other customer.
const NOISY_RATE_FACTOR: f64 = 10.0;
/// Methods and weights of look-ups and of confirmations, which must not run twice.
const METHODS: [(&str, u32); 2] = [("GET", 9), ("POST", 1)];
/// Time before the measured part in which connections are opened, permits are granted and, under overload, queues
/// fill up.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// If the p99 delay between scheduled and actual call start is above this limit, other work on the machine has
/// disturbed the measurement. The limit is a tenth of the shorter mean service time.
const MAX_LATENESS_US: u64 = 1_000;
/// Number of times that a disturbed measurement is attempted.
const MAX_ATTEMPTS: usize = 3;

pub const HEADER: [&str; 32] = [
    "size",
    "condition",
    "load_percent",
    "policy",
    "rate_per_s",
    "p50_us",
    "p99_us",
    "p99.9_us",
    "goodput_per_s",
    "good",
    "not_run",
    "not_run_reasons",
    "unknown",
    "unknown_reasons",
    "unsent",
    "bad_status",
    "wrong_partial_repeated",
    "ran_twice",
    "ran_but_denied",
    "quiet_p50_us",
    "quiet_p99_us",
    "quiet_goodput_per_s",
    "quiet_p99_alone_us",
    "noisy_goodput_per_s",
    "slot_bytes_per_s_of_busiest_entry",
    "measuring_per_s",
    "last_call_after_leaving_ms",
    "start_late_p50_us",
    "start_late_p99_us",
    "attempts",
    "disturbed",
    "load_average",
];

/// Parameters of a measurement.
pub struct Measurement<'a> {
    pub system: &'a TestSystem,
    pub size: Size,
    pub condition: Condition,
    pub policy: Policy,
    pub load: u32,
    pub duration: Duration,
    pub seed: u64,
    /// The p99 latency without the noisy customer, which is the same for both noisy conditions.
    pub baseline_p99: &'a OnceLock<u64>,
}

/// Result of one attempt.
struct Attempt {
    quiet: LoadSummary,
    noisy: Option<LoadSummary>,
    slot_bytes_per_s: f64,
    measuring_per_s: String,
    last_call_after_leaving_ms: Option<u64>,
}

impl Measurement<'_> {
    /// Runs the measurement and returns the cells of the row. A disturbed measurement is repeated.
    pub fn measure(&self) -> Vec<String> {
        let mut attempts = 1;
        let mut attempt = self.run_attempt();
        while attempt.lateness(0.99) > MAX_LATENESS_US && attempts < MAX_ATTEMPTS {
            attempts += 1;
            attempt = self.run_attempt();
        }
        let baseline_p99 =
            self.condition.is_noisy().then(|| *self.baseline_p99.get_or_init(|| self.measure_baseline_p99()));
        self.cells(&attempt, attempts, baseline_p99)
    }

    /// Returns the total rate and the rate of one quiet customer, in calls per second.
    fn rates(&self) -> (f64, f64) {
        let (slots, service_ms, _) = self.size.server_parameters();
        let capacity = SERVERS as f64 * f64::from(slots) / f64::from(service_ms) * 1_000.0;
        let rate = capacity * f64::from(self.load) / 100.0;
        let noisy_factor = if self.condition.is_noisy() { NOISY_RATE_FACTOR } else { 0.0 };
        (rate, rate / (QUIET_CUSTOMERS as f64 + noisy_factor))
    }

    fn run_attempt(&self) -> Attempt {
        let (all, noisy_targets) = self.system.targets(self.condition);
        let (_, customer_rate) = self.rates();
        // A leaving server leaves during the run; the other faults are injected before it.
        if self.condition != Condition::Leaving {
            self.system.inject_fault(self.condition);
        }
        let before = self.system.metrics();
        let start = Instant::now();
        let (quiet, noisy) = thread::scope(|scope| {
            let quiet = scope.spawn(|| self.run_load(&all, quiet_customers(customer_rate), self.seed));
            let noisy = self.condition.is_noisy().then(|| {
                let customers =
                    vec![CustomerLoad { name: Some("noisy".into()), rate: customer_rate * NOISY_RATE_FACTOR }];
                scope.spawn(|| self.run_load(&noisy_targets, customers, self.seed + 1))
            });
            if self.condition == Condition::Leaving {
                thread::sleep(WARM_UP + self.duration / 3);
                self.system.inject_fault(self.condition);
            }
            let quiet = quiet.join().expect("the load generator does not panic");
            (quiet, noisy.map(|noisy| noisy.join().expect("the load generator does not panic")))
        });
        let elapsed = start.elapsed().as_secs_f64();
        let (slot_bytes, measuring) = metric_increases(&before, &self.system.metrics());
        let last_call_after_leaving_ms =
            if self.condition == Condition::Leaving { self.system.last_call_after_leaving_ms() } else { None };
        self.system.clear_fault(self.condition);
        let short_name = |name: &str| name.trim_start_matches("hemlockford_").replace(',', " ");
        let measuring: Vec<_> = measuring
            .iter()
            .filter(|(_, increase)| **increase != 0.0)
            .map(|(name, increase)| format!("{}={:.4}", short_name(name), increase / elapsed))
            .collect();
        Attempt {
            quiet,
            noisy,
            slot_bytes_per_s: slot_bytes / elapsed,
            measuring_per_s: measuring.join("; "),
            last_call_after_leaving_ms,
        }
    }

    /// Measures the p99 latency of the quiet customers without the noisy customer.
    fn measure_baseline_p99(&self) -> u64 {
        let (all, _) = self.system.targets(self.condition);
        let mut summary = self.run_load(&all, quiet_customers(self.rates().1), self.seed);
        for _ in 1..MAX_ATTEMPTS {
            if summary.lateness.value_at_quantile(0.99) <= MAX_LATENESS_US {
                break;
            }
            summary = self.run_load(&all, quiet_customers(self.rates().1), self.seed);
        }
        summary.total.quantile(0.99)
    }

    fn run_load(&self, targets: &[SocketAddr], customers: Vec<CustomerLoad>, seed: u64) -> LoadSummary {
        let options = LoadOptions {
            targets: targets.to_vec(),
            customers,
            arrivals: Arrivals::Poisson,
            methods: METHODS.map(|(method, weight)| MethodShare { method: method.into(), weight }).to_vec(),
            warm_up: WARM_UP,
            duration: self.duration,
            seed,
            control: self.system.servers.control_address.parse().ok(),
            ..LoadOptions::default()
        };
        hemlockford_tools::load(options).expect("the load generator runs")
    }

    fn cells(&self, attempt: &Attempt, attempts: usize, baseline_p99: Option<u64>) -> Vec<String> {
        let total = attempt.total();
        let seconds = self.duration.as_secs_f64();
        let goodput = |stats: &CallStats| format!("{:.0}", stats.good() as f64 / seconds);
        let quiet = |cell: &dyn Fn(&CallStats) -> String| match &attempt.noisy {
            Some(_) => cell(&attempt.quiet.total),
            None => String::new(),
        };
        let optional = |value: Option<u64>| value.map_or_else(String::new, |value| value.to_string());
        let bad_status: u64 = total.answered.iter().filter(|(status, _)| **status >= 500).map(|(_, count)| count).sum();
        let summaries = [Some(&attempt.quiet), attempt.noisy.as_ref()];
        let verifications: Vec<_> = summaries.iter().flatten().filter_map(|load| load.verification.as_ref()).collect();
        vec![
            self.size.name().into(),
            self.condition.name().into(),
            self.load.to_string(),
            self.policy.name().into(),
            format!("{:.0}", self.rates().0),
            total.quantile(0.5).to_string(),
            total.quantile(0.99).to_string(),
            total.quantile(0.999).to_string(),
            goodput(&total),
            total.good().to_string(),
            total.not_run.values().sum::<u64>().to_string(),
            format_reasons(&total.not_run),
            total.unknown.values().sum::<u64>().to_string(),
            format_reasons(&total.unknown),
            total.unsent.to_string(),
            bad_status.to_string(),
            total.fault_count().to_string(),
            verifications.iter().map(|verification| verification.repeated).max().unwrap_or_default().to_string(),
            verifications.iter().map(|verification| verification.ran_but_denied.len()).sum::<usize>().to_string(),
            quiet(&|stats| stats.quantile(0.5).to_string()),
            quiet(&|stats| stats.quantile(0.99).to_string()),
            quiet(&goodput),
            optional(baseline_p99),
            attempt.noisy.as_ref().map_or_else(String::new, |noisy| goodput(&noisy.total)),
            format!("{:.0}", attempt.slot_bytes_per_s),
            attempt.measuring_per_s.clone(),
            optional(attempt.last_call_after_leaving_ms),
            attempt.lateness(0.5).to_string(),
            attempt.lateness(0.99).to_string(),
            attempts.to_string(),
            if attempt.lateness(0.99) > MAX_LATENESS_US { "yes" } else { "no" }.into(),
            format!("{:.1}", machine::load_average()),
        ]
    }
}

impl Attempt {
    fn total(&self) -> CallStats {
        let mut total = self.quiet.total.clone();
        if let Some(noisy) = &self.noisy {
            total.merge(&noisy.total);
        }
        total
    }

    /// Returns a quantile of the call start delays in microseconds, of whichever load had the longer delays.
    fn lateness(&self, quantile: f64) -> u64 {
        let lateness = |load: &LoadSummary| load.lateness.value_at_quantile(quantile);
        lateness(&self.quiet).max(self.noisy.as_ref().map_or(0, lateness))
    }
}

fn format_reasons(counts: &BTreeMap<Box<str>, u64>) -> String {
    counts.iter().map(|(reason, count)| format!("{reason}={count}")).collect::<Vec<_>>().join("; ")
}

fn quiet_customers(rate: f64) -> Vec<CustomerLoad> {
    (1..=QUIET_CUSTOMERS).map(|number| CustomerLoad { name: Some(quiet_customer(number)), rate }).collect()
}
