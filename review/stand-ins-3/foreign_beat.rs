//! Another writer sends heartbeats under the ids of running backends, with a service that no configuration names. Are the
//! backends still used after a final fault?

use crate::{
    harness::{call, post, signature, trouble, Backend, Fleet, Message, Record, Wire},
    Outcome,
};
use std::{
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    thread,
    time::{Duration, Instant},
};

/// Time for which all processes are down; the site file has up to 1.3 s.
const DOWN: Duration = Duration::from_millis(900);
/// Time after the return of the processes at which the other writer sends its heartbeats.
const FOREIGN_AT: Duration = Duration::from_secs(5);
/// `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time for which requests count.
const MEASURED: Duration = Duration::from_secs(20);

fn answer(backend: &Backend, request: &Message, wire: &mut Wire) -> bool {
    let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
    thread::sleep(Duration::from_millis(10));
    let stamp = signature(backend, &attempt, 200);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {stamp}\r\nBackend-Load: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok",
        backend.load()
    );
    wire.send(head.as_bytes())
}

/// Sends requests of one kind until the end. Returns how many were served, and how many were sent.
fn client(kind: &str, front: SocketAddr, end: Instant, record: &Record) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    while Instant::now() < end {
        let attempt = format!("{kind}-{}-{sent}", front.ip());
        let request = match kind {
            "order" => format!("POST /order/{attempt} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 3\r\n\r\nkit"),
            _ => format!("GET /lookup/{attempt} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n"),
        };
        let answer = call(front, request.as_bytes(), Duration::from_secs(2));
        let status = answer.as_ref().map_or(0, Message::status);
        sent += 1;
        served += usize::from(status == 200);
        if sent % 20 == 1 {
            let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).trim().to_owned());
            record.line(format!("client: {attempt} got {status} {}", body.unwrap_or_default()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    (served, sent)
}

pub fn run(record: &Record) -> Outcome {
    let mut fleet = Fleet::start(record, 3, 2, &[]);
    let routes = [("lookup", "/lookup/", "safe", "katalog", 1.2), ("order", "/order/", "unsafe", "objednavky", 1.5)];
    if !fleet.order("/v1/Config.Replace", &crate::harness::config(1, &["katalog", "objednavky"], &routes), Duration::from_secs(15)) {
        return Err("the configuration was not acknowledged".into());
    }
    let backends: Vec<_> = (0..6)
        .map(|index| {
            let service = ["katalog", "objednavky"][index % 2];
            let zone = crate::harness::ZONES[index / 2];
            Backend::start(&fleet, 100 + index, &format!("i-{index}"), service, zone, Arc::new(answer))
        })
        .collect();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let before = measure(&fleet, record, Duration::from_secs(3))?;
    if !fleet.order("/v1/Config.Replace", &crate::harness::config(2, &["katalog", "objednavky"], &routes), Duration::from_secs(10)) {
        return Err("the second configuration was not acknowledged".into());
    }
    record.line("final fault: all processes are killed");
    fleet.replicas.iter_mut().chain(&mut fleet.entries).for_each(|process| process.kill());
    thread::sleep(DOWN);
    for index in 0..fleet.replicas.len() {
        fleet.settle(index);
        fleet.start_replica(index);
    }
    for index in 0..fleet.entries.len() {
        fleet.start_entry(index);
    }
    let back = Instant::now();
    thread::sleep(FOREIGN_AT);
    for backend in backends.iter().filter(|_| trouble()) {
        let body = backend.announcement("draining").replace(&format!("\"{}\"", backend.service), "\"pokladna9\"");
        let path = format!("/v1/Instances.Heartbeat/{}", backend.id);
        let status = fleet.controls().into_iter().find_map(|control| post(control, &path, &body, Duration::from_secs(1)));
        record.line(format!("another writer: {path} {body}: {:?}", status.map(|answer| answer.status())));
    }
    thread::sleep((RECOVERY + Duration::from_millis(200)).saturating_sub(back.elapsed()));
    record.line("recovery_s is over; the backends run, are healthy, and say in their own heartbeats that they are ready");
    let after = measure(&fleet, record, MEASURED)?;
    for backend in &backends {
        let beats = backend.acknowledged.load(Ordering::Relaxed);
        record.line(format!("{} of {}: {beats} of its own heartbeats were acknowledged", backend.id, backend.service));
    }
    record.line(format!("served: {} of {} before the final fault, {} of {} later than recovery_s after it", before.0, before.1, after.0, after.1));
    if 4 * before.0 < before.1 {
        return Err("less than a quarter was served before the final fault".into());
    }
    let is_broken = 4 * after.0 < after.1;
    if is_broken {
        record.line("BROKEN: less than a quarter of the requests is served");
    }
    Ok(is_broken)
}

/// Sends requests of both kinds to all entries for a time. Returns how many were served, and how many were sent.
fn measure(fleet: &Fleet, record: &Record, time: Duration) -> Result<(usize, usize), String> {
    let end = Instant::now() + time;
    let clients: Vec<_> = ["lookup", "order"]
        .into_iter()
        .flat_map(|kind| (0..fleet.entries.len()).map(move |entry| (kind, entry)))
        .map(|(kind, entry)| {
            let (front, record) = (fleet.front(entry), record.clone());
            thread::spawn(move || client(kind, front, end, &record))
        })
        .collect();
    let mut total = (0, 0);
    for client in clients {
        let (served, sent) = client.join().map_err(|_| "a client failed")?;
        total = (total.0 + served, total.1 + sent);
    }
    Ok(total)
}
