//! Probes and load reports of a running entry.

use {
    crate::system::{Servers, System},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time within which an idle entry must have probed; it spends nothing in the first 1.55 s.
const PROBE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which servers stay without calls; they would be probed after 1 s.
const SILENCE: Duration = Duration::from_millis(2_500);

fn count(servers: &Servers, name: &str) -> u64 {
    let counts = servers.executions();
    counts["servers"].as_array().expect("servers").iter().filter_map(|server| server[name].as_u64()).sum()
}

fn load(system: &System, servers: &Servers) {
    let (ended, summary) = system.load(servers, &["--rate", "400", "--time", "2s"]);
    assert_eq!((ended.code, &summary["total"]["good"]), (0, &summary["planned"]), "{summary}");
}

/// Guards against probes and reports that bypass the budget: without bytes there must be none of either.
#[test]
fn nothing_is_measured_without_a_budget() {
    let system = System::with_text("[measure]\nbytes = 0\n");
    let servers = system.servers(&["--servers", "4", "--slots", "4", "--service-time", "1ms"]);
    // Load that begins after the start's quiet time.
    thread::sleep(SILENCE);
    load(&system, &servers);
    thread::sleep(SILENCE);
    assert_eq!([count(&servers, "probes"), count(&servers, "reports")], [0, 0]);
    assert_eq!(system.metric("hemlockford_measure_allowed{amount=\"bytes\"}"), 0.0);
}

/// Guards against an entry that asks more than its budget allows or never, and against metrics that do not
/// say what it spent.
#[test]
fn an_entry_measures_within_its_budget() {
    let system = System::start();
    let servers = system.servers(&["--servers", "8", "--slots", "4", "--service-time", "1ms", "--probe-time", "3ms"]);
    let begin = Instant::now();
    while count(&servers, "probes") < 3 {
        assert!(begin.elapsed() < PROBE_LIMIT, "an idle entry does not probe");
        thread::sleep(Duration::from_millis(50));
    }
    load(&system, &servers);
    thread::sleep(Duration::from_millis(200));
    let (probes, reports) = (count(&servers, "probes"), count(&servers, "reports"));
    let metric = |name: &str| system.metric(&format!("hemlockford_measure_{name}"));
    let spent = |amount: &str| {
        let of = |kind: &str| metric(&format!("spent_total{{amount=\"{amount}\",kind=\"{kind}\"}}"));
        (of("probe"), of("report"))
    };
    println!("{probes} probes, {reports} answers with a report, {:?} slot-seconds", spent("slot-seconds"));
    println!("{:?} bytes, {:?} processor-seconds", spent("bytes"), spent("processor-seconds"));
    assert!(metric("reports_total") > 0.0, "no answer was asked for a report");
    // A report in an answer of a probe counts as one of the answers with a report.
    assert!(reports <= metric("reports_total") as u64 + probes);
    // A probe that was cut off on the way may not have reached its server.
    assert!(probes <= metric("probes_total") as u64);
    assert_eq!(metric("allowed{amount=\"bytes\"}"), 21_000.0);
    // 0.5% of 32 slots.
    assert!((metric("allowed{amount=\"slot-seconds\"}") - 0.16).abs() < 1e-6);
    let windows = begin.elapsed().as_secs_f64().ceil() + 1.0;
    for amount in ["bytes", "slot-seconds", "processor-seconds"] {
        let (probe, report) = spent(amount);
        let allowed = metric(&format!("allowed{{amount=\"{amount}\"}}"));
        assert!(probe + report <= allowed * windows, "{amount}: {probe} and {report} of {allowed} a second");
    }
}

/// Guards against probes that hold a slot of a server beyond what was reserved for them.
#[test]
fn a_probe_that_takes_too_long_leaves_its_slot() {
    let system = System::start();
    let servers = system.servers(&["--servers", "2", "--slots", "8", "--service-time", "1ms", "--probe-time", "60s"]);
    let begin = Instant::now();
    while count(&servers, "probes") < 3 {
        assert!(begin.elapsed() < PROBE_LIMIT, "an idle entry does not probe");
        thread::sleep(Duration::from_millis(50));
    }
    // Without the cut-off the slots of three probes would stay taken for a minute.
    let is_free = || {
        thread::sleep(Duration::from_millis(10));
        count(&servers, "in_flight") == 0
    };
    assert!((0..100).any(|_| is_free()), "{}", servers.executions());
}
