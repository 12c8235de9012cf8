//! Health estimates with stragglers, failures, load reports and slow start.

use {
    hemlockford_core::{
        dispatch::{AttemptResult, LoadReport, NOMINAL_PACE},
        health::{Eligibility, HealthMonitor, HealthOptions},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

const SERVERS: usize = 20;
const TYPICAL_LATENCY: Duration = Duration::from_millis(20);
/// Interval between the calls of one entry, with a sixth of 85% of the capacity of 20 servers with 2 slots
/// and 20 ms.
const INTERVAL: Duration = Duration::from_micros(3_500);

fn name(server: usize) -> String {
    format!("s{server}")
}

/// Returns a service with `count` servers whose slow start is over.
fn service(count: usize) -> (HealthMonitor, Instant) {
    let start = Instant::now();
    let mut health = HealthMonitor::new(HealthOptions::default());
    for server in 0..count {
        health.add_server(start, &name(server), start);
        health.update_server(start, &name(server), "", 2);
    }
    (health, start + Duration::from_secs(60))
}

fn answer(health: &mut HealthMonitor, now: Instant, server: usize, latency: Duration) {
    health.observe(now, &name(server), AttemptResult::Complete, latency, None);
}

fn fail(health: &mut HealthMonitor, now: Instant, server: usize) {
    health.observe(now, &name(server), AttemptResult::ServerError, Duration::from_micros(200), None);
}

/// Fault of server 0 in [`run`].
#[derive(Clone, Copy)]
enum Fault {
    None,
    Straggler,
    FailFast,
}

/// Result of a run: calls sent to server 0, all calls, and total time for which healthy servers were ejected.
struct Run {
    calls_to_faulty: usize,
    calls: usize,
    healthy_ejected_time: Duration,
}

/// Sends calls for `length`, each to the better of two eligible servers, with exponentially distributed
/// service times.
fn run(seed: u64, fault: Fault, length: Duration) -> Run {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut health, start) = service(SERVERS);
    let mut running: Vec<(Instant, usize, Duration)> = Vec::new();
    let mut result = Run { calls_to_faulty: 0, calls: 0, healthy_ejected_time: Duration::ZERO };
    let mut now = start;
    while now < start + length {
        now += INTERVAL;
        for (at, server, latency) in running.extract_if(.., |(at, ..)| *at <= now) {
            match (server, fault) {
                (0, Fault::FailFast) => fail(&mut health, at, server),
                _ => answer(&mut health, at, server, latency),
            }
        }
        let eligibilities: Vec<_> = (0..SERVERS).map(|server| health.eligibility(now, &name(server))).collect();
        let is_ejected = |eligibility: &&Eligibility| matches!(eligibility, Eligibility::Ejected | Eligibility::Trial);
        result.healthy_ejected_time += INTERVAL * eligibilities[1..].iter().filter(is_ejected).count() as u32;
        let chosen =
            eligibilities.iter().position(|eligibility| *eligibility == Eligibility::Trial).unwrap_or_else(|| {
                let usable: Vec<_> =
                    (0..SERVERS).filter(|server| eligibilities[*server] != Eligibility::Ejected).collect();
                let [a, b] = [(); 2].map(|()| usable[rng.random_range(0..usable.len())]);
                if health.score(now, &name(a)) <= health.score(now, &name(b)) { a } else { b }
            });
        health.begin_trial(now, &name(chosen));
        let slow = match (chosen, fault) {
            (0, Fault::Straggler) => 10.0,
            (0, Fault::FailFast) => 0.01,
            _ => 1.0,
        };
        let latency = TYPICAL_LATENCY.mul_f64(-slow * (1.0 - rng.random::<f64>()).ln());
        running.push((now + latency, chosen, latency));
        result.calls += 1;
        result.calls_to_faulty += usize::from(chosen == 0);
    }
    result
}

/// Guards against a straggler or a fail-fast server that attracts load. Its equal share would be 1 in 20
/// calls. The target for the tail is about 1 in 100 calls, so fewer than that may go to it.
#[test]
fn bad_servers_are_avoided() {
    for (fault, label) in [(Fault::Straggler, "straggler"), (Fault::FailFast, "fail-fast server")] {
        let runs: Vec<_> = (0..20).map(|seed| run(seed, fault, Duration::from_secs(20))).collect();
        let worst = runs.iter().map(|run| run.calls_to_faulty).max().unwrap();
        println!("{label}: at most {worst} of {} calls in 20 s, seeds 0 to 19", runs[0].calls);
        assert!(worst * 100 < runs[0].calls, "{label} got {worst} of {} calls", runs[0].calls);
    }
}

/// Guards against ejections because of the normal variation of service times, which would cost capacity.
#[test]
fn healthy_servers_are_not_ejected() {
    let length = Duration::from_secs(60);
    let ejected_time: Duration = (0..10).map(|seed| run(seed, Fault::None, length).healthy_ejected_time).sum();
    let share = ejected_time.as_secs_f64() / (length.as_secs_f64() * 10.0 * (SERVERS - 1) as f64);
    println!("healthy servers were ejected for {:.3}% of their time, seeds 0 to 9", share * 100.0);
    assert!(share < 0.01);
}

/// Guards against a straggler that is detected late, stays ejected for ever or is reinstated without trials.
#[test]
fn straggler_is_ejected_and_reinstated() {
    let (mut health, mut now) = service(6);
    for server in (0..6).cycle().take(60) {
        now += Duration::from_millis(5);
        answer(&mut health, now, server, TYPICAL_LATENCY);
    }
    answer(&mut health, now, 0, TYPICAL_LATENCY * 10);
    answer(&mut health, now, 0, TYPICAL_LATENCY * 10);
    assert_eq!(health.eligibility(now, "s0"), Eligibility::Ejected, "two slow answers suffice");
    let mut lengths = Vec::new();
    for _ in 0..6 {
        let ejected = now;
        while health.eligibility(now, "s0") == Eligibility::Ejected {
            now += Duration::from_millis(100);
        }
        lengths.push((now - ejected).as_secs());
        health.begin_trial(now, "s0");
        assert_eq!(health.eligibility(now, "s0"), Eligibility::Ejected, "only one trial call at a time");
        answer(&mut health, now, 0, TYPICAL_LATENCY * 10);
    }
    assert_eq!(lengths, [2, 4, 8, 16, 30, 30], "each ejection is twice as long, up to 30 s");
    now += Duration::from_secs(30);
    for trial in 0..3 {
        assert_eq!(health.eligibility(now, "s0"), Eligibility::Trial);
        // The first trial is not recorded as started; its answer counts nevertheless.
        if trial > 0 {
            health.begin_trial(now, "s0");
        }
        answer(&mut health, now, 0, TYPICAL_LATENCY);
    }
    assert!(matches!(health.eligibility(now, "s0"), Eligibility::WarmingUp { .. }), "reinstated with slow start");
}

/// Guards against ejections that leave too few servers, also if demand rises later.
#[test]
fn enough_servers_stay_in_use() {
    let (mut health, now) = service(9);
    let ejected = |health: &mut HealthMonitor| {
        (0..9).filter(|server| health.eligibility(now, &name(*server)) == Eligibility::Ejected).count()
    };
    for server in (0..9).cycle().take(90) {
        if server < 5 { fail(&mut health, now, server) } else { answer(&mut health, now, server, TYPICAL_LATENCY) }
    }
    assert_eq!(ejected(&mut health), 3, "at most a third is ejected");
    health.set_demand(now, 14);
    assert_eq!(ejected(&mut health), 2, "14 calls need 7 servers with 2 slots");
    for server in 5..9 {
        health.remove_server(&name(server));
    }
    assert_eq!(ejected(&mut health), 0, "5 servers have too few slots");
    health.set_demand(now, 0);
    (0..50).for_each(|call| fail(&mut health, now, call % 5));
    assert_eq!(ejected(&mut health), 0, "all fail equally, so none is worse than the others");
}

/// Guards against a wrong or outdated report that outweighs the entry's own observations.
#[test]
fn own_answers_outweigh_reports() {
    let (mut health, now) = service(3);
    let idle = Some(LoadReport { in_flight: 0, slots: 2, pace: NOMINAL_PACE });
    let full = Some(LoadReport { in_flight: 1_000, slots: 2, pace: NOMINAL_PACE });
    for _ in 0..8 {
        health.observe(now, "s0", AttemptResult::Complete, TYPICAL_LATENCY * 2, idle);
        health.observe(now, "s1", AttemptResult::Complete, TYPICAL_LATENCY, full);
        answer(&mut health, now, 2, TYPICAL_LATENCY);
    }
    assert!(health.score(now, "s1") < health.score(now, "s0"), "s1 answers faster, whatever both report");
    assert!(health.score(now, "s2") < health.score(now, "s1"), "the reports decide between equal servers");
    let later = now + Duration::from_secs(5);
    assert!(health.score(later, "s1") < health.score(later, "s2") * 1.05, "a report soon loses its weight");
    let [before, after] = [now, now + Duration::from_secs(60)].map(|at| health.score(at, "s0"));
    assert!(after < before, "old evidence loses weight against the typical latency");
}

/// Guards against failures that are not counted, and against counting callers that disconnect.
#[test]
fn results_count_against_the_server() {
    use AttemptResult::{BrokenAfterWrite, CallerLeft, RefusedBeforeWrite, ServerError, Shed, Timeout};
    for result in [ServerError, Shed, RefusedBeforeWrite, BrokenAfterWrite, Timeout, CallerLeft] {
        let (mut health, now) = service(2);
        answer(&mut health, now, 0, TYPICAL_LATENCY);
        answer(&mut health, now, 1, TYPICAL_LATENCY);
        health.observe(now, "s0", result, TYPICAL_LATENCY / 10, None);
        let is_worse = health.score(now, "s0") > health.score(now, "s1") * 1.5;
        assert_eq!(is_worse, result != CallerLeft, "{result}");
    }
}

/// Guards against a cold server that gets its full load immediately.
#[test]
fn new_servers_warm_up() {
    let (mut health, now) = service(2);
    health.add_server(now, "new", now);
    let mut last = 0.0;
    for seconds in 0..4 {
        let eligibility = health.eligibility(now + Duration::from_secs(seconds), "new");
        let Eligibility::WarmingUp { share } = eligibility else { panic!("{eligibility:?} after {seconds} s") };
        assert!(share > last && share < 1.0);
        last = share;
    }
    let later = now + Duration::from_secs(4);
    assert_eq!(health.eligibility(later, "new"), Eligibility::Usable);
    health.add_server(later, "new", now);
    assert_eq!(health.eligibility(later, "new"), Eligibility::Usable, "the same start was added before");
    health.add_server(later, "new", later);
    assert!(matches!(health.eligibility(later, "new"), Eligibility::WarmingUp { .. }), "the server has restarted");
}

/// Guards against choosing a remote server without need, and against keeping a local one that is slower.
#[test]
fn near_servers_are_preferred_while_not_slower() {
    let (mut health, now) = service(2);
    health.update_server(now, "s1", "elsewhere", 2);
    assert!(health.score(now, "s0") < health.score(now, "s1"), "only the distance is known");
    let way = Duration::from_millis(1);
    for _ in 0..8 {
        answer(&mut health, now, 0, TYPICAL_LATENCY);
        answer(&mut health, now, 1, TYPICAL_LATENCY + way);
    }
    assert!(health.score(now, "s0") < health.score(now, "s1"), "both are equally fast");
    (0..8).for_each(|_| answer(&mut health, now, 0, TYPICAL_LATENCY * 2));
    assert!(health.score(now, "s1") < health.score(now, "s0"), "the local server is slower");
}
