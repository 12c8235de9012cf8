//! Probes and load reports of a running entry.

use {
    crate::system::{StandInServers, TestEntry},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time within which an idle entry must send probes. It spends none of its budget in the first 1.55 s.
const PROBE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which servers get no calls. With a budget, they would be probed after 1 s.
const IDLE_TIME: Duration = Duration::from_millis(2_500);

fn total_count(servers: &StandInServers, name: &str) -> u64 {
    let counts = servers.executions();
    counts["servers"].as_array().expect("servers").iter().filter_map(|server| server[name].as_u64()).sum()
}

fn run_successful_load(entry: &TestEntry, servers: &StandInServers) {
    let (output, summary) = entry.run_load(servers, &["--rate", "400", "--time", "2s"]);
    assert_eq!((output.code, &summary["total"]["good"]), (0, &summary["planned"]), "{summary}");
}

/// Guards against probes and load reports that bypass the budget: with a budget of 0 bytes there must be none.
#[test]
fn nothing_is_measured_without_a_budget() {
    let entry = TestEntry::with_config("[measure]\nbytes = 0\n");
    let servers = entry.start_servers_and_wait(&["--servers", "4", "--slots", "4", "--service-time", "1ms"]);
    // The load starts after the startup delay, in which an entry measures nothing.
    thread::sleep(IDLE_TIME);
    run_successful_load(&entry, &servers);
    thread::sleep(IDLE_TIME);
    assert_eq!([total_count(&servers, "probes"), total_count(&servers, "reports")], [0, 0]);
    assert_eq!(entry.metric("hemlockford_measure_allowed{amount=\"bytes\"}"), 0.0);
}

/// Guards against an entry that exceeds its measurement budget or never measures, and against metrics that do not show
/// what it spent.
#[test]
fn an_entry_measures_within_its_budget() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&[
        "--servers",
        "8",
        "--slots",
        "4",
        "--service-time",
        "1ms",
        "--probe-time",
        "3ms",
    ]);
    let start = Instant::now();
    while total_count(&servers, "probes") < 3 {
        assert!(start.elapsed() < PROBE_LIMIT, "an idle entry sent too few probes within {PROBE_LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
    run_successful_load(&entry, &servers);
    thread::sleep(Duration::from_millis(200));
    let (probes, reports) = (total_count(&servers, "probes"), total_count(&servers, "reports"));
    let metric = |name: &str| entry.metric(&format!("hemlockford_measure_{name}"));
    let spent = |amount: &str| {
        let spent_on = |kind: &str| metric(&format!("spent_total{{amount=\"{amount}\",kind=\"{kind}\"}}"));
        (spent_on("probe"), spent_on("report"))
    };
    println!("{probes} probes, {reports} answers with a report, {:?} slot-seconds", spent("slot-seconds"));
    println!("{:?} bytes, {:?} processor-seconds", spent("bytes"), spent("processor-seconds"));
    assert!(metric("reports_total") > 0.0, "no report was requested with a call");
    // The servers also count the reports in the answers to probes.
    assert!(reports <= metric("reports_total") as u64 + probes);
    // An aborted probe may not have reached its server.
    assert!(probes <= metric("probes_total") as u64);
    assert_eq!(metric("allowed{amount=\"bytes\"}"), 21_000.0);
    // 0.5% of 32 slots.
    assert!((metric("allowed{amount=\"slot-seconds\"}") - 0.16).abs() < 1e-6);
    let windows = start.elapsed().as_secs_f64().ceil() + 1.0;
    for amount in ["bytes", "slot-seconds", "processor-seconds"] {
        let (probe, report) = spent(amount);
        let allowed = metric(&format!("allowed{{amount=\"{amount}\"}}"));
        assert!(
            probe + report <= allowed * windows,
            "{amount}: {probe} for probes and {report} for reports, with {allowed} allowed per second"
        );
    }
}

/// Guards against probes that hold a slot of a server for longer than the reserved time.
#[test]
fn a_probe_that_takes_too_long_frees_its_slot() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&[
        "--servers",
        "2",
        "--slots",
        "8",
        "--service-time",
        "1ms",
        "--probe-time",
        "60s",
    ]);
    let start = Instant::now();
    while total_count(&servers, "probes") < 3 {
        assert!(start.elapsed() < PROBE_LIMIT, "an idle entry sent too few probes within {PROBE_LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
    // If the probes were not aborted, they would hold their slots for a minute.
    let is_free = || {
        thread::sleep(Duration::from_millis(10));
        total_count(&servers, "in_flight") == 0
    };
    assert!((0..100).any(|_| is_free()), "{}", servers.executions());
}
