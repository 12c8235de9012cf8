//! A backend answers 500 with a body, the request is sent once more, and the answer of the second backend is lost. What
//! does the client get?

use crate::{
    harness::{config, signature, trouble, Backend, Fleet, Message, Record, Wire},
    Outcome,
};
use std::{
    collections::{hash_map::DefaultHasher, HashMap},
    hash::{Hash, Hasher},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const BACKENDS: usize = 5;
/// The largest dose of `answer_lost` in the site file: six in ten backends lose the answer of four in ten requests.
const LOSING: usize = 3;
const LOST_PERCENT: u64 = 40;
/// Requests in a hundred that a backend answers with a 500 of its own.
const OWN_ERRORS: u64 = 3;
const ERROR_BODY: usize = 3_000;
/// Time after the head at which the body of such an answer follows.
const BODY_DELAY: Duration = Duration::from_millis(60);
/// Time for which answers are lost, and requests are sent.
const LOSING_TIME: Duration = Duration::from_secs(4);
/// An answer of the kind that is looked for may be missing by chance, so that there are up to three such times.
const ROUNDS: usize = 3;
const CLIENTS: usize = 12;

fn draw(backend: &str, attempt: &str, salt: u8) -> u64 {
    let mut hasher = DefaultHasher::new();
    (backend, attempt, salt).hash(&mut hasher);
    hasher.finish() % 100
}

/// Bodies that backends gave to their answers, by signature.
type Sent = Arc<Mutex<HashMap<String, Vec<u8>>>>;

fn answer(backend: &Backend, request: &Message, wire: &mut Wire, sent: &Sent, is_losing: bool) -> bool {
    let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
    backend.record.line(format!("{} runs {attempt}", backend.id));
    thread::sleep(Duration::from_millis(10));
    let is_error = draw(&backend.id, &attempt, 1) < OWN_ERRORS;
    let (status, reason) = if is_error { (500, "Internal Server Error") } else { (200, "OK") };
    let length = if is_error { ERROR_BODY } else { 200 };
    let body: Vec<u8> = format!("{attempt} {status} ").bytes().cycle().take(length).collect();
    let stamp = signature(backend, &attempt, status);
    if trouble() && is_losing && !is_error && draw(&backend.id, &attempt, 2) < LOST_PERCENT {
        backend.record.line(format!("{}: the answer to {attempt} is lost, the connection is reset", backend.id));
        crate::harness::set_zero_linger(&wire.io);
        return false;
    }
    sent.lock().unwrap().insert(stamp.clone(), body.clone());
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {stamp}\r\nBackend-Load: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: {length}\r\n\r\n",
        backend.load()
    );
    if !wire.send(head.as_bytes()) {
        return false;
    }
    if is_error {
        thread::sleep(BODY_DELAY);
    }
    wire.send(&body)
}

pub fn run(record: &Record) -> Outcome {
    let fleet = Fleet::start(record, 3, 1, &[]);
    let sent: Sent = Arc::default();
    let body = config(1, &["katalog"], &[("lookup", "/lookup/", "safe", "katalog", 1.2)]);
    if !fleet.order("/v1/Config.Replace", &body, Duration::from_secs(15)) {
        return Err("the configuration was not acknowledged".into());
    }
    let _backends: Vec<_> = (0..BACKENDS)
        .map(|index| {
            let sent = sent.clone();
            let handler = move |backend: &Backend, request: &Message, wire: &mut Wire| {
                answer(backend, request, wire, &sent, index < LOSING)
            };
            Backend::start(&fleet, 100 + index, &format!("i-{index}"), "katalog", "brno-a", Arc::new(handler))
        })
        .collect();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entry did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let front = fleet.front(0);
    let (mut served, mut broken) = (0, 0);
    for round in 1..=ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (record, sent) = (record.clone(), sent.clone());
                thread::spawn(move || client_run(round, client, front, &record, &sent))
            })
            .collect();
        for client in clients {
            let (good, bad) = client.join().map_err(|_| "a client failed")?;
            served += good;
            broken += bad;
        }
        if broken > 0 {
            break;
        }
    }
    record.line(format!("{served} requests got a success; {broken} answers of a backend came without their whole body, and look complete"));
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(broken > 0)
}

fn client_run(
    round: usize,
    client: usize, front: std::net::SocketAddr, record: &Record, sent: &Sent) -> (usize, usize) {
    let (mut served, mut broken) = (0, 0);
    let end = Instant::now() + LOSING_TIME - Duration::from_millis(500);
    for number in 0.. {
        if Instant::now() >= end {
            record.line(format!("client {client}: {number} requests"));
            break;
        }
        let attempt = format!("a{round}{client:02}{number:04}");
        let request = format!("GET /lookup/{attempt} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1200\r\nConnection: close\r\n\r\n");
        let answer = crate::harness::call(front, request.as_bytes(), Duration::from_millis(1_500));
        let Some(answer) = answer else {
            record.line(format!("client: {attempt} got no answer"));
            continue;
        };
        let stamp = answer.header("response-signature").unwrap_or("none").to_owned();
        record.line(format!(
            "client: {attempt} got {}, signature {stamp}, {} bytes, {}",
            answer.status(),
            answer.body.len(),
            if answer.is_whole { "whole by its framing" } else { "cut off" }
        ));
        served += usize::from(answer.status() == 200);
        let given = sent.lock().unwrap().get(&stamp).cloned();
        if stamp != "none" && answer.is_whole && given.as_ref() != Some(&answer.body) {
            broken += 1;
            record.line(format!(
                "BROKEN: {attempt}: the backend's body has {} bytes, the client's complete answer {}",
                given.map_or(0, |body| body.len()),
                answer.body.len()
            ));
        }
        thread::sleep(Duration::from_millis(5));
    }
    (served, broken)
}
