//! Entries and stand-in servers of one size, which keep running for all measurements of that size.

use {
    crate::{
        options::{Condition, Policy, Size},
        support::{group::InstanceGroup, metrics::Metrics, system::StandInServers},
    },
    std::{collections::BTreeMap, net::SocketAddr, thread, time::Duration},
};

pub const SERVERS: usize = 20;
pub const ENTRIES: usize = 6;
/// Number of customers with equal weights. The noisy conditions add one more customer.
pub const QUIET_CUSTOMERS: usize = 9;
/// Deadline of the service in the configuration. Calls that cannot meet it are rejected.
const DEADLINE: &str = "500ms";
/// Time to wait after a fault ends, because slow start ramps the server's load up over a few seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Entries with their own servers.
pub struct TestSystem {
    pub group: InstanceGroup,
    pub servers: StandInServers,
    pub policy: Option<Policy>,
}

impl TestSystem {
    pub fn start(size: Size, instances: usize, seed: u64, workers: u32) -> Self {
        let group = InstanceGroup::start_with_settings(
            instances,
            instances.min(3),
            &configuration(Policy::Permits),
            &format!("workers = {workers}\n"),
        );
        let (slots, service_ms, probe_ms) = size.server_parameters();
        let (count, slots) = (SERVERS.to_string(), slots.to_string());
        let (service, probe) = (format!("exponential:{service_ms}ms"), format!("{probe_ms}ms"));
        let seed = seed.to_string();
        let servers = group.start_servers(&[
            "--servers",
            &count,
            "--slots",
            &slots,
            "--service-time",
            &service,
            "--probe-time",
            &probe,
            "--connect-time",
            "1ms",
            "--threads",
            "2",
            "--seed",
            &seed,
        ]);
        group.wait_for_servers(SERVERS);
        Self { group, servers, policy: None }
    }

    /// Applies a policy on every entry.
    pub fn set_policy(&mut self, policy: Policy) {
        if self.policy != Some(policy) {
            self.group.submit_and_wait(&configuration(policy));
            self.policy = Some(policy);
        }
    }

    /// Returns the addresses that quiet customers call, and those that a noisy customer calls.
    pub fn targets(&self, condition: Condition) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let all = self.group.caller_addresses();
        let noisy = if condition == Condition::NoisyOne { vec![all[0]] } else { all.clone() };
        (all, noisy)
    }

    /// Injects the fault of a condition into one server.
    pub fn inject_fault(&self, condition: Condition) {
        match condition {
            Condition::Straggler => self.servers.set_mode(&faulty_server(), "mode=straggler&factor=10"),
            Condition::FailFast => self.servers.set_mode(&faulty_server(), "mode=fail-fast"),
            Condition::Leaving => self.servers.set_mode(&faulty_server(), "mode=leaving"),
            _ => {}
        }
    }

    /// Returns the time in ms between the departure of a server and its last new call.
    pub fn last_call_after_leaving_ms(&self) -> Option<u64> {
        let counts = self.servers.server_counts(&faulty_server());
        Some(counts["last_started_ms"].as_u64()?.saturating_sub(counts["leaving_since_ms"].as_u64()?))
    }

    /// Ends the fault of a condition and waits until the server has recovered.
    pub fn clear_fault(&self, condition: Condition) {
        match condition {
            Condition::Straggler | Condition::FailFast => self.servers.set_mode(&faulty_server(), "mode=normal"),
            Condition::Leaving => self.servers.set_mode(&faulty_server(), "mode=restart"),
            _ => return,
        }
        self.group.wait_for_servers(SERVERS);
        thread::sleep(RECOVERY_TIME);
    }

    pub fn metrics(&self) -> Vec<Metrics> {
        self.group.instances.iter().map(|instance| Metrics::read(&instance.admin_address)).collect()
    }
}

/// Returns the increase of two kinds of metrics since an earlier reading: the bytes of slot messages sent by the entry
/// that sent most, and the sum over all entries of each counter of probes and reports.
pub fn metric_increases(before: &[Metrics], after: &[Metrics]) -> (f64, BTreeMap<String, f64>) {
    let labels = ["kind=\"slots\"", "direction=\"sent\""];
    let mut max_bytes = 0.0_f64;
    let mut measuring = BTreeMap::<_, f64>::new();
    for (before, after) in before.iter().zip(after) {
        let bytes = |metrics: &Metrics| metrics.sum("hemlockford_peer_bytes_total", &labels);
        max_bytes = max_bytes.max(bytes(after) - bytes(before));
        for prefix in ["hemlockford_measur", "hemlockford_probe"] {
            for (name, value) in after.increases_since(before, prefix) {
                *measuring.entry(name).or_default() += value;
            }
        }
    }
    (max_bytes, measuring)
}

pub fn quiet_customer(number: usize) -> Box<str> {
    format!("quiet{number}").into()
}

/// Returns the name of the server that faults are injected into.
fn faulty_server() -> String {
    "catalogue-0".into()
}

fn configuration(policy: Policy) -> String {
    let customers: String =
        (1..=QUIET_CUSTOMERS).map(|number| format!("[customer {}]\n", quiet_customer(number))).collect();
    let policy = policy.config_value();
    format!("{customers}[customer noisy]\n[service catalogue]\ndeadline = {DEADLINE}\npolicy = {policy}\n")
}
