//! Tests that the load generator and the stand-in servers detect faulty answers and executions.

use {
    hemlockford_tools::{
        Content, EmulateOptions, Emulation, LoadOptions, LoadSummary, ServiceTime, load,
        load::{CustomerLoad, FaultKind, MethodShare},
    },
    slog::{Discard, Logger, o},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

fn run(target: SocketAddr, options: LoadOptions) -> LoadSummary {
    load(LoadOptions {
        targets: vec![target],
        customers: vec![CustomerLoad { name: None, rate: 100.0 }],
        duration: Duration::from_millis(100),
        timeout: Duration::from_secs(2),
        ..options
    })
    .expect("the load runs")
}

/// Starts a server that answers one request per connection with the result of `answer` for the expected content.
fn start_server(answer: impl Fn(Vec<u8>) -> Vec<u8> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let content = read_content(&mut stream);
            let _ = stream.write_all(&answer(content));
        }
    });
    address
}

/// Reads a request and derives the expected content of its answer.
fn read_content(stream: &mut TcpStream) -> Vec<u8> {
    let mut head = Vec::new();
    let mut buf = [0; 4_096];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let length = stream.read(&mut buf).expect("a request");
        head.extend_from_slice(&buf[..length]);
    }
    let head = String::from_utf8(head).expect("a head");
    let path = head.split(' ').nth(1).expect("a path");
    let request = head.lines().find_map(|line| line.strip_prefix("load-request: ")).expect("an id");
    Content::new(path, request, 1_000).into_bytes()
}

fn with_head(length: usize, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// Guards against a check that accepts any answer.
#[test]
fn wrong_and_partial_answers_are_detected() {
    let right = run(start_server(|content| with_head(1_000, &content)), LoadOptions::default());
    assert!(right.is_clean() && right.total.good() == right.planned, "{right}");
    let wrong = run(
        start_server(|mut content| {
            content[999] ^= 1;
            with_head(1_000, &content)
        }),
        LoadOptions::default(),
    );
    assert_eq!(wrong.total.faults.get(&FaultKind::Wrong), Some(&wrong.planned), "{wrong}");
    let partial = run(start_server(|content| with_head(999, &content[..999])), LoadOptions::default());
    assert_eq!(partial.total.faults.get(&FaultKind::Partial), Some(&partial.planned), "{partial}");
    assert!(!wrong.is_clean() && !partial.is_clean());
}

/// Guards against classifying a truncated answer as complete or as faulty. Its outcome is unknown.
#[test]
fn truncated_answers_have_an_unknown_outcome() {
    let truncated = run(start_server(|content| with_head(1_000, &content[..999])), LoadOptions::default());
    assert_eq!(truncated.total.unknown.get("cut-off"), Some(&truncated.planned), "{truncated}");
    let chunked = |content: Vec<u8>| {
        let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e8\r\n".to_vec();
        answer.extend_from_slice(&content);
        answer.extend_from_slice(b"\r\n");
        answer
    };
    let truncated = run(start_server(chunked), LoadOptions::default());
    assert_eq!(truncated.total.unknown.get("cut-off"), Some(&truncated.planned), "{truncated}");
    let unanswered = run(start_server(|_| Vec::new()), LoadOptions::default());
    assert_eq!(unanswered.total.unknown.get("no-answer"), Some(&unanswered.planned), "{unanswered}");
    assert!(truncated.is_clean() && unanswered.is_clean());
}

/// Guards against taking a request timeout on an idle connection for a second answer when it is read together with the
/// preceding answer, and against missing a real second answer there.
#[test]
fn a_request_timeout_after_an_answer_is_not_a_second_answer() {
    let run_followed_by = |status: &'static str| {
        let answer = move |content: Vec<u8>| {
            let mut answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n".to_vec();
            answer.extend(content);
            answer.extend(format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n").into_bytes());
            answer
        };
        run(start_server(answer), LoadOptions::default())
    };
    let timeouts = run_followed_by("408 Request Timeout");
    assert!(timeouts.is_clean() && timeouts.total.good() == timeouts.planned, "{timeouts}");
    let repeated = run_followed_by("200 OK");
    assert!(repeated.total.faults.contains_key(&FaultKind::Repeated), "{repeated}");
}

fn start_emulation() -> Emulation {
    let options = EmulateOptions {
        servers: 1,
        service_time: ServiceTime::Constant(Duration::from_micros(300)),
        ..EmulateOptions::default()
    };
    Emulation::start(options, Logger::root(Discard, o!())).expect("the servers start")
}

/// Starts a proxy that sends every request to the server twice and forwards the second answer.
fn start_duplicating_proxy(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut caller = stream.expect("a connection");
            let mut request = vec![0; 65_536];
            let length = caller.read(&mut request).expect("a request");
            let request = String::from_utf8_lossy(&request[..length]).replacen("\r\n", "\r\nconnection: close\r\n", 1);
            let mut answer = Vec::new();
            for _ in 0..2 {
                answer.clear();
                let mut stream = TcpStream::connect(server).expect("a connection");
                stream.write_all(request.as_bytes()).expect("sent");
                stream.read_to_end(&mut answer).expect("an answer");
            }
            let _ = caller.write_all(&answer);
        }
    });
    address
}

/// Guards against repeated executions that are not counted.
#[test]
fn repeated_executions_are_detected() {
    let emulation = start_emulation();
    let addresses = emulation.addresses();
    let post = LoadOptions {
        methods: vec!["post".parse::<MethodShare>().expect("a method")],
        upload_bytes: 0,
        control: Some(addresses.control),
        ..LoadOptions::default()
    };
    let once = run(addresses.servers[0].address, post.clone());
    assert!(once.is_clean() && once.total.good() == once.planned, "{once}");
    let twice = run(start_duplicating_proxy(addresses.servers[0].address), post);
    assert_eq!(twice.total.faults.get(&FaultKind::Repeated), Some(&twice.planned), "{twice}");
    assert_eq!(twice.verification.as_ref().map(|found| found.repeated), Some(twice.planned), "{twice}");
    let gets = LoadOptions { control: Some(addresses.control), ..LoadOptions::default() };
    let gets = run(start_duplicating_proxy(addresses.servers[0].address), gets);
    assert_eq!(gets.total.good(), gets.planned, "repeated GET requests must be allowed: {gets}");
}

/// Guards against missing an execution that was reported as "not run".
#[test]
fn an_execution_reported_as_not_run_is_detected() {
    let emulation = start_emulation();
    let addresses = emulation.addresses();
    let server = addresses.servers[0].address;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let proxy = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut caller = stream.expect("a connection");
            let mut request = vec![0; 65_536];
            let length = caller.read(&mut request).expect("a request");
            let mut stream = TcpStream::connect(server).expect("a connection");
            stream.write_all(&request[..length]).expect("sent");
            assert!(stream.read(&mut request).expect("an answer") > 0);
            let _ = caller.write_all(
                b"HTTP/1.1 503 Busy\r\nhemlockford-outcome: not-run; overload\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            );
        }
    });
    let summary = run(proxy, LoadOptions { control: Some(addresses.control), ..LoadOptions::default() });
    assert_eq!(summary.total.not_run.get("overload"), Some(&summary.planned), "{summary}");
    let found = summary.verification.as_ref().map(|found| found.ran_but_denied.len() as u64);
    assert_eq!(found, Some(summary.planned), "{summary}");
    assert!(!summary.is_clean());
}
