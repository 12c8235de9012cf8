//! Servers that send bytes without end, until the entry closes the connection.

mod support;

use {
    hemlockford_core::dispatch::{AttemptResult, DispatchEvent},
    hemlockford_proxy::Probe,
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    support::{
        Caller, Server, TestProxy, eventually,
        platform::{self, OK, echo, with},
        serve, sleep_ms,
    },
    tokio::{io::AsyncWriteExt, sync::mpsc},
};

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(400);
/// Time after the deadline within which the caller has its response and the server's connection is closed.
const SLACK: Duration = Duration::from_millis(500);
/// Memory that one exchange may use: a buffer of 64 KB in each direction and in each of three places, and the fixed
/// state of the proxy, its caller and its server.
const MEMORY_LIMIT: u64 = 2 * 1_024 * 1_024;

/// How a server sends bytes without end.
#[derive(Clone, Copy, Debug)]
struct Endless {
    /// Sent once. `ID` is replaced by the request id.
    begin: &'static str,
    /// Repeated without end.
    repeated: &'static str,
    /// Whether a response whose head is valid has begun, so that its bytes are forwarded.
    is_forwarded: bool,
}

const fn head(begin: &'static str, repeated: &'static str) -> Endless {
    Endless { begin, repeated, is_forwarded: false }
}

const fn body(begin: &'static str, repeated: &'static str) -> Endless {
    Endless { begin, repeated, is_forwarded: true }
}

const CASES: [Endless; 13] = [
    head("", "no response at all "),
    head("", "\r\n"),
    head("HTTP/1.1 200 ", "very "),
    head("HTTP/1.1 200 OK\r\nx: ", "long"),
    head("HTTP/1.1 200 OK\r\n", "x: y\r\n"),
    head("", "HTTP/1.1 102 Processing\r\n\r\n"),
    head("HTTP/1.1 102 Processing\r\nx: ", "long"),
    body("HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nhello\r\n"),
    body("HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n5;", "extension"),
    body("HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n", "0000"),
    body("HTTP/1.1 200 OK\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "x: y\r\n"),
    body("HTTP/1.1 200 OK\r\nx-id: ID\r\ncontent-length: 99999999999\r\n\r\n", "hello"),
    body("HTTP/1.1 200 OK\r\nx-id: ID\r\n\r\n", "until the end "),
];

/// Starts a server that sends bytes without end in response to every request. A pause between two writes makes it slow.
/// The flag is set when it cannot write any more.
async fn endless_server(case: Endless, pause: Option<u64>) -> (Server, Rc<Cell<bool>>) {
    let is_closed = Rc::new(Cell::new(false));
    let closed = is_closed.clone();
    let server = serve(move |mut io: Caller, _| {
        let closed = closed.clone();
        async move {
            let Some(request) = io.message(false).await else { return };
            let begin = case.begin.replace("ID", request.header("x-id").unwrap_or_default());
            let repeated = if pause.is_some() { case.repeated.into() } else { case.repeated.repeat(4_096) };
            let _ = io.io.write_all(begin.as_bytes()).await;
            while io.io.write_all(repeated.as_bytes()).await.is_ok() {
                match pause {
                    Some(pause) => sleep_ms(pause).await,
                    None => tokio::task::yield_now().await,
                }
            }
            closed.set(true);
        }
    });
    (server.await, is_closed)
}

/// Sends a request to a server that sends bytes without end, and checks what its caller receives and when.
async fn check(case: Endless, request: &str, pause: Option<u64>) {
    let (server, is_closed) = endless_server(case, pause).await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    let start = Instant::now();
    caller.send(&with(request, &format!("x-left: {}", DEADLINE.as_millis()))).await;
    // The caller reads on, so that nothing but the deadline ends a response that is forwarded.
    let (mut received, mut first) = (0, Vec::new());
    let mut buf = vec![0; 64 * 1_024];
    loop {
        let read = tokio::io::AsyncReadExt::read(&mut caller.io, &mut buf);
        match actix_rt::time::timeout(DEADLINE + SLACK, read).await.unwrap_or_else(|_| panic!("{case:?}: no end")) {
            Ok(0) | Err(_) => break,
            Ok(read) => {
                first.extend_from_slice(&buf[..read.min(1_024_usize.saturating_sub(first.len()))]);
                received += read;
            }
        }
        let got = String::from_utf8_lossy(&first);
        if got.starts_with("HTTP/1.1 502") || got.starts_with("HTTP/1.1 504") {
            break;
        }
    }
    assert!(start.elapsed() < DEADLINE + SLACK, "{case:?}: {:?}", start.elapsed());
    let got = String::from_utf8_lossy(&first).into_owned();
    let is_error = got.starts_with("HTTP/1.1 502") || got.starts_with("HTTP/1.1 504");
    assert!(case.is_forwarded || is_error, "{case:?}: {received} {got}");
    assert!(eventually(SLACK, || is_closed.get()).await, "{case:?}: the server's connection stays open");
    let results = proxy.results();
    let failures = [AttemptResult::BadAnswer, AttemptResult::Timeout, AttemptResult::BrokenAfterWrite];
    assert!(results.len() == 1 && failures.contains(&results[0]), "{case:?}: {results:?}");
}

fn look_up() -> &'static str {
    platform::LOOK_UP
}

/// Guards against a connection whose memory grows with what a server sends, a caller that waits beyond its deadline,
/// and a server that does not count as failing.
#[test]
fn a_server_without_end_costs_neither_memory_nor_time() {
    for case in CASES {
        for request in [look_up(), platform::ORDER] {
            let used = allocation_counter::measure(|| actix_rt::System::new().block_on(check(case, request, None)));
            assert!(used.bytes_max < MEMORY_LIMIT, "{case:?}: {} bytes", used.bytes_max);
        }
    }
}

/// Guards against a server that keeps a call alive by sending a few bytes at a time.
#[actix_rt::test]
async fn a_slow_server_without_end_is_cut_off_at_the_deadline() {
    for case in CASES {
        check(case, look_up(), Some(10)).await;
    }
}

/// Guards against bytes behind a complete response, without end, that reach the next caller or hold up this one.
#[actix_rt::test]
async fn bytes_behind_a_response_reach_nobody() {
    let junk = "HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 4\r\n\r\njunk";
    let server = serve(move |mut io: Caller, _| async move {
        let Some(request) = io.message(false).await else { return };
        io.send(&echo(OK, &request)).await;
        while io.io.write_all(junk.as_bytes()).await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    for number in 1..4 {
        caller.send(look_up()).await;
        let got = caller.response().await;
        assert_eq!((got.status, &*got.body), (200, &b"ok"[..]));
        assert_eq!(server.connections.get(), number, "no connection is used again");
    }
}

/// Guards against an error response without end that holds up the retry, or whose body is kept.
#[actix_rt::test]
async fn an_error_without_end_is_followed_by_a_retry() {
    let error = body("HTTP/1.1 500 Error\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n", "5\r\nhello\r\n");
    let (server, is_closed) = endless_server(error, None).await;
    let (other, _) = platform::echoing_server(OK).await;
    let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
    let start = Instant::now();
    assert_eq!(proxy.call(look_up()).await.status, 200);
    assert!(start.elapsed() < SLACK, "{:?}", start.elapsed());
    assert!(eventually(SLACK, || is_closed.get()).await);
}

/// Guards against a probe that lasts as long as the response to it.
#[actix_rt::test]
async fn a_probe_ends_although_its_response_does_not() {
    for case in CASES {
        let (server, is_closed) = endless_server(case, None).await;
        let proxy = TestProxy::start(platform::script(&[server.address]));
        let (events, mut rx) = mpsc::unbounded_channel();
        let (path, limit) = ("/health".into(), Duration::from_millis(100));
        let probe = Probe { number: 3, server: "s".into(), address: server.address, path, limit, events };
        proxy.probes.send(probe).unwrap();
        let event = actix_rt::time::timeout(SLACK, rx.recv()).await.expect("the probe ends");
        assert!(matches!(event, Some(DispatchEvent::ProbeFinished { ok: false, .. })), "{case:?}: {event:?}");
        assert!(eventually(SLACK, || is_closed.get()).await, "{case:?}: the connection stays open");
    }
}
