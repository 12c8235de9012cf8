//! Matching of responses to requests, and responses that state that the request did not run.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::time::Duration,
    support::{
        Caller, Server, TestProxy, eventually,
        platform::{self, LOOK_UP, OK, ORDER, echo, echoing_server, with},
        refused_address, serve, sleep_ms,
    },
};

const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: overload\r\ncontent-length: 4\r\n\r\nbusy";
const OWN_503: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-signed: s\r\nretry-after: 9\r\ncontent-length: 3\r\n\r\nown";

/// Starts a server that modifies the first response on each connection by a function and sends the others unmodified.
async fn first(response: impl Fn(&str, &support::Message) -> String + Copy + 'static) -> Server {
    serve(move |mut io: Caller, _| async move {
        let mut is_first = true;
        while let Some(request) = io.message(false).await {
            let text = if is_first { response(OK, &request) } else { echo(OK, &request) };
            io.send(&text).await;
            is_first = false;
        }
    })
    .await
}

/// Guards against forwarding a response to another request, and against reusing the connection on which it arrived.
#[actix_rt::test]
async fn a_response_without_the_id_is_not_forwarded() {
    let faults: [fn(&str, &support::Message) -> String; 6] = [
        |response, _| response.into(),
        |response, _| with(response, "x-id: 99"),
        |response, _| with(response, "x-id:"),
        |response, request| with(&echo(response, request), "x-id: 99"),
        |_, _| with(SHED, "x-id: 99"),
        |_, _| "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n".into(),
    ];
    for (number, fault) in faults.into_iter().enumerate() {
        for request in [LOOK_UP, ORDER] {
            let server = first(fault).await;
            let proxy = TestProxy::start(platform::script(&[server.address, refused_address()]));
            let got = proxy.call(request).await;
            assert_eq!(got.status, 502, "{number} {request:.8}: {}", got.head);
            assert_eq!(proxy.results()[0], AttemptResult::BadAnswer, "{number}");
            assert!(!got.head.contains("99"), "{number} {}", got.head);
            assert!(eventually(Duration::from_secs(1), || server.connections.get() == 1).await);
            proxy.call(request).await;
            assert_eq!(server.connections.get(), 2, "{number}: the connection is not reused");
        }
    }
}

/// Guards against sending a non-idempotent request again after a response to another request.
#[actix_rt::test]
async fn an_order_is_not_sent_again_after_an_invalid_response() {
    let server = first(|response, _| response.into()).await;
    let (other, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
    let got = proxy.call(ORDER).await;
    assert_eq!(got.status, 502, "regardless of the dispatcher's decision");
    assert!(seen.borrow().is_empty());
    assert_eq!(proxy.call(LOOK_UP).await.status, 200, "a look-up is sent again");
}

/// Guards against an extra response that is mistaken for the response to the next request, whether it arrives with
/// the response, on the idle connection, or where the next response is expected.
#[actix_rt::test]
async fn an_extra_response_is_not_forwarded() {
    for delay in [None, Some(20), Some(120)] {
        let server = serve(move |mut io, _| async move {
            while let Some(request) = io.message(false).await {
                let response = echo(OK, &request);
                match delay {
                    None => io.send(&response.repeat(2)).await,
                    Some(delay) => {
                        io.send(&response).await;
                        sleep_ms(delay).await;
                        io.send(&response).await;
                    }
                }
            }
        })
        .await;
        let proxy = TestProxy::start(platform::script(&[server.address]));
        for number in 0..4 {
            let request = LOOK_UP.replace("x-id: 7", &format!("x-id: {number}"));
            let got = proxy.call(&request).await;
            let is_own = got.status == 200 && got.header("x-id") == Some(&number.to_string());
            assert!(is_own || got.status == 502, "{delay:?} {number}: {}", got.head);
            sleep_ms(60).await;
        }
        let results = proxy.results();
        assert_eq!(results[0], AttemptResult::Complete);
        assert_eq!(results.contains(&AttemptResult::BadAnswer), delay == Some(120), "{delay:?} {results:?}");
    }
}

/// Guards against requests without an id, whose responses could not be matched, and against ids that are modified.
#[actix_rt::test]
async fn every_request_has_an_id() {
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    for _ in 0..2 {
        assert_eq!(proxy.call(&LOOK_UP.replace("x-id: 7\r\n", "")).await.status, 200);
    }
    assert_eq!(proxy.call(&LOOK_UP.replace("x-id: 7", "x-id: a b/\u{7e}")).await.header("x-id"), Some("a b/~"));
    let ids: Vec<String> = seen
        .borrow()
        .iter()
        .map(|seen| seen.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap().to_owned())
        .collect();
    assert_ne!(ids[0], ids[1]);
    assert_eq!(ids[2], "a b/~");
    let got = proxy.call(&LOOK_UP.replace("x-id: 7", "x-id: 7\r\nx-id: 8")).await;
    assert_eq!(got.status, 400, "a request has only one id");
}

/// Guards against *may have run* for a request that the server states it did not run, and against forwarding that
/// response as the server's own result.
#[actix_rt::test]
async fn a_response_marked_as_not_run_is_not_run() {
    let marked: [fn(&str, &support::Message) -> String; 4] = [
        |_, request| echo(SHED, request),
        |_, _| SHED.into(),
        |_, request| echo(&SHED.replace("503 Service Unavailable", "429 Too Many Requests"), request),
        |_, request| echo(&SHED.replace("503 Service Unavailable", "500 Internal Server Error"), request),
    ];
    for (number, marked) in marked.into_iter().enumerate() {
        for request in [LOOK_UP, ORDER] {
            let server = first(marked).await;
            let proxy = TestProxy::start(platform::script(&[server.address]));
            let got = proxy.call(request).await;
            assert_eq!((got.status, got.header("retry-after")), (503, Some("1")), "{number}");
            assert_eq!(proxy.results(), [AttemptResult::Shed], "{number}");
            let (working, seen) = echoing_server(OK).await;
            let proxy = TestProxy::start(platform::script(&[server.address, working.address]));
            assert_eq!(proxy.call(request).await.status, 200, "{number}: it may be sent to another server");
            assert_eq!(seen.borrow().len(), 1);
            assert!(request == LOOK_UP || seen.borrow()[0].ends_with("\r\n\r\nhi"), "{:?}", seen.borrow());
        }
    }
    // The mark contradicts a successful response, which is forwarded.
    let server = first(|response, request| with(&echo(response, request), "x-not-run: 1")).await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    assert_eq!(proxy.call(ORDER).await.status, 200);
}

/// Guards against forwarding a server's 421 that was caused by an outdated address at the entry, and against requests
/// that do not name the intended server.
#[actix_rt::test]
async fn a_misdirected_request_is_not_run() {
    let (server, seen) = echoing_server("HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n").await;
    let (working, _) = echoing_server(OK).await;
    for request in [LOOK_UP, ORDER] {
        let proxy = TestProxy::start(platform::script(&[server.address, working.address]));
        assert_eq!(proxy.call(request).await.status, 200);
        assert_eq!(proxy.results(), [AttemptResult::Misdirected, AttemptResult::Complete]);
        let proxy = TestProxy::start(platform::script(&[server.address]));
        assert_eq!(proxy.call(request).await.status, 502, "the outcome of the scripted dispatcher");
    }
    assert!(seen.borrow().iter().all(|seen| seen.contains("\r\nx-for: server-1\r\n")), "{:?}", seen.borrow());
    // Without the expected server in the request, 421 is the server's own response.
    let mut script = platform::script(&[server.address]);
    script.options.dialect.expected_server_header = None;
    let proxy = TestProxy::start(script);
    assert_eq!(proxy.call(ORDER).await.status, 421);
    assert_eq!(proxy.results(), [AttemptResult::Complete]);
}

/// Guards against replacing a server's own response to a non-idempotent request by an outcome of the entry.
#[actix_rt::test]
async fn a_servers_own_failures_are_forwarded_unchanged() {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout", "500 Oh"] {
        let response: &'static str = Box::leak(OWN_503.replace("503 Service Unavailable", status).into_boxed_str());
        let (server, _) = echoing_server(response).await;
        let (other, seen) = echoing_server(OK).await;
        let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
        let got = proxy.call(ORDER).await;
        assert_eq!(got.status.to_string(), status[..3]);
        assert_eq!((got.header("x-signed"), got.header("retry-after")), (Some("s"), Some("9")), "{status}");
        assert_eq!((got.header("x-id"), got.body.as_slice()), (Some("8"), b"own".as_slice()), "{status}");
        assert!(seen.borrow().is_empty(), "{status}");
    }
}

/// Guards against adding the product's own headers where the dialect does not have them, and against losing other
/// headers there.
#[actix_rt::test]
async fn headers_are_forwarded_unchanged() {
    let (server, seen) = echoing_server(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-load: 2,1,4,150\r\nhemlockford-outcome: x\r\nkeep-alive: timeout=5\r\n\
         connection: x-hop\r\nx-hop: 1\r\nset-cookie: a=1\r\nset-cookie: b=2\r\ndate: d\r\n\r\nok",
    )
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let request = "GET /look-up/a?b=c HTTP/1.1\r\nhost: shop.example\r\nx-id: 7\r\nx-for: me\r\nx-left: 500\r\n\
                   connection: x-private\r\nx-private: 1\r\nforwarded: for=10.0.0.1\r\nhemlockford-depth: no\r\n\
                   idempotency-key:\r\nuser-agent: u\r\n\r\n";
    let got = proxy.call(request).await;
    let mut fields: Vec<&str> = got.head.trim_end().lines().skip(1).collect();
    fields.sort_unstable();
    let expected = [
        "content-length: 2",
        "date: d",
        "hemlockford-outcome: x",
        "set-cookie: a=1",
        "set-cookie: b=2",
        "x-id: 7",
        "x-load: 2,1,4,150",
    ];
    assert_eq!(fields, expected);
    let seen = seen.borrow()[0].clone();
    let mut fields: Vec<&str> = seen.trim_end().lines().skip(1).collect();
    fields.retain(|field| !field.starts_with("x-left: ") && !field.starts_with("date: "));
    fields.sort_unstable();
    let expected = [
        "forwarded: for=10.0.0.1",
        "hemlockford-depth: no",
        "host: shop.example",
        "idempotency-key: ",
        "user-agent: u",
        "x-for: server-1",
        "x-id: 7",
    ];
    assert_eq!(fields, expected);
}

/// Guards against replacing a server's error response by an error of the entry when no better response is available.
#[actix_rt::test]
async fn the_first_error_is_forwarded_if_no_better_response_follows() {
    let error = "HTTP/1.1 500 Oh\r\nx-signed: s\r\ncontent-length: 3\r\n\r\nown";
    let (failing, _) = echoing_server(error).await;
    let (working, _) = echoing_server(OK).await;
    let (shedding, _) = echoing_server(SHED).await;
    let closing = serve(|mut io, _| async move {
        io.message(false).await;
    })
    .await;
    let silent = serve(|mut io, _| async move {
        io.message(false).await;
        sleep_ms(10_000).await;
    })
    .await;
    let chunked = "HTTP/1.1 500 Oh\r\nx-signed: s\r\ntransfer-encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n";
    let (chunked, _) = echoing_server(chunked).await;
    for first in [failing.address, chunked.address] {
        for second in
            [None, Some(refused_address()), Some(shedding.address), Some(closing.address), Some(silent.address)]
        {
            let servers: Vec<_> = [first].into_iter().chain(second).collect();
            let proxy = TestProxy::start(platform::script(&servers));
            let got = proxy.call(&LOOK_UP.replace("x-id: 7", "x-id: 7\r\nx-left: 400")).await;
            let told = (got.status, got.header("x-signed"), got.header("x-id"), got.body.as_slice());
            assert_eq!(told, (500, Some("s"), Some("7"), b"own".as_slice()), "{second:?}");
        }
        let proxy = TestProxy::start(platform::script(&[first, working.address]));
        assert_eq!(proxy.call(LOOK_UP).await.status, 200);
    }
    // A long body is not buffered, and must not be replaced by an empty one or its first part.
    let long: &'static str = Box::leak(
        format!("HTTP/1.1 500 Oh\r\nx-signed: s\r\ncontent-length: 100000\r\n\r\n{}", "a".repeat(100_000)).into(),
    );
    let (failing, _) = echoing_server(long).await;
    let proxy = TestProxy::start(platform::script(&[failing.address, refused_address()]));
    let got = proxy.call(LOOK_UP).await;
    assert_eq!((got.status, got.header("x-signed"), got.body.len()), (500, Some("s"), 100_000));
    let proxy = TestProxy::start(platform::script(&[failing.address]));
    assert_eq!(proxy.call(LOOK_UP).await.body.len(), 100_000);
}
