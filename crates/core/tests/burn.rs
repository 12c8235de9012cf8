//! Error budget burn over windows, customers and instances.

use {
    hemlockford_core::{
        burn::{Alert, BurnCounter, BurnReport, BurnSummary, MAX_CUSTOMERS, OTHER_CUSTOMERS, Window},
        config::Configuration,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

const FAST: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(900);

fn configuration() -> Configuration {
    Configuration::parse("[change]\nnumber = 1\n[service catalogue]\nobjective = 99% in 250ms\n[customer kovar]\n")
        .unwrap()
}

fn counter(now: Instant) -> BurnCounter {
    let mut burn = BurnCounter::new(now);
    burn.configure(&configuration());
    burn
}

/// Records one call each second, of which one in `one_bad_in` is bad.
fn record(burn: &mut BurnCounter, from: Instant, length: Duration, customer: &str, one_bad_in: u64) -> Instant {
    for second in 0..length.as_secs() {
        let latency = if second.is_multiple_of(one_bad_in) { SLOW } else { FAST };
        burn.record(from + Duration::from_secs(second), "catalogue", customer, latency, true);
    }
    from + length
}

fn alerts(report: &BurnReport) -> Vec<Alert> {
    report.summary().services[0].alerts.clone()
}

/// Guards against windows that drop calls too early, or keep them for more than one bucket beyond their length. The
/// windows are compared with an exact count of the same calls.
#[test]
fn windows_match_an_exact_count() {
    for seed in 0..5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut burn = counter(start);
        let mut calls: VecDeque<(Duration, bool)> = VecDeque::new();
        let mut age = Duration::ZERO;
        for _ in 0..20_000 {
            // Calls are mostly seconds apart, with occasional gaps longer than a ring buffer.
            let gap = if rng.random_bool(0.002) { 20_000.0 } else { 20.0 };
            age += Duration::from_secs_f64(rng.random_range(0.0..gap));
            let good = rng.random_bool(0.9);
            calls.push_back((age, good));
            burn.record(start + age, "catalogue", "kovar", FAST, good);
            if !rng.random_bool(0.005) {
                continue;
            }
            let age = age + Duration::from_secs(rng.random_range(0..10_000));
            let counts = burn.report(start + age).services["catalogue"].all;
            for (window, bucket) in Window::ALL.into_iter().zip([30, 300, 300, 3_600, 3_600]) {
                let bucket = Duration::from_secs(bucket);
                let exact = |length| calls.iter().filter(|(at, _)| age - *at < length).count() as u64;
                let total = counts.get(window).total;
                let range = exact(window.length())..=exact(window.length() + bucket);
                assert!(range.contains(&total), "seed {seed}, {window}: {total} is not in {range:?}");
            }
        }
    }
}

/// Guards against alerts that do not fire, that fire for a short fault, or that continue after it has ended.
#[test]
fn alerts_follow_both_windows() {
    let start = Instant::now();
    let mut burn = counter(start);
    let quiet = record(&mut burn, start, Duration::from_secs(6 * 3_600), "kovar", 200);
    assert_eq!(alerts(&burn.report(quiet)), [], "half the permitted error rate");
    let short = record(&mut burn, quiet, Duration::from_secs(120), "kovar", 1);
    assert!(!alerts(&burn.report(short)).contains(&Alert::FastBurn), "two bad minutes are 3.3% of an hour");
    let long = record(&mut burn, short, Duration::from_secs(1_200), "kovar", 2);
    assert!(alerts(&burn.report(long)).contains(&Alert::FastBurn));
    let after = record(&mut burn, long, Duration::from_secs(400), "kovar", 1_000);
    assert!(!alerts(&burn.report(after)).contains(&Alert::FastBurn), "the last five minutes are good");
    let ticket = record(&mut burn, after, Duration::from_secs(24 * 3_600), "kovar", 50);
    assert_eq!(alerts(&burn.report(ticket)), [Alert::SlowBurn], "twice the permitted error rate");
    let summary = burn.report(ticket).summary();
    assert!(summary.services[0].budget_left < 0.0);
    let later = burn.report(ticket + Duration::from_secs(4 * 24 * 3_600));
    assert_eq!(later.services["catalogue"].all.get(Window::ThreeDays).total, 0);
    assert_eq!(later.summary().services[0].budget_left, 1.0);
}

/// Guards against rates that depend on how calls are distributed over instances, and against listing customers
/// whose error budget is not burning.
#[test]
fn merged_reports_equal_one_counter() {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let mut whole = counter(start);
    let mut parts = [counter(start), counter(start), counter(start)];
    for second in 0..20_000 {
        let now = start + Duration::from_secs(second);
        let customer = ["kovar", "telon", "quiet"][rng.random_range(0..3)];
        let good = customer == "quiet" || rng.random_bool(0.97);
        whole.record(now, "catalogue", customer, FAST, good);
        parts[rng.random_range(0..3)].record(now, "catalogue", customer, FAST, good);
    }
    let now = start + Duration::from_secs(20_000);
    let mut merged = BurnReport::default();
    parts.iter().for_each(|part| merged.merge(&part.report(now)));
    assert_eq!(merged, whole.report(now));

    let bytes = postcard::to_stdvec(&merged).unwrap();
    assert_eq!(postcard::from_bytes::<BurnReport>(&bytes).unwrap(), merged);
    let summary = merged.summary();
    let json = serde_json::to_string(&summary).unwrap();
    assert_eq!(serde_json::from_str::<BurnSummary>(&json).unwrap().services.len(), 1);
    let names: Vec<_> = summary.services[0].customers.iter().map(|customer| &*customer.customer).collect();
    assert_eq!(names.len(), 2);
    assert!(!names.contains(&"quiet"));

    let table = summary.to_string();
    println!("{table}");
    let columns: Vec<_> = table.lines().map(|line| line.chars().count()).collect();
    assert_eq!(table.lines().count(), 4, "a heading, the service and two customers");
    assert!(columns.iter().all(|length| *length > 100), "rows are of fixed width: {columns:?}");
}

/// Guards against memory that grows with the number of customer names that callers send.
#[test]
fn customer_names_are_bounded() {
    let start = Instant::now();
    let mut burn = counter(start);
    for customer in 0..2 * MAX_CUSTOMERS {
        burn.record(start, "catalogue", &format!("c{customer}"), FAST, true);
        burn.record(start, &format!("unknown{customer}"), "kovar", FAST, true);
    }
    burn.record(start, "catalogue", "kovar", FAST, true);
    let report = burn.report(start);
    assert_eq!(report.services.len(), 1, "only configured services are counted");
    let customers = &report.services["catalogue"].customers;
    assert_eq!(customers.len(), MAX_CUSTOMERS + 2);
    assert!(customers.contains_key("kovar"), "the customer is configured");
    assert_eq!(customers[OTHER_CUSTOMERS].get(Window::OneHour).total, MAX_CUSTOMERS as u64);
}
