//! Tests of the behaviour of stand-in servers.

use {
    hemlockford_core::{dispatch::ServerState, registry::Announcement},
    hemlockford_tools::{EmulateOptions, Emulation, ServiceTime},
    slog::{Discard, Logger, o},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::mpsc,
        thread,
        time::Duration,
    },
};

/// Timeout of an exchange, much longer than any exchange takes.
const TIMEOUT: Duration = Duration::from_secs(10);

fn start(options: EmulateOptions) -> Emulation {
    Emulation::start(options, Logger::root(Discard, o!())).expect("the servers start")
}

fn one_server() -> EmulateOptions {
    let service_time = ServiceTime::Constant(Duration::from_millis(1));
    EmulateOptions { servers: 1, slots: 1, service_time, ..EmulateOptions::default() }
}

/// Sends a request and returns the connection.
fn send(address: SocketAddr, method: &str, path: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let head = format!("{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{headers}\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream
}

fn exchange(address: SocketAddr, method: &str, path: &str) -> String {
    read(send(address, method, path, ""))
}

fn read(stream: TcpStream) -> String {
    String::from_utf8_lossy(&read_bytes(stream)).into()
}

fn read_bytes(mut stream: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    // Reading fails if the server closes the connection while it has unread bytes.
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Returns the bytes after the head.
fn body(answer: &[u8]) -> &[u8] {
    let end = answer.windows(4).position(|end| end == b"\r\n\r\n").expect("a head");
    &answer[end + 4..]
}

/// Applies a mode to all servers.
fn apply_mode(emulation: &Emulation, query: &str) {
    let answer = exchange(emulation.addresses().control, "POST", &format!("/control/all?{query}"));
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Waits until a counter of the first server reaches a value.
fn wait_for_count(emulation: &Emulation, count: &str, value: u32) {
    for _ in 0..1_000 {
        if emulation.executions()["servers"][0][count] == value {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("{count} did not become {value}: {}", emulation.executions());
}

/// Guards against stand-in servers that exceed their limits, which would hide the effects of overload, and that count
/// rejected calls as executed.
#[test]
fn limits_are_enforced() {
    let emulation = start(EmulateOptions { max_connections: 2, ..one_server() });
    let address = emulation.addresses().servers[0].address;
    apply_mode(&emulation, "mode=hung");
    apply_mode(&emulation, "mode=shed&bound=0");
    let held = send(address, "GET", "/held", "");
    wait_for_count(&emulation, "started", 1);
    let shed = exchange(address, "GET", "/shed");
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("hemlockford-shed: 1"), "{shed}");
    apply_mode(&emulation, "mode=normal");
    let late = read(send(address, "GET", "/late", "hemlockford-deadline: 20\r\n"));
    assert!(late.starts_with("HTTP/1.1 503") && late.contains("hemlockford-shed: 1"), "{late}");
    wait_for_count(&emulation, "connections", 1);
    let waiting = send(address, "GET", "/waiting", "");
    wait_for_count(&emulation, "connections", 2);
    assert_eq!(exchange(address, "GET", "/over"), "");
    drop(held);
    assert!(read(waiting).starts_with("HTTP/1.1 200"));
    let counts = emulation.executions();
    assert_eq!(counts["executions"]["total"], 2, "{counts}");
    assert_eq!(counts["servers"][0]["shed"], 2, "{counts}");
    assert_eq!(counts["servers"][0]["refused_connections"], 1, "{counts}");
}

/// Guards against modes without effect, with which other tests would prove nothing.
#[test]
fn modes_take_effect() {
    let emulation = start(one_server());
    let address = emulation.addresses().servers[0].address;
    let with_report = || read(send(address, "GET", "/a", "hemlockford-want-load: 1\r\n"));
    assert!(with_report().contains("hemlockford-load: 1/1"));
    assert!(
        !exchange(address, "GET", "/a").contains("hemlockford-load"),
        "the answer has a load report without a request for one"
    );
    apply_mode(&emulation, "mode=report&fixed=7");
    assert!(with_report().contains("hemlockford-load: 7/1"));
    apply_mode(&emulation, "mode=report");
    assert!(!with_report().contains("hemlockford-load"));
    apply_mode(&emulation, "mode=fail-fast");
    assert!(exchange(address, "GET", "/a").starts_with("HTTP/1.1 500"));
    apply_mode(&emulation, "mode=normal");
    apply_mode(&emulation, "mode=cut&body=length");
    let truncated = read_bytes(send(address, "GET", "/a", ""));
    assert!(String::from_utf8_lossy(&truncated).contains("content-length: 1000"));
    assert_eq!(body(&truncated).len(), 500);
    apply_mode(&emulation, "mode=cut&body=chunked");
    let truncated = read_bytes(send(address, "GET", "/a", ""));
    assert!(String::from_utf8_lossy(&truncated).contains("transfer-encoding: chunked"));
    assert!(body(&truncated).len() > 500 && !truncated.ends_with(b"0\r\n\r\n"));
    apply_mode(&emulation, "mode=crash");
    wait_for_count(&emulation, "connections", 0);
    let is_refused = || TcpStream::connect(address).is_err();
    assert!(
        (0..1_000).any(|_| is_refused() || {
            thread::sleep(Duration::from_millis(5));
            false
        }),
        "the server still accepts connections after a crash"
    );
    apply_mode(&emulation, "mode=restart");
    apply_mode(&emulation, "mode=normal");
    let is_accepted = || TcpStream::connect(address).is_ok();
    assert!(
        (0..1_000).any(|_| is_accepted() || {
            thread::sleep(Duration::from_millis(5));
            false
        }),
        "the server does not accept connections after a restart"
    );
    assert!(exchange(address, "GET", "/a").starts_with("HTTP/1.1 200"));
    let control = emulation.addresses().control;
    assert!(exchange(control, "POST", "/control/nosuch?mode=normal").starts_with("HTTP/1.1 404"));
    assert!(exchange(control, "POST", "/control/all?mode=nosuch").starts_with("HTTP/1.1 400"));
}

/// Guards against announcements that stop when an entry is unreachable, that repeat a sequence number, or that report a
/// leaving server late.
#[test]
fn announcements_go_to_a_reachable_entry() {
    let unreachable = TcpListener::bind("127.0.0.1:0").expect("a port");
    let entry = TcpListener::bind("127.0.0.1:0").expect("a port");
    let entries = [&unreachable, &entry].map(|listener| listener.local_addr().expect("an address")).into();
    drop(unreachable);
    let (tx, received) = mpsc::channel();
    thread::spawn(move || {
        for stream in entry.incoming() {
            let mut stream = stream.expect("a connection");
            let mut request = Vec::new();
            let mut buf = [0; 4_096];
            let announcement: Announcement = loop {
                let length = stream.read(&mut buf).expect("a request");
                assert!(length > 0, "the request ended early");
                request.extend_from_slice(&buf[..length]);
                let text = String::from_utf8_lossy(&request);
                let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
                if let Some(announcement) = body.and_then(|body| serde_json::from_str(&body).ok()) {
                    break announcement;
                }
            };
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").expect("answered");
            if tx.send(announcement).is_err() {
                return;
            }
        }
    });
    let emulation = start(EmulateOptions { entries, ..one_server() });
    let next = || received.recv_timeout(TIMEOUT).expect("an announcement");
    let first = next();
    assert_eq!((first.state, first.sequence, first.slots), (ServerState::Ready, 1, 1));
    assert_eq!(first.address, emulation.addresses().servers[0].address);
    apply_mode(&emulation, "mode=leaving");
    let leaving =
        (0..3).map(|_| next()).find(|next| next.state == ServerState::Leaving).expect("a leaving announcement");
    assert!(leaving.sequence > first.sequence && leaving.incarnation == first.incarnation);
    apply_mode(&emulation, "mode=restart");
    let restarted = (0..3)
        .map(|_| next())
        .find(|next| next.state == ServerState::Ready)
        .expect("an announcement after the restart");
    assert!(restarted.sequence == 1 && restarted.incarnation > first.incarnation);
}

/// Guards against a server that answers, or queues, a call which it should leave without an answer.
#[test]
fn a_server_that_hangs_when_full_never_answers() {
    let emulation = start(one_server());
    let address = emulation.addresses().servers[0].address;
    apply_mode(&emulation, "mode=hung");
    apply_mode(&emulation, "mode=hang-when-full&bound=0");
    let held = send(address, "GET", "/held", "");
    wait_for_count(&emulation, "started", 1);
    let mut silent = send(address, "GET", "/silent", "");
    wait_for_count(&emulation, "shed", 1);
    apply_mode(&emulation, "mode=normal");
    drop(held);
    assert!(exchange(address, "GET", "/a").starts_with("HTTP/1.1 200"), "other connections are served");
    silent.write_all(b"GET /later HTTP/1.1\r\nhost: a\r\n\r\n").expect("sent");
    silent.set_read_timeout(Some(Duration::from_millis(100))).expect("a timeout");
    let read = silent.read(&mut [0; 64]);
    assert!(read.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock), "no answer to either call");
}

/// Guards against modes without effect: a statement of leaving, a time to come back, and answers without end.
#[test]
fn notices_and_endless_answers_take_effect() {
    let emulation = start(one_server());
    let address = emulation.addresses().servers[0].address;
    apply_mode(&emulation, "mode=says-leaving");
    assert!(exchange(address, "GET", "/a").contains("hemlockford-leaving: 1"));
    apply_mode(&emulation, "mode=normal");
    assert!(!exchange(address, "GET", "/a").contains("hemlockford-leaving"));
    apply_mode(&emulation, "mode=shed&bound=0&retry-after=0.5");
    apply_mode(&emulation, "mode=hung");
    let held = send(address, "GET", "/held", "");
    wait_for_count(&emulation, "started", 3);
    let shed = exchange(address, "GET", "/a");
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("retry-after: 0.5"), "{shed}");
    drop(held);
    for (part, begin) in [("head", "HTTP/1.1 200 OK\r\nendless: xxx"), ("body", "HTTP/1.1 200 OK\r\n")] {
        apply_mode(&emulation, "mode=normal");
        apply_mode(&emulation, &format!("mode=endless&part={part}"));
        let mut stream = send(address, "GET", "/a", "");
        let mut answer = vec![0; 1 << 20];
        stream.read_exact(&mut answer).expect("a megabyte and more");
        assert!(answer.starts_with(begin.as_bytes()), "{part}");
        assert!(part == "body" || !answer.windows(4).any(|end| end == b"\r\n\r\n"), "the head has no end");
    }
}
