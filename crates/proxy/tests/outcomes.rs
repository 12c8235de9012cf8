//! Outcomes that callers get when no response can be forwarded.

mod support;

use {
    hemlockford_core::{dispatch::AttemptResult, outcome::NotRunReason},
    std::time::{Duration, Instant},
    support::{Script, TestProxy, eventually, fixed_response_server, refused_address, serve, sleep_ms},
};

const GET: &str = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n";
const POST: &str = "POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 3\r\n\r\nbad";
const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nhemlockford-shed: 1\r\ncontent-length: 0\r\n\r\n";

/// Guards against *unknown* for a request of which nothing was written.
#[actix_rt::test]
async fn a_refused_connection_is_not_run() {
    for request in [GET, POST] {
        let proxy = TestProxy::start(Script::to(refused_address()));
        let got = proxy.call(request).await;
        assert_eq!((got.status, got.outcome()), (503, "not-run; refused"));
        assert!(got.header("retry-after").is_some());
        assert_eq!(proxy.results(), [AttemptResult::RefusedBeforeWrite]);
    }
}

/// Guards against *not run*, or a second attempt, for a request that the server read before it closed the connection.
#[actix_rt::test]
async fn a_request_that_was_written_is_unknown_when_the_server_closes() {
    let server = serve(|mut io, _| async move {
        io.message(false).await;
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let got = proxy.call(POST).await;
    assert_eq!((got.status, got.outcome()), (502, "unknown; connection-lost"));
    assert_eq!(got.header("hemlockford-once"), Some("sent-once"));
    assert_eq!((proxy.results(), server.connections.get()), (vec![AttemptResult::BrokenAfterWrite], 1));
}

/// Guards against *not run* when the first attempt may have run and the second was refused.
#[actix_rt::test]
async fn not_run_is_never_reported_after_an_attempt_that_may_have_run() {
    let closing = serve(|mut io, _| async move {
        io.message(false).await;
    })
    .await;
    let (failing, _) = fixed_response_server(ERROR).await;
    for first in [closing.address, failing.address] {
        let proxy = TestProxy::start(Script { servers: vec![first, refused_address()], ..Script::to(first) });
        let got = proxy.call(GET).await;
        assert_eq!((got.status, got.outcome()), (502, "unknown; connection-lost"));
    }
}

/// Guards against a server's error response that is lost when no other server is tried.
#[actix_rt::test]
async fn a_server_error_is_retried_or_forwarded() {
    let (failing, _) = fixed_response_server(ERROR).await;
    let (working, _) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(failing.address));
    let got = proxy.call(GET).await;
    assert_eq!((got.status, got.outcome(), got.body.as_slice()), (500, "answered", b"bad".as_slice()));
    assert_eq!(proxy.results(), [AttemptResult::ServerError]);
    let proxy =
        TestProxy::start(Script { servers: vec![failing.address, working.address], ..Script::to(failing.address) });
    assert_eq!(proxy.call(GET).await.status, 200);
    let put = "PUT /catalogue/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi";
    assert_eq!(proxy.call(put).await.status, 200, "a small body is buffered and sent again");
    let got = proxy.call(POST).await;
    assert_eq!((got.status, got.outcome()), (500, "answered"), "a non-idempotent request is sent once");
    let chunked = "PUT /catalogue/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    assert_eq!(proxy.call(chunked).await.status, 500, "a body that was not buffered cannot be sent again");
    let replayable: Vec<bool> = proxy.log.borrow().calls.iter().map(|call| call.replayable).collect();
    assert_eq!(replayable, [true, true, false, false]);
}

/// Guards against sending only the rest of a body that was partly consumed by an earlier attempt.
#[actix_rt::test]
async fn a_consumed_body_is_not_sent_again_regardless_of_the_decision() {
    let (shedding, _) = fixed_response_server(SHED).await;
    let (working, seen) = fixed_response_server(OK).await;
    let proxy =
        TestProxy::start(Script { servers: vec![shedding.address, working.address], ..Script::to(shedding.address) });
    let got = proxy.call(POST).await;
    assert_eq!((got.status, got.outcome()), (503, "not-run; refused"));
    assert!(seen.borrow().is_empty());
    assert_eq!(proxy.call(GET).await.status, 200);
}

/// Guards against a body that is lost, or sent in part, when the first server refuses the connection.
#[actix_rt::test]
async fn an_unread_body_goes_to_the_next_server() {
    let (working, seen) = fixed_response_server(OK).await;
    let proxy =
        TestProxy::start(Script { servers: vec![refused_address(), working.address], ..Script::to(refused_address()) });
    assert_eq!(proxy.call(POST).await.status, 200);
    assert!(seen.borrow()[0].ends_with("\r\n\r\nhi"));
    assert_eq!(proxy.results(), [AttemptResult::RefusedBeforeWrite, AttemptResult::Complete]);
}

/// Guards against *unknown* for a request that the server shed, and against *not run* for any other 503.
#[actix_rt::test]
async fn only_a_shed_request_is_not_run() {
    let (server, _) = fixed_response_server(SHED).await;
    let proxy = TestProxy::start(Script::to(server.address));
    for request in [GET, POST] {
        let got = proxy.call(request).await;
        assert_eq!((got.status, got.outcome()), (503, "not-run; overload"));
    }
    assert_eq!(proxy.results(), [AttemptResult::Shed; 2]);
    assert!(server.connections.get() <= 2);
    let (server, _) = fixed_response_server("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await;
    let proxy = TestProxy::start(Script::to(server.address));
    let got = proxy.call(POST).await;
    assert_eq!((got.status, got.outcome()), (503, "answered"));
    assert_eq!(proxy.results(), [AttemptResult::ServerError]);
}

/// Guards against a call that exceeds its deadline, and against a deadline that exceeds the one of the service.
#[actix_rt::test]
async fn a_deadline_ends_a_call_at_once() {
    let silent = serve(|mut io, _| async move {
        io.message(false).await;
        sleep_ms(5_000).await;
    })
    .await;
    let request = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-deadline: 80\r\n\r\n";
    let waiting = TestProxy::start(Script { holds_calls: true, ..Script::to(silent.address) });
    let running = TestProxy::start(Script::to(silent.address));
    for (proxy, expected) in [(&waiting, (503, "not-run; deadline")), (&running, (504, "unknown; timeout"))] {
        let start = Instant::now();
        let got = proxy.call(request).await;
        assert_eq!((got.status, got.outcome()), expected);
        assert!(got.header("retry-after").is_some());
        assert!(start.elapsed() < Duration::from_secs(1));
    }
    assert!(eventually(Duration::from_secs(1), || !waiting.log.borrow().cancelled.is_empty()).await);
    assert_eq!(running.results(), [AttemptResult::Timeout]);
    let (server, _) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    let start = Instant::now();
    proxy.call("GET /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-deadline: 900000\r\n\r\n").await;
    let deadline = proxy.log.borrow().calls[0].deadline;
    assert!(deadline <= start + Duration::from_secs(3), "the service's deadline of 2 s is the limit");
}

/// Guards against calls that are missing from the counters or the call records.
#[actix_rt::test]
async fn calls_are_counted_and_recorded() {
    let (server, _) = fixed_response_server(OK).await;
    let mut proxy = TestProxy::start(Script::to(server.address));
    proxy.call(GET).await;
    proxy.call("PUT /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-customer: k\r\ncontent-length: 2\r\n\r\nhi").await;
    let record = proxy.records.recv().await.unwrap();
    assert_eq!((&*record.service, &*record.customer), ("catalogue", "default"));
    let record = proxy.records.recv().await.unwrap();
    assert_eq!((&*record.customer, record.outcome), ("k", Some(hemlockford_core::outcome::Outcome::Answered)));
    for (name, value) in [
        ("hemlockford_calls_total", 2),
        ("hemlockford_attempts_total", 2),
        ("hemlockford_connections_opened_total", 1),
        ("hemlockford_connections_reused_total", 1),
        ("hemlockford_body_bytes_total", 6),
    ] {
        assert_eq!(proxy.counter(name), value, "{name}");
    }
}

/// Guards against a refusal over the limit of a customer that does not say when to come back, or that may count as run.
#[actix_rt::test]
async fn a_call_over_the_limit_of_its_customer_is_not_run() {
    let mut script = Script::to(refused_address());
    script.servers.clear();
    script.reason = NotRunReason::Quota;
    let got = TestProxy::start(script).call(GET).await;
    assert_eq!((got.status, got.outcome()), (429, "not-run; quota"));
    assert!(got.header("retry-after").is_some());
}
