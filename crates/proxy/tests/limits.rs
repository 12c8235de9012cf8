//! Limits on what callers may send.

mod support;

use {
    hemlockford_core::config::Limits,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        TestProxy,
        platform::{self, LOOK_UP, OK, echoing_server},
        sleep_ms,
    },
};

fn limited(limits: Limits, server: std::net::SocketAddr) -> TestProxy {
    let mut script = platform::script(&[server]);
    script.config.limits = limits;
    TestProxy::start(script)
}

fn head(length: usize) -> String {
    let rest = length - "GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\nx-pad: \r\n\r\n".len();
    format!("GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\nx-pad: {}\r\n\r\n", "a".repeat(rest))
}

/// Guards against heads that exceed the configured limit, whether they arrive at once, slowly, or complete, and
/// against a limit that is off by one.
#[actix_rt::test]
async fn long_heads_are_refused() {
    let (server, seen) = echoing_server(OK).await;
    for limit in [1_000, 30_000, 64 * 1_024, 100_000] {
        let proxy = limited(Limits { header_bytes: limit, ..Limits::default() }, server.address);
        let limit = limit as usize;
        let got = proxy.call(&head(limit)).await;
        assert_eq!(got.status, 200, "{limit}");
        seen.borrow_mut().clear();
        let got = proxy.call(&head(limit + 1)).await;
        assert_eq!((got.status, got.header("connection")), (431, Some("close")), "{limit}");
        // An unterminated head is refused once it exceeds the limit.
        let mut caller = proxy.caller().await;
        caller.send(&head(limit + 500)[..limit + 100]).await;
        assert_eq!(caller.response().await.status, 431, "{limit}");
        assert_eq!(caller.rest().await, "");
        assert!(seen.borrow().is_empty());
    }
    let many: String = (0..200).map(|number| format!("x-{number}: a\r\n")).collect();
    let proxy = limited(Limits::default(), server.address);
    let got = proxy.call(&format!("GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\n{many}\r\n")).await;
    assert_eq!(got.status, 431, "more fields than are accepted");
}

/// Guards against bodies that exceed the configured limit, with a declared length and with chunks.
#[actix_rt::test]
async fn long_bodies_are_refused() {
    let (server, seen) = echoing_server(OK).await;
    let proxy = limited(Limits { body_bytes: 1_000, ..Limits::default() }, server.address);
    let sized = |length: usize| {
        format!(
            "PUT /upload/a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: {length}\r\n\r\n{}",
            "b".repeat(length)
        )
    };
    let chunked = |chunks: usize| {
        let body = format!("64\r\n{}\r\n", "b".repeat(100)).repeat(chunks);
        format!("PUT /upload/a HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n{body}0\r\n\r\n")
    };
    assert_eq!(proxy.call(&sized(1_000)).await.status, 200);
    assert_eq!(proxy.call(&chunked(10)).await.status, 200);
    seen.borrow_mut().clear();
    for request in [sized(1_001), sized(300_000), chunked(11)] {
        let got = proxy.call(&request).await;
        assert_eq!(got.status, 413, "{:.100}", request);
        assert!(seen.borrow().is_empty());
    }
    // The response does not wait for the body.
    let start = Instant::now();
    let mut caller = proxy.caller().await;
    caller.send("PUT /upload/a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 300000\r\n\r\nb").await;
    let got = caller.response().await;
    assert_eq!((got.status, got.header("connection")), (413, Some("close")));
    assert!(start.elapsed() < Duration::from_secs(1));
    // A small body is read to its end so that the connection can be kept; a long one is not.
    let proxy = limited(Limits::default(), server.address);
    for (length, connection) in [(60_000, None), (300_000, Some("close"))] {
        let mut caller = proxy.caller().await;
        caller.send(&sized(length).replace("/upload/", "/unknown/")).await;
        let got = caller.response().await;
        assert_eq!((got.status, got.header("connection")), (404, connection), "{length}");
    }
}

/// Guards against a response to a rejected upload that is delayed until the end of the body, or is lost in a reset
/// because the caller continues to send.
#[actix_rt::test]
async fn a_rejected_upload_is_answered_at_once() {
    let mut script = platform::script(&[support::refused_address()]);
    script.servers.clear();
    let proxy = TestProxy::start(script);
    for _ in 0..5 {
        let mut caller = proxy.caller().await;
        caller.send("PUT /upload/a HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 360000\r\n\r\n").await;
        caller.send(&"b".repeat(60_000)).await;
        let start = Instant::now();
        for _ in 0..10 {
            caller.send(&"b".repeat(20_000)).await;
            sleep_ms(5).await;
        }
        let got = caller.response().await;
        assert_eq!((got.status, got.header("connection")), (503, Some("close")));
        assert_eq!(caller.rest().await, "");
        assert!(start.elapsed() < Duration::from_secs(3));
    }
}

/// Guards against callers that hold connections by sending their heads slowly or nothing at all.
#[actix_rt::test]
async fn slow_and_idle_callers_are_closed() {
    let (server, _) = echoing_server(OK).await;
    let limits = Limits {
        header_timeout: Duration::from_millis(150),
        idle_timeout: Duration::from_millis(400),
        ..Limits::default()
    };
    let proxy = limited(limits, server.address);
    let start = Instant::now();
    let mut slow = proxy.caller().await;
    slow.send("GET /look-up/a HTT").await;
    let got = slow.response().await;
    assert_eq!((got.status, got.header("connection")), (408, Some("close")));
    assert_eq!(slow.rest().await, "");
    assert!(start.elapsed() < Duration::from_secs(2));
    let mut idle = proxy.caller().await;
    idle.send(LOOK_UP).await;
    assert_eq!(idle.response().await.status, 200);
    let start = Instant::now();
    sleep_ms(250).await;
    idle.send(LOOK_UP).await;
    assert_eq!(idle.response().await.status, 200, "the idle timeout applies to idle connections, not the head timeout");
    assert_eq!(idle.rest().await, "");
    assert!(start.elapsed() >= Duration::from_millis(600) && start.elapsed() < Duration::from_secs(3));
}

/// Guards against a change of the configuration that closes connections earlier than the timeout that applied when
/// they became idle.
#[actix_rt::test]
async fn idle_connections_keep_their_timeout() {
    let (server, _) = echoing_server(OK).await;
    let proxy = limited(Limits { idle_timeout: Duration::from_secs(20), ..Limits::default() }, server.address);
    let mut before = proxy.caller().await;
    before.send(LOOK_UP).await;
    assert_eq!(before.response().await.status, 200);
    let limits = Limits { idle_timeout: Duration::from_millis(100), ..Limits::default() };
    sleep_ms(50).await;
    proxy
        .config
        .send(Arc::new(hemlockford_core::config::Configuration { number: 2, limits, ..platform::config() }))
        .unwrap();
    sleep_ms(300).await;
    before.send(LOOK_UP).await;
    assert_eq!(before.response().await.status, 200);
    assert_eq!(before.rest().await, "", "the new timeout applies from the next request on");
}
