//! Another writer sends heartbeats under the ids of running backends, with a service that no configuration names. Are the
//! backends still used?

use crate::{
    harness::{call, post, signature, trouble, Backend, Fleet, Message, Record, Wire},
    Outcome,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

/// Time between the last of these heartbeats and the first request that counts.
const SETTLE: Duration = Duration::from_secs(5);
/// Time for which requests count.
const MEASURED: Duration = Duration::from_secs(30);

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
    let fleet = Fleet::start(record, 3, 2, &[]);
    let routes = [("lookup", "/lookup/", "safe", "katalog", 1.2), ("order", "/order/", "unsafe", "objednavky", 1.5)];
    if !fleet.order("/v1/Config.Replace", &crate::harness::config(1, &["katalog", "objednavky"], &routes), Duration::from_secs(15)) {
        return Err("the configuration was not acknowledged".into());
    }
    let counts: Arc<[AtomicUsize; 2]> = Arc::default();
    let backends: Vec<_> = (0..6)
        .map(|index| {
            let (service, counts) = (["katalog", "objednavky"][index % 2], counts.clone());
            let handler = move |backend: &Backend, request: &Message, wire: &mut Wire| {
                counts[index % 2].fetch_add(1, Ordering::Relaxed);
                answer(backend, request, wire)
            };
            let zone = crate::harness::ZONES[index / 2];
            Backend::start(&fleet, 100 + index, &format!("i-{index}"), service, zone, Arc::new(handler))
        })
        .collect();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    for backend in backends.iter().filter(|backend| trouble() && backend.service == "objednavky") {
        let body = backend.announcement("draining").replace("\"objednavky\"", "\"pokladna9\"");
        let status = post(fleet.control(0), &format!("/v1/Instances.Heartbeat/{}", backend.id), &body, Duration::from_secs(1));
        record.line(format!("another writer: {body}: {:?}", status.map(|answer| answer.status())));
    }
    thread::sleep(SETTLE);
    record.line("from here on requests count; the backends run, are healthy, and say in their own heartbeats that they are ready");
    let end = Instant::now() + MEASURED;
    let clients: Vec<_> = ["lookup", "order"]
        .into_iter()
        .flat_map(|kind| (0..fleet.entries.len()).map(move |entry| (kind, entry)))
        .map(|(kind, entry)| {
            let (front, record) = (fleet.front(entry), record.clone());
            (kind, thread::spawn(move || client(kind, front, end, &record)))
        })
        .collect();
    let mut totals = [(0, 0), (0, 0)];
    for (kind, client) in clients {
        let (served, sent) = client.join().map_err(|_| "a client failed")?;
        let total = &mut totals[usize::from(kind == "order")];
        *total = (total.0 + served, total.1 + sent);
    }
    let [lookup, order] = totals;
    for backend in &backends {
        let beats = backend.acknowledged.load(Ordering::Relaxed);
        record.line(format!("{} of {}: {beats} of its own heartbeats were acknowledged", backend.id, backend.service));
    }
    record.line(format!("served: {} of {} look-ups, {} of {} orders", lookup.0, lookup.1, order.0, order.1));
    if lookup.0 == 0 {
        return Err("no look-up was served".into());
    }
    let all = (lookup.0 + order.0) as f64 / (lookup.1 + order.1) as f64;
    let is_starved = (order.0 as f64 / order.1 as f64) < all / 4.0;
    if is_starved {
        record.line("BROKEN: orders are served less than a quarter as often as all requests");
    }
    Ok(is_starved)
}
