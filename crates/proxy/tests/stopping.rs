//! A planned stop in two phases: requests are served until the instance is out of the balancer, and then refused.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::time::Duration,
    support::{
        Caller, Script, TestProxy, answering, pause,
        platform::{self, LOOK_UP, OK, ORDER, echo, echoing},
        serve, within,
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

/// Guards against requests that are refused, or meet a closed connection, while the balancer still sends some.
#[actix_rt::test]
async fn requests_are_served_while_draining() {
    let (server, _) = echoing(OK).await;
    let (proxy, closing) = start(platform::script(&[server.address]));
    let mut kept = Vec::new();
    for _ in 0..3 {
        let mut caller = proxy.caller().await;
        caller.send(LOOK_UP).await;
        assert_eq!(caller.answer().await.header("connection"), None);
        kept.push(caller);
    }
    let mut silent = proxy.caller().await;
    pause(20).await;
    proxy.stop.send(true).unwrap();
    pause(600).await;
    assert!(!proxy.worker.is_finished());
    for caller in &mut kept[..2] {
        caller.send(ORDER).await;
        let got = caller.answer().await;
        assert_eq!((got.status, got.header("connection")), (200, Some("close")), "on a kept connection");
        assert_eq!(caller.rest().await, "");
    }
    for request in [LOOK_UP, ORDER] {
        let mut caller = proxy.caller().await;
        caller.send(request).await;
        let got = caller.answer().await;
        assert_eq!((got.status, got.header("connection")), (200, Some("close")), "on a new connection");
        assert_eq!(caller.rest().await, "");
    }
    silent.send(LOOK_UP).await;
    assert_eq!(silent.answer().await.status, 200, "on a connection without a request so far");
    let got = proxy.call("GET /unknown HTTP/1.1\r\nhost: shop.example\r\n\r\n").await;
    assert_eq!((got.status, got.header("connection")), (404, Some("close")));
    closing.send(true).unwrap();
    kept[2].idle_end(false).await;
    assert!(within(LIMIT, || proxy.worker.is_finished()).await);
    assert!(tokio::net::TcpStream::connect(proxy.address).await.is_err());
}

/// Guards against calls in progress that are cut off by either phase, or whose connections stay open.
#[actix_rt::test]
async fn calls_in_progress_are_finished_in_both_phases() {
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            pause(500).await;
            io.send(&echo(OK, &request)).await;
        }
    })
    .await;
    let (proxy, closing) = start(platform::script(&[server.address]));
    let mut before = proxy.caller().await;
    before.send(ORDER).await;
    pause(100).await;
    proxy.stop.send(true).unwrap();
    let mut draining = proxy.caller().await;
    draining.send(ORDER).await;
    pause(100).await;
    closing.send(true).unwrap();
    pause(50).await;
    let got = proxy.call(ORDER).await;
    assert_eq!((got.status, got.header("connection")), (503, Some("close")), "refused as not run");
    assert!(got.header("retry-after").is_some());
    for caller in [&mut before, &mut draining] {
        let got = caller.answer().await;
        assert_eq!((got.status, got.header("connection")), (200, Some("close")), "{}", got.head);
        assert_eq!(caller.rest().await, "");
    }
    assert!(within(LIMIT, || proxy.worker.is_finished()).await);
    assert_eq!(proxy.results(), [AttemptResult::Complete; 2]);
}

/// Guards against a stop that never ends because the task that ends the draining is gone.
#[actix_rt::test]
async fn a_lost_signal_ends_the_draining() {
    let (server, _) = echoing(OK).await;
    let (proxy, closing) = start(platform::script(&[server.address]));
    let mut idle = proxy.caller().await;
    idle.send(LOOK_UP).await;
    assert_eq!(idle.answer().await.status, 200);
    proxy.stop.send(true).unwrap();
    pause(400).await;
    assert!(!proxy.worker.is_finished());
    drop(closing);
    idle.send(LOOK_UP).await;
    assert_eq!(idle.answer().await.status, 503, "requests are refused from then on");
    assert!(within(LIMIT, || proxy.worker.is_finished()).await);
}

/// Guards against connections that the kernel has accepted and that are reset with the listener.
#[actix_rt::test]
async fn connections_in_the_queue_are_answered_at_the_end() {
    let (server, _) = echoing(OK).await;
    for _ in 0..10 {
        let (proxy, closing) = start(platform::script(&[server.address]));
        proxy.stop.send(true).unwrap();
        pause(5).await;
        let mut callers = Vec::new();
        closing.send(true).unwrap();
        // The worker runs on this thread, so that it sees neither the connections nor the signal before the pause.
        for _ in 0..5 {
            let io = std::net::TcpStream::connect(proxy.address).unwrap();
            io.set_nonblocking(true).unwrap();
            callers.push(Caller { io: tokio::net::TcpStream::from_std(io).unwrap(), buf: Vec::new() });
        }
        for mut caller in callers {
            caller.send(LOOK_UP).await;
            let got = caller.answer().await;
            assert_eq!((got.status, got.header("connection")), (503, Some("close")));
        }
    }
}

/// Guards against a request that was read behind another one and is dropped with the connection.
#[actix_rt::test]
async fn a_pipelined_request_is_answered_before_the_close() {
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            pause(200).await;
            io.send(&echo(OK, &request)).await;
        }
    })
    .await;
    let (proxy, _closing) = start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    caller.send(&format!("{LOOK_UP}{ORDER}{ORDER}")).await;
    pause(50).await;
    proxy.stop.send(true).unwrap();
    for connection in [None, None, Some("close")] {
        let got = caller.answer().await;
        assert_eq!((got.status, got.header("connection")), (200, connection));
    }
    assert_eq!(caller.rest().await, "");
}

/// Guards against a request that crosses the close of its idle connection and gets no answer, so that its caller cannot
/// tell whether it ran.
#[actix_rt::test]
async fn a_request_that_crosses_the_close_is_told_that_it_did_not_run() {
    let (server, seen) = answering("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;
    let mut script = Script::to(server.address);
    script.options.stop_grace = Duration::from_millis(20);
    let (proxy, closing) = start(script);
    let request = |method| format!("{method} /catalogue/a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
    let mut callers = Vec::new();
    for is_used in [true, true, false] {
        let mut caller = proxy.caller().await;
        if is_used {
            caller.send(&request("GET")).await;
            assert_eq!(caller.answer().await.status, 200);
        }
        callers.push(caller);
    }
    pause(20).await;
    proxy.stop.send(true).unwrap();
    closing.send(true).unwrap();
    for caller in &callers {
        // Whatever the instance does when the grace ends has reached the caller, which does not know of it yet.
        caller.io.readable().await.unwrap();
    }
    for (caller, method) in callers.iter_mut().zip(["POST", "HEAD", "POST"]) {
        caller.send(&request(method)).await;
        let got = caller.idle_end(method == "HEAD").await;
        assert_eq!(got.outcome(), "not-run; shutting-down", "{method}");
    }
    drop(callers);
    assert!(within(LIMIT, || proxy.worker.is_finished()).await);
    assert_eq!(seen.borrow().len(), 2, "only the requests before the stop ran");
}
