//! Error responses whose body comes late, is long or breaks off, while another server is tried.

mod support;

use {
    hemlockford_proxy::ConnectionLimit,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        Caller, Message, Script, Server, TestProxy, eventually,
        platform::{self, LOOK_UP, OK, echo, echoing_server},
        refused_address, serve, sleep_ms,
    },
    tokio::io::AsyncReadExt,
};

const HEAD: &str = "HTTP/1.1 500 Oh\r\nx-signed: s\r\n";
/// Time by which an answer may come after the deadline.
const SLACK: Duration = Duration::from_millis(500);

/// A body as a server sends it: what follows the head at once, and what follows after a delay.
#[derive(Clone)]
struct Sent {
    name: &'static str,
    head: String,
    first: String,
    delay_ms: u64,
    rest: String,
    /// Whether the server closes the connection then.
    closes: bool,
}

impl Sent {
    fn new(name: &'static str, framing: &str, first: &str, delay_ms: u64, rest: &str) -> Self {
        let head = format!("{HEAD}{framing}\r\n");
        Self { name, head, first: first.into(), delay_ms, rest: rest.into(), closes: framing.is_empty() }
    }
}

/// A server that answers each request with an error, and tells when the other side has closed the connection.
async fn failing_server(sent: Sent) -> (Server, Rc<Cell<bool>>) {
    let is_closed = Rc::new(Cell::new(false));
    let closed = is_closed.clone();
    let server = serve(move |mut io: Caller, _| {
        let (sent, closed) = (sent.clone(), closed.clone());
        async move {
            while let Some(request) = io.message(false).await {
                io.send(&echo(&sent.head, &request)).await;
                io.send(&sent.first).await;
                tokio::select! {
                    () = sleep_ms(sent.delay_ms) => {}
                    _ = io.io.read_u8() => return closed.set(true),
                }
                io.send(&sent.rest).await;
                if sent.closes {
                    return;
                }
            }
            closed.set(true);
        }
    })
    .await;
    (server, is_closed)
}

/// Returns addresses of servers at which the second attempt fails.
async fn failing_seconds() -> Vec<(&'static str, SocketAddr)> {
    let closing = serve(|mut io, _| async move {
        io.message(false).await;
    });
    let late = serve(|mut io, _| async move {
        io.message(false).await;
        sleep_ms(100).await;
    });
    let (shedding, _) = echoing_server("HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n").await;
    vec![
        ("refused", refused_address()),
        ("closing", closing.await.address),
        ("closing late", late.await.address),
        ("shedding", shedding.address),
    ]
}

fn request(deadline_ms: u64) -> String {
    LOOK_UP.replace("x-id: 7", &format!("x-id: 7\r\nx-left: {deadline_ms}"))
}

/// Sends a request on a new connection; returns `None` if the response is cut off.
async fn call(proxy: &TestProxy, text: &str) -> Option<Message> {
    let mut caller = proxy.caller().await;
    caller.send(text).await;
    caller.message(false).await
}

/// Guards against an error response that reaches the caller framed as whole, with the server's signature and without its
/// body, when the answer to the second attempt is lost: directly and through another entry.
#[actix_rt::test]
async fn an_error_is_forwarded_with_its_whole_body() {
    let long = "b".repeat(200_000);
    let chunk = format!("{:x}\r\n{long}\r\n", long.len());
    let cases = [
        (Sent::new("late", "content-length: 3\r\n", "", 60, "own"), "own"),
        (Sent::new("later", "content-length: 3\r\n", "o", 300, "wn"), "own"),
        (Sent::new("chunked, late", "transfer-encoding: chunked\r\n", "1\r\no\r\n", 60, "2\r\nwn\r\n0\r\n\r\n"), "own"),
        (Sent::new("trailers", "transfer-encoding: chunked\r\n", "", 60, "3\r\nown\r\n0\r\na: b\r\n\r\n"), "own"),
        (Sent::new("until close", "", "ow", 60, "n"), "own"),
        (Sent::new("empty, until close", "", "", 60, ""), ""),
        (Sent::new("long", "content-length: 200000\r\n", &long, 0, ""), &*long),
        (Sent::new("long, late", "content-length: 200000\r\n", "", 60, &long), &*long),
        (Sent::new("long, chunked", "transfer-encoding: chunked\r\n", &chunk, 60, "0\r\n\r\n"), &*long),
        (Sent::new("long, until close", "", &long, 60, ""), &*long),
    ];
    for (sent, body) in cases {
        for (second, address) in failing_seconds().await {
            let (server, _) = failing_server(sent.clone()).await;
            let direct = TestProxy::start(platform::script(&[server.address, address]));
            let passing_on = Script { relay_attempts: Some(2), ..platform::script(&[direct.relay_address]) };
            let relay = TestProxy::start(passing_on);
            for (proxy, path) in [(&direct, "direct"), (&relay, "relayed")] {
                let case = format!("{}, second {second}, {path}", sent.name);
                let got = call(proxy, &request(1_500)).await.unwrap_or_else(|| panic!("{case}: cut off"));
                assert_eq!(
                    (got.status, got.header("x-signed"), got.header("x-id")),
                    (500, Some("s"), Some("7")),
                    "{case}"
                );
                assert!(got.body == body.as_bytes(), "{case}: {} of {} bytes", got.body.len(), body.len());
            }
        }
    }
}

/// Guards against an error response that is framed as whole, or called not run, although the rest of its body never comes.
#[actix_rt::test]
async fn an_error_whose_body_breaks_off_is_not_whole() {
    let cut =
        |name, framing, first: &str, delay_ms| Sent { closes: true, ..Sent::new(name, framing, first, delay_ms, "") };
    let long = "b".repeat(150_000);
    let cases = [
        cut("cut", "content-length: 3\r\n", "o", 60),
        cut("cut before the body", "content-length: 3\r\n", "", 60),
        cut("chunked, cut", "transfer-encoding: chunked\r\n", "1\r\no\r\n", 60),
        cut("long, cut", "content-length: 200000\r\n", &long, 60),
        Sent::new("beyond the deadline", "content-length: 3\r\n", "o", 2_000, "wn"),
    ];
    for sent in cases {
        for (second, address) in failing_seconds().await {
            let case = format!("{}, second {second}", sent.name);
            let (server, _) = failing_server(sent.clone()).await;
            let proxy = TestProxy::start(platform::script(&[server.address, address]));
            let start = Instant::now();
            let got = call(&proxy, &request(400)).await;
            assert!(start.elapsed() < Duration::from_millis(400) + SLACK, "{case}: {:?}", start.elapsed());
            if let Some(got) = got {
                assert!(matches!(got.status, 502 | 504), "{case}: {}", got.head);
                assert_eq!(got.header("x-signed"), None, "{case}");
            } else {
                assert_eq!(sent.name, "long, cut", "a short response is replaced");
            }
        }
    }
}

/// Guards against a whole error that is dropped because an earlier one broke off.
#[actix_rt::test]
async fn an_error_that_broke_off_does_not_displace_a_whole_one() {
    let cut = Sent { closes: true, ..Sent::new("cut", "content-length: 3\r\n", "o", 0, "") };
    let (cut, _) = failing_server(cut).await;
    let (whole, _) = failing_server(Sent::new("whole", "content-length: 3\r\n", "own", 0, "")).await;
    let proxy = TestProxy::start(platform::script(&[cut.address, whole.address, refused_address()]));
    let got = proxy.call(LOOK_UP).await;
    assert_eq!((got.status, got.header("x-signed"), got.body.as_slice()), (500, Some("s"), b"own".as_slice()));
}

/// Guards against a second attempt that waits for the body of the first response, and against a connection that stays open
/// after the call.
#[actix_rt::test]
async fn a_late_body_delays_no_retry() {
    let sent = Sent::new("late", "content-length: 3\r\n", "", 5_000, "own");
    let (server, is_closed) = failing_server(sent).await;
    let (working, _) = echoing_server(OK).await;
    let proxy = TestProxy::start(platform::script(&[server.address, working.address]));
    let start = Instant::now();
    assert_eq!(proxy.call(LOOK_UP).await.status, 200);
    assert!(start.elapsed() < SLACK, "{:?}", start.elapsed());
    assert!(eventually(SLACK, || is_closed.get()).await);
}

/// Guards against a kept connection that outlives a caller who leaves while the rest of the body is awaited.
#[actix_rt::test]
async fn a_caller_that_leaves_ends_the_wait() {
    let (server, is_closed) = failing_server(Sent::new("late", "content-length: 3\r\n", "", 5_000, "own")).await;
    let proxy = TestProxy::start(platform::script(&[server.address, refused_address()]));
    let mut caller = proxy.caller().await;
    caller.send(LOOK_UP).await;
    sleep_ms(200).await;
    assert!(!is_closed.get());
    drop(caller);
    assert!(eventually(SLACK, || is_closed.get()).await);
}

/// Guards against a body without end that is kept in memory while another server is tried, or that holds the call beyond its
/// deadline.
#[test]
fn an_error_without_end_costs_neither_memory_nor_time() {
    let check = async {
        let endless = serve(|mut io, _| async move {
            let Some(request) = io.message(false).await else { return };
            io.send(&echo(&format!("{HEAD}transfer-encoding: chunked\r\n\r\n"), &request)).await;
            let chunk = format!("4000\r\n{}\r\n", "b".repeat(0x4000));
            while tokio::io::AsyncWriteExt::write_all(&mut io.io, chunk.as_bytes()).await.is_ok() {
                tokio::task::yield_now().await;
            }
        })
        .await;
        let silent = serve(|mut io, _| async move {
            io.message(false).await;
            sleep_ms(300).await;
        })
        .await;
        let proxy = TestProxy::start(platform::script(&[endless.address, silent.address]));
        let start = Instant::now();
        let mut caller = proxy.caller().await;
        caller.send(&request(600)).await;
        let mut buf = vec![0; 65_536];
        while caller.io.read(&mut buf).await.is_ok_and(|length| length > 0) {}
        assert!(start.elapsed() < Duration::from_millis(600) + SLACK, "{:?}", start.elapsed());
    };
    let used = allocation_counter::measure(|| actix_rt::System::new().block_on(check));
    assert!(used.bytes_max < 2 * 1_024 * 1_024, "{} bytes", used.bytes_max);
}

/// Guards against an attempt that waits for the connection which is kept for the first response, when it goes to the same
/// server.
#[actix_rt::test]
async fn a_second_attempt_at_the_same_server_gets_a_connection() {
    let server = serve(|mut io, number| async move {
        let Some(request) = io.message(false).await else { return };
        if number == 0 {
            io.send(&echo(&format!("{HEAD}content-length: 3\r\n\r\n"), &request)).await;
            sleep_ms(5_000).await;
        }
        io.send(&echo(OK, &request)).await;
    })
    .await;
    let mut script = platform::script(&[server.address, server.address]);
    script.options.connection_limit = Arc::new(ConnectionLimit::new(1, 1, 1));
    let proxy = TestProxy::start(script);
    let start = Instant::now();
    assert_eq!(proxy.call(LOOK_UP).await.status, 200);
    assert!(start.elapsed() < SLACK, "{:?}", start.elapsed());
}

/// Guards against the response to a HEAD request, which has no body to wait for.
#[actix_rt::test]
async fn an_error_without_a_body_is_forwarded_at_once() {
    let server = serve(|mut io: Caller, _| async move {
        let Some(request) = io.message(false).await else { return };
        io.send(&echo(&format!("{HEAD}content-length: 3000\r\n\r\n"), &request)).await;
        sleep_ms(5_000).await;
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address, refused_address()]));
    let mut caller = proxy.caller().await;
    let start = Instant::now();
    caller.send(&LOOK_UP.replace("GET", "HEAD")).await;
    let got = caller.message(true).await.expect("a response");
    assert_eq!((got.status, got.header("x-signed"), got.header("content-length")), (500, Some("s"), Some("3000")));
    assert!(start.elapsed() < SLACK, "{:?}", start.elapsed());
}
