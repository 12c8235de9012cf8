//! A replica is frozen while an order to end an evacuation waits in its socket. Another replica acknowledges that order, and
//! then the next one, to evacuate the zone again. What does the frozen replica do with the copy when it wakes?

use crate::{
    harness::{call, get, post, signature, trouble, Backend, Fleet, Message, Record, Wire, SIGCONT, SIGSTOP},
    Outcome,
};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// `evacuate_s`.
const EVACUATE: Duration = Duration::from_secs(5);
/// `max_stretch_s`, by which an unstable core stretches the bound.
const STRETCH: Duration = Duration::from_secs(5);
const FREEZE: Duration = Duration::from_secs(4);
/// The order of events in the replica that wakes up is not the same each time, so that there are up to five rounds.
const ROUNDS: usize = 5;
/// Time between a wake-up and the next round, longer than `sync_s`, after which the replica no longer counts as lost.
const BETWEEN: Duration = Duration::from_secs(5);
/// Zones that are evacuated.
const EVACUATED: [&str; 1] = ["brno-a"];

/// When requests reached the backends of these zones.
type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

fn answer(backend: &Backend, request: &Message, wire: &mut Wire, runs: &Runs) -> bool {
    let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
    if EVACUATED.contains(&&*backend.zone) {
        runs.lock().unwrap().push((Instant::now(), attempt.clone()));
    }
    thread::sleep(Duration::from_millis(5));
    let stamp = signature(backend, &attempt, 200);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {stamp}\r\nBackend-Load: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok",
        backend.load()
    );
    wire.send(head.as_bytes())
}

/// Gives an order for each zone at once. Each is sent to the replicas one after the other, until it is acknowledged; one
/// that does not answer within a second is left. Returns whether all were acknowledged.
fn order(fleet: &Fleet, record: &Record, verb: &str, replicas: &[usize]) -> bool {
    let give = |zone: &str| {
        let path = format!("/v1/Evacuation.{verb}/{zone}");
        replicas.iter().any(|index| {
            let status = post(fleet.control(*index), &path, "", Duration::from_secs(1)).map(|answer| answer.status());
            record.line(format!("operator: POST {path} to {}: {status:?}", fleet.replicas[*index].name));
            status == Some(200)
        })
    };
    thread::scope(|scope| {
        let orders: Vec<_> = EVACUATED.iter().map(|zone| scope.spawn(|| give(zone))).collect();
        orders.into_iter().all(|order| order.join().unwrap_or(false))
    })
}

pub fn run(record: &Record) -> Outcome {
    let fleet = Fleet::start(record, 3, 1, &[]);
    let body = crate::harness::config(1, &["katalog"], &[("lookup", "/lookup/", "safe", "katalog", 1.2)]);
    if !fleet.order("/v1/Config.Replace", &body, Duration::from_secs(15)) {
        return Err("the configuration was not acknowledged".into());
    }
    let runs = Runs::default();
    let _backends: Vec<_> = (0..6)
        .map(|index| {
            let runs = runs.clone();
            let handler = move |backend: &Backend, request: &Message, wire: &mut Wire| answer(backend, request, wire, &runs);
            let zone = crate::harness::ZONES[index % 3];
            Backend::start(&fleet, 100 + index, &format!("i-{index}"), "katalog", zone, Arc::new(handler))
        })
        .collect();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entry did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    // Steady requests until the end.
    let (stop, front, log) = (Arc::new(AtomicBool::new(false)), fleet.front(0), record.clone());
    let stopped = stop.clone();
    let client = thread::spawn(move || {
        for number in 0.. {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let request = format!("GET /lookup/a{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a{number}\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n");
            let status = call(front, request.as_bytes(), Duration::from_secs(2)).map_or(0, |answer| answer.status());
            if status != 200 {
                log.line(format!("client: a{number} got {status}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    });
    let leads = |index: usize| {
        get(fleet.control(index), "/status", Duration::from_secs(1))
            .is_some_and(|answer| String::from_utf8_lossy(&answer.body).contains("\"leading\":true"))
    };
    let Some(leader) = (0..3).find(|index| leads(*index)) else { return Err("no replica leads".into()) };
    let (frozen, other) = ((leader + 1) % 3, (leader + 2) % 3);
    record.line(format!("{} leads", fleet.replicas[leader].name));
    if !order(&fleet, record, "Start", &[other]) {
        return Err("the evacuation was not acknowledged".into());
    }
    let mut evacuated_at = Instant::now();
    for round in 1..=ROUNDS {
        thread::sleep(Duration::from_secs(1));
        let froze_at = Instant::now();
        if trouble() {
            fleet.replicas[frozen].signal(SIGSTOP);
            record.line(format!("round {round}: {} freezes", fleet.replicas[frozen].name));
        }
        // The operator sends the orders to one replica, and after a second without an answer to the next one.
        if !order(&fleet, record, "End", &[frozen, other]) {
            return Err("the end was not acknowledged".into());
        }
        thread::sleep(Duration::from_secs(1));
        if !order(&fleet, record, "Start", &[other]) {
            return Err("the second evacuation was not acknowledged".into());
        }
        evacuated_at = Instant::now();
        record.line("the zones are to be evacuated, and no further order is on its way from the operator");
        if trouble() {
            thread::sleep(FREEZE.saturating_sub(froze_at.elapsed()));
            fleet.replicas[frozen].signal(SIGCONT);
            record.line(format!("{} wakes", fleet.replicas[frozen].name));
        }
        thread::sleep(Duration::from_millis(1_500));
        let status = get(fleet.control(other), "/status", Duration::from_secs(1)).unwrap_or_default();
        let status = String::from_utf8_lossy(&status.body).into_owned();
        record.line(format!("status of {}: {status}", fleet.replicas[other].name));
        if EVACUATED.iter().any(|zone| !status.contains(zone)) {
            break;
        }
        if round < ROUNDS {
            thread::sleep(BETWEEN);
        }
    }
    thread::sleep((EVACUATE + STRETCH + Duration::from_secs(4)).saturating_sub(evacuated_at.elapsed()));
    for index in 0..3 {
        let status = get(fleet.control(index), "/status", Duration::from_secs(1));
        record.line(format!("status of {}: {}", fleet.replicas[index].name, String::from_utf8_lossy(&status.unwrap_or_default().body)));
    }
    stop.store(true, Ordering::Relaxed);
    let _ = client.join();
    for name in ["core-1", "core-2", "core-3"] {
        for line in fleet.log(name).lines().filter(|line| line.contains("evacuat")) {
            record.line(format!("log of {name}: {line}"));
        }
    }
    let from = evacuated_at + EVACUATE + STRETCH;
    let late = runs.lock().unwrap().iter().filter(|(at, _)| *at > from).count();
    record.line(format!("{late} requests reached backends of these zones later than evacuate_s and max_stretch_s after the acknowledgement"));
    Ok(late > 0)
}
