//! The measuring budget over several dispatchers with servers, restarts and peak traffic.

mod support;

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
    support::{Cluster, SERVICE, Traffic},
};

const ENTRIES: usize = 7;
const SERVERS: usize = 36;
const SLOTS: usize = 2;
const WORK: Duration = Duration::from_millis(10);
/// Default budget of slot time, 0.5% of 72 slots.
const SLOT_TIME: Duration = Duration::from_millis(360);
/// Default budget of bytes.
const BYTES: u64 = 21_000;

fn traffic(load: f64, customer: &str) -> Traffic {
    Traffic {
        customer: customer.into(),
        rate: load * (SERVERS * SLOTS) as f64 / WORK.as_secs_f64(),
        entries: (0..ENTRIES).collect(),
        work: WORK,
        upload: false,
        exponential: true,
    }
}

fn config(measure: &str) -> String {
    format!("[change]\nnumber = 1\n{measure}[service {SERVICE}]\ndeadline = 800ms\n")
}

fn cluster(seed: u64, measure: &str) -> Cluster {
    Cluster::new(seed, ENTRIES, SERVERS, SLOTS, &config(measure))
}

/// Runs the cluster while entries are killed and started at random.
fn run_with_restarts(cluster: &mut Cluster, seed: u64, time: Duration) {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfa11);
    let end = cluster.now + time;
    while cluster.now < end {
        cluster.run_for(Duration::from_millis(rng.random_range(50..400)));
        let entry = rng.random_range(0..ENTRIES);
        if cluster.entries[entry].is_some() {
            cluster.kill(entry);
        } else {
            cluster.start(entry);
        }
        let live: Vec<_> = (0..ENTRIES).filter(|entry| cluster.entries[*entry].is_some()).collect();
        live.iter().for_each(|entry| cluster.set_peers(*entry, &live));
    }
}

fn count(times: &[Duration], (from, to): (u64, u64)) -> usize {
    let (from, to) = (Duration::from_secs(from), Duration::from_secs(to));
    times.iter().filter(|at| (from..to).contains(at)).count()
}

/// Guards against exceeding the configured budget in any second, and against probes that use slots at peak
/// although reports in answers suffice.
#[test]
fn measuring_stays_within_the_budget_and_gives_way_at_peak() {
    for seed in 1..=5 {
        let mut cluster = cluster(seed, "");
        cluster.run_for(Duration::from_secs(4));
        cluster.add_traffic(traffic(1.3, "peak"));
        cluster.run_for(Duration::from_secs(3));
        let probes = [(0, 4), (5, 7)].map(|span| count(&cluster.probe_starts, span));
        let reports = count(&cluster.report_requests, (5, 7));
        let peak = cluster.peak_use();
        println!("seed {seed}: {probes:?} probes idle and at peak, {reports} reports at peak, {peak:?}");
        assert!(probes[0] > 0 && reports > 0, "seed {seed}: no probe or report was sent, so the test proves nothing");
        assert_eq!(probes[1], 0, "seed {seed}: probes at peak");
        assert!(peak.slot_time <= SLOT_TIME && peak.bytes <= BYTES, "seed {seed}: {peak:?}");
    }
}

/// Guards against entries that spend their share again after a restart, and against others that use what a
/// restarted entry has spent.
#[test]
fn restarts_do_not_exceed_the_budget() {
    for seed in 1..=5 {
        let mut cluster = cluster(seed, "");
        // A first probe then takes nearly its whole reserve.
        cluster.probe_time = Duration::from_millis(11);
        cluster.run_for(Duration::from_secs(2));
        run_with_restarts(&mut cluster, seed, Duration::from_secs(8));
        cluster.add_traffic(traffic(1.3, "peak"));
        run_with_restarts(&mut cluster, seed + 100, Duration::from_secs(3));
        let peak = cluster.peak_use();
        println!(
            "seed {seed}: {} probes, {} reports, {peak:?}",
            cluster.probe_starts.len(),
            cluster.report_requests.len()
        );
        let is_covered = !cluster.probe_starts.is_empty() && !cluster.report_requests.is_empty();
        assert!(is_covered, "seed {seed}: no probe or report was sent, so the test proves nothing");
        assert!(peak.slot_time <= SLOT_TIME && peak.bytes <= BYTES, "seed {seed}: {peak:?}");
    }
}

/// Guards against measurements that are not charged to the budget, and against probes of servers whose policy
/// does not use their result.
#[test]
fn nothing_is_measured_without_a_budget_or_a_use() {
    for measure in ["[measure]\nbytes = 0\n", "[measure]\nentry-share = 0%\n"] {
        let mut cluster = cluster(9, measure);
        cluster.add_traffic(traffic(0.3, "usual"));
        cluster.run_for(Duration::from_secs(4));
        assert!(cluster.budget_uses.is_empty() && cluster.answered_count() > 0, "{measure}");
    }
    for policy in ["random", "round-robin", "least-in-flight"] {
        let config = format!("{}policy = {policy}\n", config(""));
        let mut cluster = Cluster::new(9, ENTRIES, SERVERS, SLOTS, &config);
        cluster.add_traffic(traffic(0.3, "usual"));
        cluster.run_for(Duration::from_secs(4));
        assert!(cluster.budget_uses.is_empty() && cluster.answered_count() > 0, "{policy}");
    }
}

/// Guards against a server that answers probes slowly and is never probed again.
#[test]
fn a_slow_probe_is_cancelled_and_later_ones_get_more_time() {
    let mut cluster = cluster(11, "");
    cluster.probe_time = Duration::from_millis(30);
    cluster.run_for(Duration::from_secs(40));
    let longest = cluster.budget_uses.iter().map(|spent| spent.cost.slot_time).max();
    assert_eq!(longest, Some(cluster.probe_time), "no probe was completed");
    let peak = cluster.peak_use();
    assert!(peak.slot_time <= SLOT_TIME && peak.bytes <= BYTES, "{peak:?}");
}
