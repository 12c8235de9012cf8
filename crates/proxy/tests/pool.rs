//! The pool of connections to servers.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    hemlockford_proxy::ConnectionLimit,
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    support::{Script, TestProxy, eventually, fixed_response_server, serve, sleep_ms},
};

const GET: &str = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n";
const POST: &str = "POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a call that fails because the server closed the idle connection.
#[actix_rt::test]
async fn a_stale_connection_is_replaced() {
    let server = serve(|mut io, _| async move {
        io.message(false).await;
        io.send(OK).await;
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    for _ in 0..3 {
        assert_eq!(proxy.call(GET).await.status, 200);
        sleep_ms(20).await;
    }
    assert_eq!(server.connections.get(), 3);
    assert_eq!(proxy.results(), [AttemptResult::Complete; 3]);
}

/// Guards against a non-idempotent request on a connection that the server may be closing at the same time.
#[actix_rt::test]
async fn a_non_idempotent_request_needs_a_fresh_connection() {
    let (server, _) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    assert_eq!(proxy.call(GET).await.status, 200);
    assert_eq!(proxy.call(POST).await.status, 200);
    assert_eq!(server.connections.get(), 1, "a recently used connection is fresh");
    sleep_ms(150).await;
    assert_eq!(proxy.call(POST).await.status, 200);
    assert_eq!(server.connections.get(), 2, "a connection that was idle for longer is not");
    sleep_ms(150).await;
    assert_eq!(proxy.call(GET).await.status, 200);
    assert_eq!(server.connections.get(), 2, "it may carry an idempotent request");
}

/// Guards against the reuse of a connection although the server announced its close.
#[actix_rt::test]
async fn an_announced_close_is_respected() {
    for response in [
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nconnection: x-hop, CLOSE\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ] {
        let (server, _) = fixed_response_server(response).await;
        let proxy = TestProxy::start(Script::to(server.address));
        for _ in 0..2 {
            assert_eq!(proxy.call(GET).await.status, 200);
        }
        assert_eq!(server.connections.get(), 2, "{response:?}");
    }
}

/// Guards against exceeding the worker's share of the connections to a server, and against waiters that are never
/// woken.
#[actix_rt::test]
async fn connections_to_one_server_are_bounded() {
    let (open, most) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let counts = (open.clone(), most.clone());
    let server = serve(move |mut io, _| {
        let (open, most) = counts.clone();
        async move {
            open.set(open.get() + 1);
            most.set(most.get().max(open.get()));
            while io.message(false).await.is_some() {
                sleep_ms(20).await;
                io.send(OK).await;
            }
            open.set(open.get() - 1);
        }
    })
    .await;
    let mut script = Script::to(server.address);
    script.options.connection_limit = Arc::new(ConnectionLimit::new(12, 3, 2));
    script.options.spare_per_server = 8;
    let proxy = Rc::new(TestProxy::start(script));
    let calls: Vec<_> = (0..10)
        .map(|_| {
            let proxy = proxy.clone();
            actix_rt::spawn(async move { proxy.call(GET).await.status })
        })
        .collect();
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    sleep_ms(250).await;
    assert_eq!(most.get(), 2);
}

/// Guards against *unknown* for a call whose deadline passed while it waited for a connection.
#[actix_rt::test]
async fn a_call_without_a_connection_is_not_run() {
    let server = serve(|mut io, _| async move {
        io.message(false).await;
        sleep_ms(5_000).await;
    })
    .await;
    let mut script = Script::to(server.address);
    script.options.connection_limit = Arc::new(ConnectionLimit::new(1, 1, 1));
    let proxy = TestProxy::start(script);
    let mut holder = proxy.caller().await;
    holder.send(GET).await;
    assert!(eventually(Duration::from_secs(1), || server.connections.get() == 1).await);
    let got = proxy.call("GET /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-deadline: 50\r\n\r\n").await;
    assert_eq!((got.status, got.outcome()), (503, "not-run; deadline"));
}

/// Guards against idle connections that are never closed, and against calls that are delayed by opening a connection.
#[actix_rt::test]
async fn idle_connections_expire_and_spare_ones_are_opened() {
    let open = Rc::new(Cell::new(0));
    let count = open.clone();
    let server = serve(move |mut io, _| {
        let open = count.clone();
        async move {
            open.set(open.get() + 1);
            while io.message(false).await.is_some() {
                sleep_ms(300).await;
                io.send(OK).await;
            }
            open.set(open.get() - 1);
        }
    })
    .await;
    let mut script = Script::to(server.address);
    script.options.server_idle_timeout = Duration::from_millis(600);
    script.options.spare_per_server = 1;
    let proxy = TestProxy::start(script);
    let mut caller = proxy.caller().await;
    caller.send(GET).await;
    assert!(
        eventually(Duration::from_secs(1), || open.get() == 2).await,
        "a spare connection is opened while one is in use"
    );
    assert_eq!(caller.response().await.status, 200);
    assert!(eventually(Duration::from_secs(3), || open.get() == 0).await, "none is kept open to an unused server");
}
