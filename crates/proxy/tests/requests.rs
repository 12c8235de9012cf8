//! Which requests are accepted from callers and how they are forwarded to servers.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::time::{Duration, Instant},
    support::{Script, TestProxy, fixed_response_server, refused_address, sleep_ms},
};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against a message that two parsers read as different requests.
#[actix_rt::test]
async fn ambiguous_framing_is_refused() {
    let (server, seen) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    let shapes = [
        "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n",
        "content-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        "content-length: 5, 6\r\n\r\nhello",
        "content-length: +5\r\n\r\nhello",
        "content-length: -5\r\n\r\nhello",
        "content-length: 0x5\r\n\r\nhello",
        "content-length: 99999999999999999999999\r\n\r\nhello",
        "content-length : 5\r\n\r\nhello",
        "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n",
        "transfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding:\u{b}chunked\r\n\r\n0\r\n\r\n",
        "x: y\r\n content-length: 5\r\n\r\nhello",
    ];
    for shape in shapes {
        let mut caller = proxy.caller().await;
        caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\n{shape}")).await;
        caller.send("GET /catalogue/smuggled HTTP/1.1\r\nhost: x\r\n\r\n").await;
        let got = caller.response().await;
        assert_eq!((got.status, got.outcome()), (400, "not-run; bad-request"), "{shape:?}");
        assert_eq!(got.header("connection"), Some("close"), "{shape:?}");
        assert_eq!(caller.rest().await, "", "nothing is parsed as a next request after {shape:?}");
    }
    assert!(seen.borrow().is_empty());
}

/// Guards against guessing the meaning of invalid values of the product's own headers.
#[actix_rt::test]
async fn invalid_header_values_are_refused() {
    let (server, seen) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    let long = format!("hemlockford-customer: {}", "a".repeat(65));
    let odd = [
        "hemlockford-deadline: soon",
        "hemlockford-deadline: -1",
        "hemlockford-deadline: +1",
        "hemlockford-deadline: 5\r\nhemlockford-deadline: 6",
        "hemlockford-depth: 25",
        "hemlockford-depth: 300",
        "hemlockford-depth: x",
        "hemlockford-customer:",
        "hemlockford-customer: a b",
        &long,
        "idempotency-key:",
    ];
    for field in odd {
        let got = proxy.call(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\n{field}\r\n\r\n")).await;
        assert_eq!((got.status, got.outcome()), (400, "not-run; bad-request"), "{field}");
        assert!(got.body.len() < 200, "the length of the explanation is limited");
    }
    let got = proxy.call("GET /elsewhere HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!((got.status, got.outcome()), (404, "not-run; unknown-service"));
    assert!(seen.borrow().is_empty());
    let long = format!("GET /catalogue HTTP/1.1\r\nx: {}\r\n\r\n", "a".repeat(70_000));
    assert_eq!(proxy.call(&long).await.status, 400);
}

/// Guards against forwarding hop-by-hop headers, and against servers that set headers of the product.
#[actix_rt::test]
async fn heads_are_translated() {
    let (server, seen) = fixed_response_server(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop\r\nx-hop: 1\r\nkeep-alive: timeout=5\r\n\
         hemlockford-outcome: not-run; overload\r\nhemlockford-once: claimed\r\nhemlockford-load: 1/2\r\nx-kept: 1\r\n\r\nok",
    )
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let got = proxy
        .call(
            "GET /catalogue/a?b=c HTTP/1.1\r\nhost: shop.example\r\nconnection: x-private, te\r\nx-private: 1\r\n\
             te: trailers\r\nupgrade: h2c\r\nforwarded: for=10.0.0.1\r\nx-forwarded-for: 10.0.0.1\r\n\
             hemlockford-customer: kovar\r\nhemlockford-depth: 3\r\nhemlockford-deadline: 900\r\n\
             hemlockford-retry-allowance: 1\r\nhemlockford-shed: 1\r\n\r\n",
        )
        .await;
    assert_eq!(got.outcome(), "answered");
    assert_eq!(got.header("x-kept"), Some("1"));
    for name in ["x-hop", "keep-alive", "hemlockford-once", "hemlockford-load"] {
        assert_eq!(got.header(name), None, "{name}");
    }
    let seen = seen.borrow()[0].to_ascii_lowercase();
    assert!(seen.starts_with("get /catalogue/a?b=c http/1.1\r\n"), "{seen}");
    for line in [
        "host: shop.example",
        "forwarded: for=10.0.0.1",
        "forwarded: for=127.0.0.1;proto=http",
        "x-forwarded-for: 10.0.0.1",
        "x-forwarded-for: 127.0.0.1",
        "hemlockford-customer: kovar",
        "hemlockford-depth: 4",
    ] {
        assert!(seen.lines().any(|other| other == line), "{line} in {seen}");
    }
    for name in ["x-private", "te:", "upgrade", "hemlockford-shed", "hemlockford-retry-allowance"] {
        assert!(!seen.lines().any(|line| line.starts_with(name)), "{name} in {seen}");
    }
    let left = seen.lines().find_map(|line| line.strip_prefix("hemlockford-deadline: ")).unwrap();
    assert!((1..=900).contains(&left.parse::<u32>().unwrap()));
    let call = proxy.log.borrow().calls[0].clone();
    assert_eq!((&*call.customer, call.depth, call.retry_allowance), ("kovar", 3, true));
}

/// Guards against forwarding a target in absolute form, or of another unusual form, unchanged.
#[actix_rt::test]
async fn unusual_targets_are_handled() {
    let (server, seen) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    for (target, status) in [
        ("GET http://y/catalogue/a?b", 200),
        ("OPTIONS *", 404),
        ("CONNECT y:1", 400),
        ("GET /../catalogue/a", 404),
        ("GET //catalogue/a", 404),
    ] {
        let got = proxy.call(&format!("{target} HTTP/1.1\r\nhost: x\r\n\r\n")).await;
        assert_eq!(got.status, status, "{target}");
    }
    assert_eq!(proxy.call("GET /catalogue/a HTTP/1.0\r\n\r\n").await.status, 200);
    assert!(seen.borrow_mut().pop().unwrap().contains(&format!("\r\nhost: {}\r\n", server.address)));
    let websocket = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n";
    assert_eq!(proxy.call(websocket).await.status, 400);
    assert_eq!(proxy.call("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await.status, 400);
    assert_eq!(seen.borrow().len(), 1);
    assert!(seen.borrow()[0].starts_with("GET /catalogue/a?b HTTP/1.1\r\n"), "{:?}", seen.borrow());
}

/// Guards against a retry token that is forwarded without a decision, or not at all.
#[actix_rt::test]
async fn the_retry_token_is_forwarded_as_decided() {
    let (server, seen) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script { pass_allowance: true, ..Script::to(server.address) });
    proxy.call("GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(seen.borrow()[0].contains("hemlockford-retry-allowance: 1\r\n"));
    proxy.call("GET /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-depth: 1\r\n\r\n").await;
    let allowances: Vec<bool> = proxy.log.borrow().calls.iter().map(|call| call.retry_allowance).collect();
    assert_eq!(allowances, [true, false], "the first entry may issue a token, later ones need one");
}

/// Guards against requesting a load report without a decision, for example because a caller asks for it. Such reports
/// would not be covered by the measuring budget.
#[actix_rt::test]
async fn a_load_report_is_requested_only_as_decided() {
    for want_report in [true, false] {
        let (server, seen) = fixed_response_server(OK).await;
        let proxy = TestProxy::start(Script { want_report, ..Script::to(server.address) });
        proxy.call("GET /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-want-load: 1\r\n\r\n").await;
        assert_eq!(seen.borrow()[0].matches("hemlockford-want-load: 1\r\n").count(), usize::from(want_report));
    }
}

/// Guards against a caller that waits for an interim response which is never sent.
#[actix_rt::test]
async fn a_caller_that_expects_100_gets_100_continue() {
    let (server, seen) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script::to(server.address));
    let head = "POST /booking/a HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 5\r\n\r\n";
    let mut caller = proxy.caller().await;
    caller.send(head).await;
    assert_eq!(caller.response().await.status, 100);
    caller.send("hello").await;
    assert_eq!(caller.response().await.status, 200);
    assert!(seen.borrow()[0].ends_with("hello") && !seen.borrow()[0].contains("expect"));
    // A refused request is answered without requesting its body.
    let proxy = TestProxy::start(Script::to(refused_address()));
    let got = proxy.call(head).await;
    assert_eq!((got.status, got.outcome()), (503, "not-run; refused"));
}

/// Guards against callers that occupy a connection by sending slowly.
#[actix_rt::test]
async fn slow_senders_are_closed() {
    let (server, _) = fixed_response_server(OK).await;
    let mut script = Script::to(server.address);
    script.options.head_timeout = Duration::from_millis(100);
    script.options.body_idle_timeout = Duration::from_millis(100);
    let proxy = TestProxy::start(script);
    let start = Instant::now();
    let mut silent = proxy.caller().await;
    assert_eq!(silent.rest().await, "");
    let mut slow = proxy.caller().await;
    slow.send("GET /catalogue/a HTT").await;
    assert_eq!(slow.response().await.status, 400);
    assert_eq!(slow.rest().await, "");
    let mut slow = proxy.caller().await;
    slow.send("POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhel").await;
    let got = slow.response().await;
    assert_eq!((got.status, got.outcome()), (504, "unknown; timeout"));
    assert_eq!(slow.rest().await, "");
    assert!(start.elapsed() < Duration::from_secs(4));
    assert_eq!(proxy.results(), [AttemptResult::CallerLeft], "a slow caller is not a fault of the server");
}

/// Guards against a body that ends early and is forwarded as complete.
#[actix_rt::test]
async fn a_body_that_is_cut_off_is_not_completed() {
    for body in [
        "content-length: 9\r\n\r\nhello",
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\nfffffffffffffffff\r\n",
    ] {
        let (server, seen) = fixed_response_server(OK).await;
        let proxy = TestProxy::start(Script::to(server.address));
        let mut caller = proxy.caller().await;
        caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\n{body}")).await;
        sleep_ms(30).await;
        drop(caller);
        sleep_ms(50).await;
        assert!(seen.borrow().is_empty(), "{body:?}");
        assert_eq!(proxy.results(), [AttemptResult::CallerLeft]);
    }
}

/// Guards against the rest of a refused request that is parsed as the next one, and against a body after HEAD.
#[actix_rt::test]
async fn refused_requests_keep_the_connection_synchronized() {
    let proxy = TestProxy::start(Script::to(refused_address()));
    let mut caller = proxy.caller().await;
    let post = "POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n";
    for _ in 0..3 {
        caller.send(post).await;
        assert_eq!(caller.response().await.outcome(), "not-run; refused");
        caller.send(&"GET /catalogue/a ".repeat(4_000)[..60_000]).await;
        caller.send("HEAD /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\nGET /other HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert_eq!(caller.message(true).await.unwrap().outcome(), "not-run; refused");
        assert_eq!(caller.response().await.outcome(), "not-run; unknown-service");
    }
    assert_eq!(proxy.log.borrow().calls.len(), 6);
}

/// Guards against serving more callers than the limit of a worker.
#[actix_rt::test]
async fn callers_beyond_the_limit_are_refused_at_once() {
    let (server, _) = fixed_response_server(OK).await;
    let mut script = Script::to(server.address);
    script.options.max_callers = 1;
    let proxy = TestProxy::start(script);
    let request = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut first = proxy.caller().await;
    first.send(request).await;
    assert_eq!(first.response().await.status, 200);
    let got = proxy.call(request).await;
    assert_eq!((got.status, got.outcome()), (503, "not-run; overload"));
    drop(first);
    sleep_ms(30).await;
    assert_eq!(proxy.call(request).await.status, 200);
}
