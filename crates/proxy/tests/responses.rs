//! How servers' responses are forwarded to callers.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::time::Duration,
    support::{Script, TestProxy, eventually, fixed_response_server, serve, sleep_ms},
};

const GET: &str = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n";

/// Guards against a truncated response that reaches the caller as a complete one.
#[actix_rt::test]
async fn truncated_responses_are_never_terminated() {
    let cut = [
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
    ];
    // A response that nothing follows is held for 100 ms if its length is not known.
    for (response, pause) in cut.into_iter().flat_map(|response| [(response, 20), (response, 300)]) {
        for version in ["1.1", "1.0"] {
            let server = serve(move |mut io, _| async move {
                io.message(false).await;
                io.send(response).await;
                sleep_ms(pause).await;
            })
            .await;
            let proxy = TestProxy::start(Script::to(server.address));
            let mut caller = proxy.caller().await;
            caller.send(&GET.replace("1.1", version)).await;
            if response.contains("content-length: 100\r\n") || pause == 20 || response.ends_with("zz\r\n") {
                // A short response is forwarded when it is complete, so that nothing of this one was.
                let got = caller.response().await;
                assert_eq!((got.status, got.outcome()), (502, "unknown; connection-lost"), "{version}");
                assert!(!String::from_utf8_lossy(&got.body).contains("hello"));
                assert_eq!(proxy.results(), [AttemptResult::BrokenAfterWrite]);
                continue;
            }
            // An HTTP/1.0 caller treats the end of the connection as the end of the response.
            let mut buf = [0; 1_024];
            let end = loop {
                let read = tokio::io::AsyncReadExt::read(&mut caller.io, &mut buf);
                match actix_rt::time::timeout(Duration::from_secs(5), read).await.expect("the connection ends") {
                    Ok(0) => break "end of file",
                    Ok(read) => caller.buf.extend(&buf[..read]),
                    Err(_) => break "reset",
                }
            };
            assert_eq!(end, "reset", "{response:?} to a caller of version {version}");
            let got = String::from_utf8_lossy(&caller.buf).into_owned();
            assert!(!got.contains("0\r\n\r\n") || got.contains("content-length: 100\r\n\r\n"), "{got}");
            assert_eq!(proxy.results(), [AttemptResult::BrokenAfterWrite]);
        }
    }
}

/// Guards against forwarding a response whose end cannot be distinguished from a truncation.
#[actix_rt::test]
async fn responses_with_an_undetectable_end_are_refused() {
    let long: &'static str = Box::leak(format!("HTTP/1.1 200 OK\r\nx: {}", "a".repeat(70_000)).into_boxed_str());
    let bad = [
        "HTTP/1.1 200 OK\r\n\r\nuntil the end",
        "HTTP/1.0 200 OK\r\n\r\nuntil the end",
        "garbage that is no head\r\n\r\n",
        "HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        long,
    ];
    for response in bad {
        let (server, _) = fixed_response_server(response).await;
        let proxy = TestProxy::start(Script::to(server.address));
        let got = proxy.call(GET).await;
        assert_eq!((got.status, got.outcome()), (502, "unknown; bad-answer"), "{:.60}", response);
        assert_eq!(proxy.results(), [AttemptResult::BadAnswer], "{:.60}", response);
    }
}

/// Guards against responses without a body that stall the caller or leave bytes for the next response.
#[actix_rt::test]
async fn responses_without_a_body_end_with_the_head() {
    let cases = [
        ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n", Some("100")),
        ("HEAD", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", None),
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n", None),
        ("GET", "HTTP/1.1 304 Not Modified\r\ncontent-length: 100\r\netag: \"a\"\r\n\r\n", Some("100")),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", Some("0")),
    ];
    for (method, response, length) in cases {
        let (server, _) = fixed_response_server(response).await;
        let proxy = TestProxy::start(Script::to(server.address));
        let mut caller = proxy.caller().await;
        for _ in 0..2 {
            caller.send(&GET.replace("GET", method)).await;
            let got = caller.message(method == "HEAD").await.unwrap();
            assert_eq!(got.header("content-length"), length, "{method} {response:?}");
            assert_eq!(got.outcome(), "answered");
        }
        sleep_ms(20).await;
        assert!(caller.buf.is_empty());
        assert_eq!(server.connections.get(), 1, "the connection is reused after {response:?}");
    }
}

/// Guards against following redirects, which repeats the request.
#[actix_rt::test]
async fn redirects_pass_through() {
    let (server, seen) =
        fixed_response_server("HTTP/1.1 307 Temporary Redirect\r\nlocation: /booking/b\r\ncontent-length: 0\r\n\r\n")
            .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let got = proxy.call("POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\nhi").await;
    assert_eq!((got.status, got.header("location")), (307, Some("/booking/b")));
    assert_eq!(got.header("hemlockford-once"), Some("sent-once"));
    assert_eq!(seen.borrow().len(), 1);
}

/// Guards against an interim response that is treated as the final response.
#[actix_rt::test]
async fn interim_responses_are_skipped() {
    let (server, _) = fixed_response_server(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
         HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    )
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let got = proxy.call(GET).await;
    assert_eq!((got.status, got.body.as_slice()), (200, b"ok".as_slice()));
}

/// Guards against sending chunks to a caller that does not support them.
#[actix_rt::test]
async fn a_caller_of_version_1_0_gets_no_chunks() {
    let (server, _) =
        fixed_response_server("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n").await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    caller.send("GET /catalogue/a HTTP/1.0\r\nconnection: keep-alive\r\n\r\n").await;
    let got = caller.rest().await;
    let (head, body) = got.split_once("\r\n\r\n").unwrap();
    assert_eq!(body, "ok");
    // Without `keep-alive` an HTTP/1.0 connection ends with the response.
    assert!(!head.contains("chunked") && !head.contains("keep-alive") && !head.contains("content-length"), "{head}");
}

/// Guards against surplus bytes after a response that reach the next caller as its response.
#[actix_rt::test]
async fn surplus_bytes_after_a_response_reach_no_other_caller() {
    // They arrive with the response, right after it, and on the idle connection.
    for delay in [None, Some(0), Some(20)] {
        let server = serve(move |mut io, number| async move {
            while io.message(false).await.is_some() {
                let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                let beyond = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
                match delay {
                    None => io.send(&format!("{response}{beyond}")).await,
                    Some(delay) => {
                        io.send(&response).await;
                        sleep_ms(delay).await;
                        io.send(beyond).await;
                    }
                }
            }
        })
        .await;
        // The next call is made after the bytes have arrived, or so early that only the reuse delay protects it from
        // them.
        for (rest, wait) in [(0, 40), (60, 0)] {
            let first = server.connections.get();
            let mut script = Script::to(server.address);
            script.options.reuse_delay = Duration::from_millis(rest);
            let proxy = TestProxy::start(script);
            for number in first..first + 3 {
                assert_eq!(proxy.call(GET).await.body, number.to_string().as_bytes(), "{delay:?} {rest}");
                sleep_ms(wait).await;
            }
        }
    }
}

/// Guards against a late response, after the deadline, that reaches the next caller.
#[actix_rt::test]
async fn late_responses_reach_no_other_caller() {
    let server = serve(|mut io, number| async move {
        while io.message(false).await.is_some() {
            sleep_ms(if number == 0 { 150 } else { 0 }).await;
            io.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}")).await;
        }
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    caller.send("GET /catalogue/a HTTP/1.1\r\nhost: x\r\nhemlockford-deadline: 60\r\n\r\n").await;
    let got = caller.response().await;
    assert_eq!((got.status, got.outcome()), (504, "unknown; timeout"));
    assert!(got.header("retry-after").is_some());
    sleep_ms(150).await;
    caller.send(GET).await;
    assert_eq!(caller.response().await.body, b"1");
    assert!(eventually(Duration::from_secs(1), || proxy.results().len() == 2).await);
    assert_eq!(proxy.results(), [AttemptResult::Timeout, AttemptResult::Complete]);
}

/// Guards against mixing up the responses to pipelined requests.
#[actix_rt::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = serve(|mut io, _| async move {
        while let Some(request) = io.message(false).await {
            let is_slow = request.head.contains("/slow");
            sleep_ms(if is_slow { 50 } else { 0 }).await;
            let body = request.head.split(' ').nth(1).unwrap().to_owned();
            io.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())).await;
        }
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    let paths = ["/catalogue/slow", "/catalogue/b", "/catalogue/slow", "/catalogue/c"];
    for path in paths {
        caller.send(&format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")).await;
    }
    for path in paths {
        assert_eq!(caller.response().await.body, path.as_bytes());
    }
}

/// Guards against responses that reach the wrong caller when many callers encounter all faults of servers at the same
/// time.
#[actix_rt::test]
async fn no_caller_gets_a_part_of_the_response_to_another() {
    let server = serve(|mut io, _| async move {
        while let Some(request) = io.message(false).await {
            let path = request.head.split(' ').nth(1).unwrap().to_owned();
            let body = path.repeat(200);
            let whole = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            let chunked =
                format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n", body.len());
            match path.rsplit('/').next() {
                Some("cut") => return io.send(&whole[..whole.len() / 2]).await,
                Some("cut-chunks") => return io.send(&chunked).await,
                Some("close") => return,
                Some("late") => sleep_ms(60).await,
                Some("beyond") => io.send(&whole).await,
                Some("chunks") => {
                    io.send(&format!("{chunked}0\r\n\r\n")).await;
                    continue;
                }
                _ => {}
            }
            io.send(&whole).await;
        }
    })
    .await;
    // Surplus bytes are detected if they arrive within the reuse delay, as those of the server's two writes do.
    // Without TCP_NODELAY the second write waits for a delayed acknowledgement of the first, about 40 ms.
    let mut script = Script::to(server.address);
    script.options.reuse_delay = Duration::from_millis(30);
    let proxy = std::rc::Rc::new(TestProxy::start(script));
    let faults = ["none", "chunks", "none", "cut", "cut-chunks", "close", "late", "beyond"];
    for seed in [1_u64, 2, 3] {
        println!("seed {seed}");
        let callers: Vec<_> = (0..30)
            .map(|caller| {
                let proxy = proxy.clone();
                actix_rt::spawn(async move {
                    let (mut state, mut whole) = (seed * 1_000 + caller, 0);
                    let mut io = proxy.caller().await;
                    for number in 0..20 {
                        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                        let path = format!("/catalogue/{caller}-{number}/{}", faults[(state >> 60) as usize % 8]);
                        io.send(&format!("GET {path} HTTP/1.1\r\nhost: x\r\nhemlockford-deadline: 40\r\n\r\n")).await;
                        match io.message(false).await {
                            Some(got) if got.outcome() == "answered" => {
                                let is_own = got.body == path.repeat(200).as_bytes();
                                assert!(is_own, "seed {seed}, {path}: {:?}", String::from_utf8_lossy(&got.body[..40]));
                                whole += 1;
                            }
                            Some(got) => assert!(got.status >= 500, "{}", got.head),
                            None => io = proxy.caller().await,
                        }
                    }
                    whole
                })
            })
            .collect();
        let mut whole = 0;
        for caller in callers {
            whole += caller.await.unwrap();
        }
        println!("{whole} complete responses of {}", 30 * 20);
        assert!(whole > 0);
    }
}
