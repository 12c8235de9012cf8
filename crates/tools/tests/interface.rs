//! Tests of stand-in servers that imitate the interface of a platform.

use {
    hemlockford_tools::{EmulateOptions, Emulation, ServiceTime, emulate::ServerInterface},
    slog::{Discard, Logger, o},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout of an exchange, much longer than any exchange takes.
const TIMEOUT: Duration = Duration::from_secs(10);

fn start(service_time: Duration, interface: ServerInterface) -> (Emulation, SocketAddr) {
    let service_time = ServiceTime::Constant(service_time);
    let options =
        EmulateOptions { servers: 1, slots: 1, service_time, answer_bytes: 5, interface, ..EmulateOptions::default() };
    let emulation = Emulation::start(options, Logger::root(Discard, o!())).expect("the servers start");
    let address = emulation.addresses().servers[0].address;
    (emulation, address)
}

fn header_name(name: &str) -> Option<actix_http::header::HeaderName> {
    Some(name.parse().expect("a header name"))
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream
}

fn send(mut stream: &TcpStream, path: &str, headers: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
}

/// Sends a request on a new connection and returns the answer.
fn exchange(address: SocketAddr, path: &str, headers: &str) -> String {
    let stream = connect(address);
    send(&stream, path, &format!("connection: close\r\n{headers}"));
    read(&stream)
}

/// Reads until the server closes the connection.
fn read(mut stream: &TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

fn count(emulation: &Emulation, name: &str) -> u64 {
    emulation.executions()["servers"][0][name].as_u64().expect("a count")
}

/// Guards against stand-in servers with which a misdirected request or a swapped answer would go unnoticed.
#[test]
fn request_id_and_expected_server_are_checked() {
    let interface = ServerInterface {
        request_id_header: header_name("x-id"),
        expected_server_header: header_name("x-for"),
        ..ServerInterface::default()
    };
    let (emulation, address) = start(Duration::ZERO, interface);
    let answer = exchange(address, "/a", "x-id: 7-a\r\nx-for: catalogue-0\r\n");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("x-id: 7-a\r\n"), "{answer}");
    let answer = exchange(address, "/a", "x-id: 8\r\nx-for: catalogue-1\r\n");
    assert!(answer.starts_with("HTTP/1.1 421") && answer.contains("x-id: 8\r\n"), "{answer}");
    assert_eq!(
        [count(&emulation, "arrived"), count(&emulation, "started"), count(&emulation, "misdirected")],
        [2, 1, 1]
    );
}

/// Guards against an unlimited queue, rejections that are not marked, and incorrect load reports or health checks.
#[test]
fn load_is_reported_and_limited() {
    let interface = ServerInterface {
        not_run_header: header_name("x-not-run"),
        load_header: header_name("x-load"),
        queue_limit: Some(1),
        health_path: Some("/health".into()),
        ..ServerInterface::default()
    };
    let (emulation, address) = start(Duration::from_secs(60), interface);
    let wait = |in_flight| {
        let end = Instant::now() + TIMEOUT;
        while count(&emulation, "in_flight") != in_flight {
            assert!(Instant::now() < end, "{}", emulation.executions());
            thread::sleep(Duration::from_millis(5));
        }
    };
    let answer = exchange(address, "/health", "");
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("x-load: 0,0,1,100\r\n"), "{answer}");
    let held: Vec<_> = (1..=2)
        .map(|number| {
            let stream = connect(address);
            send(&stream, "/held", "");
            wait(number);
            stream
        })
        .collect();
    let answer = exchange(address, "/more", "");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("x-not-run: 1\r\n"), "{answer}");
    let answer = exchange(address, "/health", "");
    assert!(answer.contains("x-load: 1,1,1,100\r\n"), "{answer}");
    assert_eq!(count(&emulation, "started"), 1, "waiting and rejected calls must not be executed");
    drop(held);
    wait(0);
}

/// Guards against service times that do not depend on the reported pace.
#[test]
fn service_time_follows_the_pace() {
    let (load_header, health_path) = (header_name("x-load"), Some("/health".into()));
    let interface = ServerInterface { load_header, varies_pace: true, health_path, ..ServerInterface::default() };
    let (_emulation, address) = start(Duration::from_millis(20), interface);
    let is_slow = || exchange(address, "/health", "").contains(",400\r\n");
    let (mut seen_nominal, mut seen_slow) = (false, false);
    let end = Instant::now() + Duration::from_secs(30);
    while !(seen_nominal && seen_slow) {
        assert!(Instant::now() < end, "seen nominal pace: {seen_nominal}, slow pace: {seen_slow}");
        let was_slow = is_slow();
        let start = Instant::now();
        exchange(address, "/a", "");
        let elapsed = start.elapsed();
        if was_slow && is_slow() {
            assert!(elapsed >= Duration::from_millis(60), "the call took only {elapsed:?} at the slow pace");
        }
        seen_nominal |= !was_slow;
        seen_slow |= was_slow;
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against idle connections that stay open beyond the announced time, and against duplicate or close-delimited
/// answers that are never sent, which would leave their handling by entries untested.
#[test]
fn idle_timeout_and_answer_faults_take_effect() {
    let idle_timeout = Some(Duration::from_secs(1));
    let interface = ServerInterface {
        request_id_header: header_name("x-id"),
        idle_timeout,
        duplicate_answer_share: 1.0,
        ..ServerInterface::default()
    };
    let (_emulation, address) = start(Duration::ZERO, interface);
    let stream = connect(address);
    send(&stream, "/a", "x-id: 1\r\n");
    let mut first = [0; 1];
    stream.peek(&mut first).expect("the first answer");
    send(&stream, "/a", "x-id: 2\r\n");
    let begin = Instant::now();
    let answers = read(&stream);
    assert!(begin.elapsed() >= Duration::from_millis(900), "the connection was closed before the announced time");
    let ids: Vec<_> = answers.lines().filter_map(|line| line.strip_prefix("x-id: ")).collect();
    assert_eq!(ids, ["1", "1", "2"], "{answers}");
    assert!(answers.contains("keep-alive: timeout=1\r\n"), "{answers}");

    let (_emulation, address) =
        start(Duration::ZERO, ServerInterface { close_delimited_share: 1.0, ..ServerInterface::default() });
    let stream = connect(address);
    send(&stream, "/a", "");
    let answer = read(&stream);
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(!head.contains("content-length") && !head.contains("transfer-encoding"), "{answer}");
    assert!(head.contains("connection: close") && body.len() == 5, "{answer}");
}
