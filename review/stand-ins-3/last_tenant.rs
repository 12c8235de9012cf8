//! The operator takes away the last tenant. Do requests with its key, with a key that never was, and without a key still
//! run?

use crate::{
    harness::{call, signature, trouble, Backend, Fleet, Message, Record, Wire},
    Outcome,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// `config_apply_s`, and half a second.
const IN_FORCE: Duration = Duration::from_millis(2_500);
const ROUNDS: usize = 10;

/// Requests that ran: id, key and tenant as the backend received them.
type Runs = Arc<Mutex<Vec<(String, Option<String>, Option<String>)>>>;

fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":{{\"columns\":[\"name\",\"hostname\",\"path_prefix\",\"route_type\",\"timeout_s\",\"target_latency_s\",\"priority\",\"traffic_split\",\"max_attempts\",\"allow_anonymous\",\"service\"],\"rows\":[[\"plan\",\"shop.example\",\"/plan/\",\"safe\",12,1.2,1,null,2,false,\"bookings\"],[\"pay\",\"shop.example\",\"/pay/\",\"unsafe\",15,1.5,1,null,2,false,\"bookings\"]]}},\"services\":{{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\"],\"rows\":[[\"bookings\",\"/health\",1100,\"h1\",false]]}},\"tenants\":{{\"columns\":[\"name\",\"api_keys\",\"priority\",\"rate_per_s\",\"burst\"],\"rows\":[{tenants}]}},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
    )
}

fn answer(backend: &Backend, request: &Message, wire: &mut Wire, runs: &Runs) -> bool {
    let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
    let header = |name: &str| request.header(name).map(str::to_owned);
    runs.lock().unwrap().push((attempt.clone(), header("credential"), header("tenant")));
    let stamp = signature(backend, &attempt, 200);
    let body = format!("{attempt} of the tenant {:?}", request.header("tenant"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {stamp}\r\nBackend-Load: {}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
        backend.load(),
        body.len()
    );
    wire.send((head + &body).as_bytes())
}

fn send(front: SocketAddr, record: &Record, attempt: &str, path: &str, key: Option<&str>) -> u16 {
    let (method, body) = if path == "/pay/" { ("POST", "Content-Length: 4\r\n\r\nbook") } else { ("GET", "\r\n") };
    let credential = key.map(|key| format!("Credential: {key}\r\n")).unwrap_or_default();
    let request = format!("{method} {path}{attempt} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 2000\r\nConnection: close\r\n{credential}{body}");
    let status = call(front, request.as_bytes(), Duration::from_secs(3)).map_or(0, |answer| answer.status());
    record.line(format!("client: {method} {path}{attempt} with the key {key:?} got {status}"));
    status
}

pub fn run(record: &Record) -> Outcome {
    let fleet = Fleet::start(record, 3, 2, &[("quota_window_s", "5"), ("quota_overage", "0.1"), ("quota_slack", "20")]);
    if !fleet.order("/v1/Config.Replace", &config(1, "[\"school\",[\"key-held\"],null,null,null]"), Duration::from_secs(15)) {
        return Err("the first configuration was not acknowledged".into());
    }
    let runs = Runs::default();
    let _backends: Vec<_> = (0..3)
        .map(|index| {
            let runs = runs.clone();
            let handler = move |backend: &Backend, request: &Message, wire: &mut Wire| answer(backend, request, wire, &runs);
            Backend::start(&fleet, 100 + index, &format!("i-{index}"), "bookings", "brno-a", Arc::new(handler))
        })
        .collect();
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err("the entries did not become ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    for index in 0..fleet.entries.len() {
        let held = send(fleet.front(index), record, &format!("before-{index}-held"), "/plan/", Some("key-held"));
        let other = send(fleet.front(index), record, &format!("before-{index}-other"), "/plan/", Some("key-never"));
        if (held, other) != (200, 401) {
            return Err(format!("before the change: {held} with the tenant's key, {other} with another"));
        }
    }
    if trouble() {
        record.line("the operator sends version 2, in which `tenants` has no row any more");
        if !fleet.order("/v1/Config.Replace", &config(2, ""), Duration::from_secs(10)) {
            record.line("version 2 was not acknowledged");
            return Ok(false);
        }
    }
    thread::sleep(IN_FORCE);
    let after = runs.lock().unwrap().len();
    for round in 0..ROUNDS {
        for index in 0..fleet.entries.len() {
            let front = fleet.front(index);
            if trouble() {
                send(front, record, &format!("r{round}-{index}-dropped"), "/plan/", Some("key-held"));
                send(front, record, &format!("r{round}-{index}-dropped-pay"), "/pay/", Some("key-held"));
            }
            send(front, record, &format!("r{round}-{index}-never"), "/plan/", Some("key-never"));
            send(front, record, &format!("r{round}-{index}-none"), "/plan/", None);
        }
    }
    if let Some(read) = crate::harness::get(fleet.control(0), "/v1/Config.Read", Duration::from_secs(2)) {
        record.line(format!("operator: Config.Read: {} {}", read.status(), String::from_utf8_lossy(&read.body)));
    }
    let runs = runs.lock().unwrap();
    let mut broken = 0;
    for (attempt, key, tenant) in &runs[after..] {
        // Requests without a key are recorded, and not judged.
        let rule = match attempt {
            attempt if attempt.ends_with("never") => "ROUTE: a key that no configuration ever held",
            attempt if attempt.contains("dropped") => "CONFIG: a dropped key, later than config_apply_s",
            _ => {
                record.line(format!("{attempt}, without a key, ran"));
                continue;
            }
        };
        broken += 1;
        record.line(format!("BROKEN: {rule}: {attempt} ran; the backend received the key {key:?} and the tenant {tenant:?}"));
    }
    Ok(broken > 0)
}
