//! Servers that never answer a request which they cannot queue, nor any later one on its connection.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::time::{Duration, Instant},
    support::{
        Caller, Server, TestProxy, eventually,
        platform::{self, LOOK_UP, OK, ORDER, echo, with},
        serve, sleep_ms,
    },
};

const DEADLINE: &str = "x-left: 200";
const LIMIT: Duration = Duration::from_secs(1);

/// Starts a server that answers the first requests on each connection, and nothing after them.
async fn silent_server(answered: usize) -> Server {
    serve(move |mut io: Caller, number| async move {
        let mut count = 0;
        while let Some(request) = io.message(false).await {
            count += 1;
            // Later connections are served.
            if number > 0 || count <= answered {
                io.send(&echo(OK, &request)).await;
            }
        }
    })
    .await
}

/// Guards against a connection that is used again after a silence, on which every later request would hang too.
#[actix_rt::test]
async fn a_connection_is_not_used_after_a_silence() {
    for (request, status) in [(LOOK_UP, 504), (ORDER, 504)] {
        let server = silent_server(1).await;
        let proxy = TestProxy::start(platform::script(&[server.address]));
        assert_eq!(proxy.call(request).await.status, 200);
        let start = Instant::now();
        let got = proxy.call(&with(request, DEADLINE)).await;
        assert_eq!(got.status, status, "it may have run");
        assert!(start.elapsed() < LIMIT, "{:?}", start.elapsed());
        assert_eq!(server.connections.get(), 1, "the silence is on the connection that was kept");
        assert_eq!(proxy.call(request).await.status, 200);
        assert_eq!(server.connections.get(), 2);
        assert_eq!(proxy.results(), [AttemptResult::Complete, AttemptResult::Timeout, AttemptResult::Complete]);
    }
}

/// Guards against an order that is sent once more because its server was silent.
#[actix_rt::test]
async fn an_order_is_not_sent_again_after_a_silence() {
    let server = silent_server(0).await;
    let (other, seen) = platform::echoing_server(OK).await;
    let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
    assert_eq!(proxy.call(&with(ORDER, DEADLINE)).await.status, 504);
    sleep_ms(50).await;
    assert!(seen.borrow().is_empty());
}

/// Guards against a request that is left running at the server after its caller has given up on the silence.
#[actix_rt::test]
async fn a_caller_that_gives_up_frees_the_place() {
    let server = silent_server(0).await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    caller.send(LOOK_UP).await;
    sleep_ms(50).await;
    drop(caller);
    assert!(eventually(LIMIT, || proxy.results() == [AttemptResult::CallerLeft]).await);
}

/// Guards against a call that is given up, or sent to another server, because its server is silent for some seconds
/// while it works.
#[actix_rt::test]
async fn a_server_that_is_only_slow_to_answer_keeps_its_call() {
    for request in [LOOK_UP, ORDER] {
        let server = serve(|mut io: Caller, _| async move {
            while let Some(request) = io.message(false).await {
                sleep_ms(1_500).await;
                io.send(&echo(OK, &request)).await;
            }
        })
        .await;
        let (other, seen) = platform::echoing_server(OK).await;
        let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
        let got = proxy.call(&with(request, "x-left: 1900")).await;
        assert_eq!(got.status, 200, "{}", got.head);
        assert!(seen.borrow().is_empty(), "it was sent to one server only");
        assert_eq!(proxy.results(), [AttemptResult::Complete]);
    }
}
