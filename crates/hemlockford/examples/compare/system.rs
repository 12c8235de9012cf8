//! Entries and stand-in servers of one size, which stay up for all rows of that size.

use {
    crate::{
        options::{Condition, Policy, Size},
        support::{group::Group, metrics::Metrics, system::Servers},
    },
    std::{collections::BTreeMap, net::SocketAddr, thread, time::Duration},
};

pub const SERVERS: usize = 20;
pub const ENTRIES: usize = 6;
/// Customers with equal weights; in the noisy conditions the noisy one is one more.
pub const QUIET_CUSTOMERS: usize = 9;
/// Time of calls in the text; a call that cannot make it is rejected.
const DEADLINE: &str = "500ms";
/// Slow start ramps load up for a few seconds after a server was at fault.
const RECOVERY: Duration = Duration::from_secs(3);

/// Entries with their own servers.
pub struct TestSystem {
    pub group: Group,
    pub servers: Servers,
    pub policy: Option<Policy>,
}

impl TestSystem {
    pub fn start(size: Size, instances: usize, seed: u64, workers: u32) -> Self {
        let group =
            Group::start_with(instances, instances.min(3), &text(Policy::Permits), &format!("workers = {workers}\n"));
        let (slots, service_ms, probe_ms) = size.server();
        let (count, slots) = (SERVERS.to_string(), slots.to_string());
        let (service, probe) = (format!("exponential:{service_ms}ms"), format!("{probe_ms}ms"));
        let seed = seed.to_string();
        let servers = group.servers(&[
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
        group.wait_servers(SERVERS);
        Self { group, servers, policy: None }
    }

    /// Puts a policy in force on every entry.
    pub fn set_policy(&mut self, policy: Policy) {
        if self.policy != Some(policy) {
            self.group.submit(&text(policy));
            self.policy = Some(policy);
        }
    }

    /// Returns the addresses that calls go to, and those of a noisy customer.
    pub fn targets(&self, condition: Condition) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let all = self.group.callers();
        let noisy = if condition == Condition::NoisyOne { vec![all[0]] } else { all.clone() };
        (all, noisy)
    }

    /// Puts one server at fault.
    pub fn begin(&self, condition: Condition) {
        match condition {
            Condition::Straggler => self.servers.switch(&server(), "mode=straggler&factor=10"),
            Condition::FailFast => self.servers.switch(&server(), "mode=fail-fast"),
            Condition::Leaving => self.servers.switch(&server(), "mode=leaving"),
            _ => {}
        }
    }

    /// Returns the time from a server's leaving to its last new call.
    pub fn last_call_after_leaving(&self) -> Option<u64> {
        let counts = self.servers.server(&server());
        Some(counts["last_started_ms"].as_u64()?.saturating_sub(counts["leaving_since_ms"].as_u64()?))
    }

    /// Makes the server whole again.
    pub fn end(&self, condition: Condition) {
        match condition {
            Condition::Straggler | Condition::FailFast => self.servers.switch(&server(), "mode=normal"),
            Condition::Leaving => self.servers.switch(&server(), "mode=restart"),
            _ => return,
        }
        self.group.wait_servers(SERVERS);
        thread::sleep(RECOVERY);
    }

    pub fn metrics(&self) -> Vec<Metrics> {
        self.group.instances.iter().map(|instance| Metrics::read(&instance.admin)).collect()
    }
}

/// Returns, for the entry with the most, the bytes of slot messages sent since an earlier reading, and what
/// all entries together added to each counter of measuring.
pub fn costs(before: &[Metrics], after: &[Metrics]) -> (f64, BTreeMap<String, f64>) {
    let parts = ["kind=\"slots\"", "direction=\"sent\""];
    let mut most = 0.0_f64;
    let mut measuring = BTreeMap::<_, f64>::new();
    for (before, after) in before.iter().zip(after) {
        let bytes = |metrics: &Metrics| metrics.sum("hemlockford_peer_bytes_total", &parts);
        most = most.max(bytes(after) - bytes(before));
        for prefix in ["hemlockford_measur", "hemlockford_probe"] {
            for (name, value) in after.since(before, prefix) {
                *measuring.entry(name).or_default() += value;
            }
        }
    }
    (most, measuring)
}

pub fn customer(number: usize) -> Box<str> {
    format!("quiet{number}").into()
}

/// Returns the name of the server that is put at fault.
fn server() -> String {
    "catalogue-0".into()
}

fn text(policy: Policy) -> String {
    let customers: String = (1..=QUIET_CUSTOMERS).map(|number| format!("[customer {}]\n", customer(number))).collect();
    let policy = policy.text();
    format!("{customers}[customer noisy]\n[service catalogue]\ndeadline = {DEADLINE}\npolicy = {policy}\n")
}
