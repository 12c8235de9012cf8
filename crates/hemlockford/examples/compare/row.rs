//! One row: load under one condition with one policy.

use {
    crate::{
        options::{Condition, Policy, Size},
        support::machine,
        system::{QUIET_CUSTOMERS, SERVERS, TestSystem, costs, customer},
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

/// Calls of the noisy customer for each call of another customer.
const NOISE: f64 = 10.0;
/// Look-ups and confirmations; the latter must not run twice.
const METHODS: [(&str, u32); 2] = [("GET", 9), ("POST", 1)];
/// Calls before the measured part: connections are opened, permits are handed out, and queues fill up under
/// overload.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Lateness of starts at p99 above which a row counts as disturbed by something else on the machine: a
/// tenth of the shorter mean service time.
const LATE_LIMIT_US: u64 = 1_000;
/// Attempts at a row that is disturbed.
const ATTEMPTS: usize = 3;

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

/// What is measured.
pub struct Row<'a> {
    pub system: &'a TestSystem,
    pub size: Size,
    pub condition: Condition,
    pub policy: Policy,
    pub load: u32,
    pub time: Duration,
    pub seed: u64,
    /// The p99 of customers without a noisy one, which is the same for both noisy conditions.
    pub alone: &'a OnceLock<u64>,
}

/// Result of one attempt.
struct Attempt {
    quiet: LoadSummary,
    noisy: Option<LoadSummary>,
    slot_bytes: f64,
    measuring: String,
    last_call: Option<u64>,
}

impl Row<'_> {
    /// Measures, again while calls were started late, and returns the cells.
    pub fn measure(&self) -> Vec<String> {
        let mut attempts = 1;
        let mut attempt = self.attempt();
        while attempt.late(0.99) > LATE_LIMIT_US && attempts < ATTEMPTS {
            attempts += 1;
            attempt = self.attempt();
        }
        let alone = self.condition.is_noisy().then(|| *self.alone.get_or_init(|| self.measure_alone()));
        self.cells(&attempt, attempts, alone)
    }

    /// Returns calls a second of all and of one customer that is not noisy.
    fn rates(&self) -> (f64, f64) {
        let (slots, service_ms, _) = self.size.server();
        let capacity = SERVERS as f64 * f64::from(slots) / f64::from(service_ms) * 1_000.0;
        let rate = capacity * f64::from(self.load) / 100.0;
        let noise = if self.condition.is_noisy() { NOISE } else { 0.0 };
        (rate, rate / (QUIET_CUSTOMERS as f64 + noise))
    }

    fn attempt(&self) -> Attempt {
        let (all, noisy_targets) = self.system.targets(self.condition);
        let (_, share) = self.rates();
        // A server that leaves does so within the run; the other faults are there from the start.
        if self.condition != Condition::Leaving {
            self.system.begin(self.condition);
        }
        let before = self.system.metrics();
        let start = Instant::now();
        let (quiet, noisy) = thread::scope(|scope| {
            let quiet = scope.spawn(|| self.load(&all, quiet_customers(share), self.seed));
            let noisy = self.condition.is_noisy().then(|| {
                let customers = vec![CustomerLoad { name: Some("noisy".into()), rate: share * NOISE }];
                scope.spawn(|| self.load(&noisy_targets, customers, self.seed + 1))
            });
            if self.condition == Condition::Leaving {
                thread::sleep(WARM_UP + self.time / 3);
                self.system.begin(self.condition);
            }
            let quiet = quiet.join().expect("the load ends");
            (quiet, noisy.map(|noisy| noisy.join().expect("the load ends")))
        });
        let elapsed = start.elapsed().as_secs_f64();
        let (slot_bytes, measuring) = costs(&before, &self.system.metrics());
        let last_call = if self.condition == Condition::Leaving { self.system.last_call_after_leaving() } else { None };
        self.system.end(self.condition);
        let short = |name: &str| name.trim_start_matches("hemlockford_").replace(',', " ");
        let measuring: Vec<_> = measuring
            .iter()
            .filter(|(_, added)| **added != 0.0)
            .map(|(name, added)| format!("{}={:.4}", short(name), added / elapsed))
            .collect();
        Attempt { quiet, noisy, slot_bytes: slot_bytes / elapsed, measuring: measuring.join("; "), last_call }
    }

    /// Returns the p99 of the customers beside the noisy one without it.
    fn measure_alone(&self) -> u64 {
        let (all, _) = self.system.targets(self.condition);
        let mut summary = self.load(&all, quiet_customers(self.rates().1), self.seed);
        for _ in 1..ATTEMPTS {
            if summary.lateness.value_at_quantile(0.99) <= LATE_LIMIT_US {
                break;
            }
            summary = self.load(&all, quiet_customers(self.rates().1), self.seed);
        }
        summary.total.quantile(0.99)
    }

    fn load(&self, targets: &[SocketAddr], customers: Vec<CustomerLoad>, seed: u64) -> LoadSummary {
        let options = LoadOptions {
            targets: targets.to_vec(),
            customers,
            arrivals: Arrivals::Poisson,
            methods: METHODS.map(|(method, weight)| MethodShare { method: method.into(), weight }).to_vec(),
            warm_up: WARM_UP,
            duration: self.time,
            seed,
            control: self.system.servers.control.parse().ok(),
            ..LoadOptions::default()
        };
        hemlockford_tools::load(options).expect("the load runs")
    }

    fn cells(&self, attempt: &Attempt, attempts: usize, alone: Option<u64>) -> Vec<String> {
        let total = attempt.total();
        let seconds = self.time.as_secs_f64();
        let goodput = |tally: &CallStats| format!("{:.0}", tally.good() as f64 / seconds);
        let quiet = |cell: &dyn Fn(&CallStats) -> String| match &attempt.noisy {
            Some(_) => cell(&attempt.quiet.total),
            None => String::new(),
        };
        let optional = |value: Option<u64>| value.map_or_else(String::new, |value| value.to_string());
        let bad_status: u64 = total.answered.iter().filter(|(status, _)| **status >= 500).map(|(_, count)| count).sum();
        let summaries = [Some(&attempt.quiet), attempt.noisy.as_ref()];
        let verified: Vec<_> = summaries.iter().flatten().filter_map(|load| load.verification.as_ref()).collect();
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
            reasons(&total.not_run),
            total.unknown.values().sum::<u64>().to_string(),
            reasons(&total.unknown),
            total.unsent.to_string(),
            bad_status.to_string(),
            total.fault_count().to_string(),
            verified.iter().map(|verified| verified.repeated).max().unwrap_or_default().to_string(),
            verified.iter().map(|verified| verified.ran_but_denied.len()).sum::<usize>().to_string(),
            quiet(&|tally| tally.quantile(0.5).to_string()),
            quiet(&|tally| tally.quantile(0.99).to_string()),
            quiet(&goodput),
            optional(alone),
            attempt.noisy.as_ref().map_or_else(String::new, |noisy| goodput(&noisy.total)),
            format!("{:.0}", attempt.slot_bytes),
            attempt.measuring.clone(),
            optional(attempt.last_call),
            attempt.late(0.5).to_string(),
            attempt.late(0.99).to_string(),
            attempts.to_string(),
            if attempt.late(0.99) > LATE_LIMIT_US { "yes" } else { "no" }.into(),
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

    /// Returns how late calls were started, of the load that was later.
    fn late(&self, quantile: f64) -> u64 {
        let late = |load: &LoadSummary| load.lateness.value_at_quantile(quantile);
        late(&self.quiet).max(self.noisy.as_ref().map_or(0, late))
    }
}

fn reasons(counts: &BTreeMap<Box<str>, u64>) -> String {
    counts.iter().map(|(reason, count)| format!("{reason}={count}")).collect::<Vec<_>>().join("; ")
}

fn quiet_customers(rate: f64) -> Vec<CustomerLoad> {
    (1..=QUIET_CUSTOMERS).map(|number| CustomerLoad { name: Some(customer(number)), rate }).collect()
}
