//! Callers that disconnect, and instances that stop.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::{cell::Cell, rc::Rc, time::Duration},
    support::{Script, Server, TestProxy, eventually, fixed_response_server, serve, sleep_ms},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const GET: &str = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Time within which a call must be cancelled after its caller left.
const LIMIT: Duration = Duration::from_secs(1);

/// A server that sends a part of a response and then waits until its connection is closed.
async fn waiting(part: &'static str) -> (Server, Rc<Cell<bool>>) {
    let closed = Rc::new(Cell::new(false));
    let is_closed = closed.clone();
    let server = serve(move |mut io, _| {
        let is_closed = is_closed.clone();
        async move {
            io.message(false).await;
            io.send(part).await;
            io.rest().await;
            is_closed.set(true);
        }
    });
    (server.await, closed)
}

/// Guards against calls that continue although the caller has left by a close, a reset or a half-close, before or
/// during the response.
#[actix_rt::test]
async fn leaving_cancels_a_running_call() {
    for part in ["", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello"] {
        for manner in ["close", "reset", "half-close"] {
            let (server, closed) = waiting(part).await;
            let proxy = TestProxy::start(Script::to(server.address));
            let mut caller = proxy.caller().await;
            caller.send(GET).await;
            sleep_ms(30).await;
            assert!(!closed.get());
            match manner {
                "reset" => {
                    caller.io.set_zero_linger().unwrap();
                    drop(caller);
                }
                "half-close" => {
                    caller.io.shutdown().await.unwrap();
                    std::mem::forget(caller);
                }
                _ => drop(caller),
            }
            assert!(eventually(LIMIT, || closed.get()).await, "{manner} after {part:?}");
            assert_eq!(proxy.results(), [AttemptResult::CallerLeft]);
        }
    }
}

/// Guards against a waiting call that is dispatched for a caller that has left.
#[actix_rt::test]
async fn leaving_withdraws_a_waiting_call() {
    let (server, seen) = fixed_response_server(OK).await;
    let mut proxy = TestProxy::start(Script { holds_calls: true, ..Script::to(server.address) });
    let mut caller = proxy.caller().await;
    caller.send(GET).await;
    assert!(eventually(LIMIT, || proxy.log.borrow().calls.len() == 1).await);
    drop(caller);
    assert!(eventually(LIMIT, || proxy.log.borrow().cancelled.len() == 1).await);
    assert_eq!(proxy.log.borrow().cancelled[0], proxy.log.borrow().calls[0].id);
    assert!(seen.borrow().is_empty());
    assert_eq!(proxy.records.recv().await.unwrap().outcome, None);
}

/// Guards against calls that keep their slots or their places in a queue after a worker's task has ended.
#[actix_rt::test]
async fn the_end_of_a_worker_cancels_its_calls() {
    for holds_calls in [true, false] {
        let (server, closed) = waiting("").await;
        let proxy = TestProxy::start(Script { holds_calls, ..Script::to(server.address) });
        let mut caller = proxy.caller().await;
        caller.send(GET).await;
        sleep_ms(50).await;
        proxy.worker.abort();
        assert_eq!(caller.rest().await, "");
        let told = || proxy.log.borrow().cancelled.len() + proxy.results().len();
        assert!(eventually(LIMIT, || told() == 1).await);
        assert_eq!(proxy.results() == [AttemptResult::CallerLeft], !holds_calls);
        assert!(holds_calls || eventually(LIMIT, || closed.get()).await, "the server sees the close");
    }
}

/// Guards against a truncated response that looks complete to an HTTP/1.0 caller because a worker's task ended.
#[actix_rt::test]
async fn the_end_of_a_worker_resets_close_delimited_responses() {
    let (server, _closed) = waiting("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n").await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    caller.send(&GET.replace("1.1", "1.0")).await;
    let mut buf = [0; 1_024];
    while !caller.buf.ends_with(b"hello") {
        let read = caller.io.read(&mut buf).await.unwrap();
        caller.buf.extend(&buf[..read]);
    }
    proxy.worker.abort();
    assert!(caller.io.read(&mut buf).await.is_err(), "the connection is reset");
}

/// Guards against pipelined requests that are mistaken for a disconnect or hide one, and against requests of a caller
/// that has left which are sent or continue to run.
#[actix_rt::test]
async fn a_pipelined_request_is_not_leaving() {
    for next in [1, 4_000] {
        let (server, closed) = waiting("").await;
        let proxy = TestProxy::start(Script::to(server.address));
        let mut caller = proxy.caller().await;
        caller.send(GET).await;
        sleep_ms(20).await;
        caller.send(&GET.repeat(next)).await;
        sleep_ms(100).await;
        assert!(!closed.get(), "{next} further requests are not a disconnect");
        drop(caller);
        assert!(eventually(LIMIT, || closed.get()).await, "the disconnect is detected behind {next} requests");
        let started = (1 + next).min(16);
        assert_eq!(proxy.log.borrow().calls.len(), started, "{next} further requests");
        let is_cancelled = || proxy.results().len() + proxy.log.borrow().cancelled.len() == started;
        assert!(eventually(LIMIT, is_cancelled).await, "{:?}", proxy.results());
        assert!(proxy.results().iter().all(|result| *result == AttemptResult::CallerLeft));
    }
}

/// Guards against a planned stop that cuts off calls or accepts new ones.
#[actix_rt::test]
async fn a_graceful_stop_cuts_nothing_off() {
    let server = serve(|mut io, _| async move {
        while io.message(false).await.is_some() {
            io.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello").await;
            sleep_ms(400).await;
            io.send("world").await;
        }
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut idle = proxy.caller().await;
    idle.send(GET).await;
    idle.response().await;
    let mut running = proxy.caller().await;
    running.send(GET).await;
    running.send(GET).await;
    sleep_ms(50).await;
    proxy.stop.send(true).unwrap();
    running.send(GET).await;
    sleep_ms(50).await;
    let got = proxy.call(GET).await;
    assert_eq!((got.status, got.outcome()), (503, "not-run; shutting-down"));
    assert_eq!(got.header("connection"), Some("close"));
    assert_eq!(idle.expect_idle_close(false).await.outcome(), "not-run; shutting-down");
    assert!(!proxy.worker.is_finished());
    for _ in 0..2 {
        let got = running.response().await;
        assert_eq!((got.status, &*got.body), (200, &b"helloworld"[..]), "it was sent to a server before the stop");
    }
    let got = running.response().await;
    assert_eq!((got.status, got.outcome()), (503, "not-run; shutting-down"), "it arrived after the stop");
    assert_eq!(running.rest().await, "");
    assert!(eventually(Duration::from_secs(2), || proxy.worker.is_finished()).await);
    assert_eq!(proxy.results(), [AttemptResult::Complete; 3]);
    assert!(tokio::net::TcpStream::connect(proxy.address).await.is_err());
}

/// Guards against a stop that waits for callers that send nothing.
#[actix_rt::test]
async fn a_stop_without_calls_ends_soon() {
    let (server, _) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    let silent = proxy.caller().await;
    sleep_ms(20).await;
    proxy.stop.send(true).unwrap();
    assert!(eventually(Duration::from_secs(2), || proxy.worker.is_finished()).await);
    drop(silent);
}
