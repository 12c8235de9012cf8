//! A planned stop in two phases: requests are served until the load balancer has removed the instance, and are
//! refused afterwards.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::time::{Duration, Instant},
    support::{
        Caller, Script, TestProxy, eventually, fixed_response_server,
        platform::{self, LOOK_UP, OK, ORDER, echo, echoing_server},
        serve, sleep_ms,
    },
    tokio::sync::watch,
};

const LIMIT: Duration = Duration::from_secs(2);

fn start(script: Script) -> (TestProxy, watch::Sender<bool>) {
    let (closing, rx) = watch::channel(false);
    let mut script = script;
    script.options.serve_while_stopping = Some(rx);
    (TestProxy::start(script), closing)
}

/// Guards against refusing requests, or closing their connections, while the load balancer still sends some.
#[actix_rt::test]
async fn requests_are_served_while_draining() {
    let (server, _) = echoing_server(OK).await;
    let (proxy, closing) = start(platform::script(&[server.address]));
    let mut kept = Vec::new();
    for _ in 0..3 {
        let mut caller = proxy.caller().await;
        caller.send(LOOK_UP).await;
        assert_eq!(caller.response().await.header("connection"), None);
        kept.push(caller);
    }
    let mut silent = proxy.caller().await;
    sleep_ms(20).await;
    proxy.stop.send(true).unwrap();
    sleep_ms(600).await;
    assert!(!proxy.worker.is_finished());
    for caller in &mut kept[..2] {
        caller.send(ORDER).await;
        let got = caller.response().await;
        assert_eq!((got.status, got.header("connection")), (200, Some("close")), "on a reused connection");
        assert_eq!(caller.rest().await, "");
    }
    for request in [LOOK_UP, ORDER] {
        let mut caller = proxy.caller().await;
        caller.send(request).await;
        let got = caller.response().await;
        assert_eq!((got.status, got.header("connection")), (200, Some("close")), "on a new connection");
        assert_eq!(caller.rest().await, "");
    }
    silent.send(LOOK_UP).await;
    assert_eq!(silent.response().await.status, 200, "on a connection without a request so far");
    let got = proxy.call("GET /unknown HTTP/1.1\r\nhost: shop.example\r\n\r\n").await;
    assert_eq!((got.status, got.header("connection")), (404, Some("close")));
    closing.send(true).unwrap();
    kept[2].expect_idle_close(false).await;
    assert!(eventually(LIMIT, || proxy.worker.is_finished()).await);
    assert!(tokio::net::TcpStream::connect(proxy.address).await.is_err());
}

/// Guards against calls in progress that are cut off by either phase, or whose connections stay open.
#[actix_rt::test]
async fn calls_in_progress_are_finished_in_both_phases() {
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            sleep_ms(500).await;
            io.send(&echo(OK, &request)).await;
        }
    })
    .await;
    let (proxy, closing) = start(platform::script(&[server.address]));
    let mut before = proxy.caller().await;
    before.send(ORDER).await;
    sleep_ms(100).await;
    proxy.stop.send(true).unwrap();
    let mut draining = proxy.caller().await;
    draining.send(ORDER).await;
    sleep_ms(100).await;
    closing.send(true).unwrap();
    sleep_ms(50).await;
    let got = proxy.call(ORDER).await;
    assert_eq!((got.status, got.header("connection")), (503, Some("close")), "refused and not run");
    assert!(got.header("retry-after").is_some());
    for caller in [&mut before, &mut draining] {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("connection")), (200, Some("close")), "{}", got.head);
        assert_eq!(caller.rest().await, "");
    }
    assert!(eventually(LIMIT, || proxy.worker.is_finished()).await);
    assert_eq!(proxy.results(), [AttemptResult::Complete; 2]);
}

/// Guards against a stop that never ends because the sender that ends the draining was dropped.
#[actix_rt::test]
async fn a_lost_signal_ends_the_draining() {
    let (server, _) = echoing_server(OK).await;
    let (proxy, closing) = start(platform::script(&[server.address]));
    let mut idle = proxy.caller().await;
    idle.send(LOOK_UP).await;
    assert_eq!(idle.response().await.status, 200);
    proxy.stop.send(true).unwrap();
    sleep_ms(400).await;
    assert!(!proxy.worker.is_finished());
    drop(closing);
    idle.send(LOOK_UP).await;
    assert_eq!(idle.response().await.status, 503, "requests are refused from then on");
    assert!(eventually(LIMIT, || proxy.worker.is_finished()).await);
}

/// Guards against resetting connections in the listener's queue, which the kernel has accepted, when the listener is
/// closed.
#[actix_rt::test]
async fn connections_in_the_listener_queue_are_answered_at_the_end() {
    let (server, _) = echoing_server(OK).await;
    for _ in 0..10 {
        let (proxy, closing) = start(platform::script(&[server.address]));
        proxy.stop.send(true).unwrap();
        sleep_ms(5).await;
        let mut callers = Vec::new();
        closing.send(true).unwrap();
        // The worker runs on this thread, so that it sees neither the connections nor the signal before the next
        // await.
        for _ in 0..5 {
            let io = std::net::TcpStream::connect(proxy.address).unwrap();
            io.set_nonblocking(true).unwrap();
            callers.push(Caller { io: tokio::net::TcpStream::from_std(io).unwrap(), buf: Vec::new() });
        }
        for mut caller in callers {
            caller.send(LOOK_UP).await;
            let got = caller.response().await;
            assert_eq!((got.status, got.header("connection")), (503, Some("close")));
        }
    }
}

/// Guards against dropping a pipelined request that was read already when the connection is closed.
#[actix_rt::test]
async fn a_pipelined_request_is_answered_before_the_close() {
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            sleep_ms(200).await;
            io.send(&echo(OK, &request)).await;
        }
    })
    .await;
    let (proxy, _closing) = start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    caller.send(&format!("{LOOK_UP}{ORDER}{ORDER}")).await;
    sleep_ms(50).await;
    proxy.stop.send(true).unwrap();
    for connection in [None, None, Some("close")] {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("connection")), (200, connection), "{}", String::from_utf8_lossy(&got.body));
    }
    assert_eq!(caller.rest().await, "");
}

/// Guards against a request that crosses the close of its idle connection and gets no response, so that its caller
/// cannot tell whether it ran.
#[actix_rt::test]
async fn a_request_that_crosses_the_close_is_reported_as_not_run() {
    let (server, seen) = fixed_response_server("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    let mut script = Script::to(server.address);
    script.options.stop_grace = Duration::from_millis(20);
    let (proxy, closing) = start(script);
    let request = |method| format!("{method} /catalogue/a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
    let mut callers = Vec::new();
    for is_used in [true, true, false] {
        let mut caller = proxy.caller().await;
        if is_used {
            caller.send(&request("GET")).await;
            assert_eq!(caller.response().await.status, 200);
        }
        callers.push(caller);
    }
    sleep_ms(20).await;
    proxy.stop.send(true).unwrap();
    closing.send(true).unwrap();
    for caller in &callers {
        // What the instance sends at the end of the grace time has reached the caller, which has not read it yet.
        caller.io.readable().await.unwrap();
    }
    for (caller, method) in callers.iter_mut().zip(["POST", "HEAD", "POST"]) {
        caller.send(&request(method)).await;
        let got = caller.expect_idle_close(method == "HEAD").await;
        assert_eq!(got.outcome(), "not-run; shutting-down", "{method}");
    }
    drop(callers);
    assert!(eventually(LIMIT, || proxy.worker.is_finished()).await);
    assert_eq!(seen.borrow().len(), 2, "only the requests before the stop ran");
}

/// Guards against calls that wait for a server when the process ends and are cut off without a response, and against
/// requests that are passed on although the process ends before their deadline.
#[actix_rt::test]
async fn calls_end_before_the_process_does() {
    let (server, seen) = echoing_server(OK).await;
    for holds_calls in [true, false] {
        let mut script = platform::script(&[server.address]);
        script.holds_calls = holds_calls;
        let (end, rx) = watch::channel(None);
        script.options.calls_end = Some(rx);
        let (proxy, _closing) = start(script);
        let mut waiting = proxy.caller().await;
        if holds_calls {
            waiting.send(ORDER).await;
            assert!(eventually(LIMIT, || proxy.log.borrow().calls.len() == 1).await);
        }
        let ends_at = Instant::now() + Duration::from_millis(400);
        end.send(Some(ends_at)).unwrap();
        proxy.stop.send(true).unwrap();
        let mut late = proxy.caller().await;
        late.send(ORDER).await;
        let got = late.response().await;
        if holds_calls {
            assert_eq!(got.status, 503, "a call that came late in the grace");
            assert_eq!(waiting.response().await.status, 503, "a call that came before the stop");
            assert!(Instant::now() < ends_at + Duration::from_millis(100));
            assert!(proxy.results().is_empty(), "no server runs them");
        } else {
            assert_eq!(got.status, 200);
            let left = seen.borrow()[0].lines().find_map(|line| line.strip_prefix("x-left: ")?.parse::<u64>().ok());
            assert!(left.is_some_and(|left| left <= 400), "{:?}", seen.borrow());
        }
        assert!(proxy.log.borrow().calls.last().unwrap().deadline <= ends_at);
    }
}
