//! Requests that a caller sends before it has the responses to earlier ones.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    support::{
        Caller, Script, Server, TestProxy, eventually,
        platform::{self, echo, with},
        serve, sleep_ms,
    },
    tokio::{io::AsyncReadExt, sync::watch},
};

const LIMIT: Duration = Duration::from_secs(2);
/// More than is buffered of a response.
const LONG: usize = 200_000;
/// Maximum number of requests of one connection that are handled concurrently.
const CONCURRENT: usize = 16;

/// Starts a server that sends each response after the milliseconds that end the path, with the path as the body, and
/// records the paths.
async fn delaying_server() -> (Server, Rc<RefCell<Vec<String>>>) {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let requests = seen.clone();
    let server = serve(move |mut io: Caller, _| {
        let requests = requests.clone();
        async move {
            while let Some(request) = io.message(false).await {
                let path = request.head.split(' ').nth(1).unwrap_or_default().to_owned();
                requests.borrow_mut().push(path.clone());
                sleep_ms(path.rsplit('/').next().and_then(|ms| ms.parse().ok()).unwrap_or_default()).await;
                let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}", path.len());
                io.send(&echo(&response, &request)).await;
            }
        }
    });
    (server.await, seen)
}

fn look_up(id: usize, ms: u64) -> String {
    format!("GET /look-up/{id}/{ms} HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\n\r\n")
}

fn order(id: usize) -> String {
    format!("POST /order/{id}/0 HTTP/1.1\r\nhost: shop.example\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nhi")
}

/// Guards against responses in the order in which servers finish, and against requests that wait for a slow one.
#[actix_rt::test]
async fn responses_have_the_order_of_the_requests() {
    let (server, seen) = delaying_server().await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    let start = Instant::now();
    let delays = [400, 200, 0, 300, 100, 0];
    let requests: String = delays.iter().enumerate().map(|(id, ms)| look_up(id, *ms)).collect();
    caller.send(&requests).await;
    assert!(eventually(LIMIT, || seen.borrow().len() == delays.len()).await, "all are started at once");
    assert!(start.elapsed() < Duration::from_millis(400), "before the first one has its response");
    for (id, ms) in delays.iter().enumerate() {
        let got = caller.response().await;
        let expected = format!("/look-up/{id}/{ms}");
        assert_eq!((got.status, got.header("x-id")), (200, Some(&*id.to_string())));
        assert_eq!(String::from_utf8_lossy(&got.body), expected);
    }
    assert!(start.elapsed() < Duration::from_millis(900), "{:?} is less than the sum", start.elapsed());
    caller.send(&look_up(9, 0)).await;
    assert_eq!(caller.response().await.header("x-id"), Some("9"), "the connection stays open");
}

/// Guards against one caller that starts any number of requests.
#[actix_rt::test]
async fn the_requests_of_a_connection_are_bounded() {
    let (server, seen) = delaying_server().await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    let count = 3 * CONCURRENT;
    let requests: String = (0..count).map(|id| look_up(id, 150)).collect();
    caller.send(&requests).await;
    sleep_ms(100).await;
    assert_eq!(seen.borrow().len(), CONCURRENT);
    for id in 0..count {
        assert_eq!(caller.response().await.header("x-id"), Some(&*id.to_string()));
    }
}

/// Guards against an order that is sent to a server although a response before it may close the connection, after
/// which its caller takes it for unread and sends it again.
#[actix_rt::test]
async fn an_order_waits_for_the_responses_before_it() {
    let (server, seen) = delaying_server().await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    caller.send(&[look_up(0, 200), look_up(1, 0), order(2), look_up(3, 0), order(4)].concat()).await;
    sleep_ms(100).await;
    assert_eq!(*seen.borrow(), ["/look-up/0/200", "/look-up/1/0"]);
    for id in 0..5 {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("x-id")), (200, Some(&*id.to_string())));
    }
    assert_eq!(seen.borrow().len(), 5, "each was sent once");
}

/// Guards against requests behind a response that closes the connection that are sent to a server.
#[actix_rt::test]
async fn requests_behind_a_close_are_not_sent() {
    let (server, seen) = delaying_server().await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    let last = with(&look_up(1, 100), "connection: close");
    caller.send(&[look_up(0, 150), last, look_up(2, 0), order(3)].concat()).await;
    for (id, connection) in [("0", None), ("1", Some("close"))] {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("x-id"), got.header("connection")), (200, Some(id), connection));
    }
    assert_eq!(caller.rest().await, "");
    assert_eq!(seen.borrow().len(), 2);
}

/// Guards against responses that follow a truncated one of which a part was forwarded already, and against requests behind
/// it that are sent.
#[actix_rt::test]
async fn a_long_truncated_response_ends_the_connection() {
    let (other, seen) = delaying_server().await;
    let server = serve(move |mut io: Caller, _| async move {
        let Some(request) = io.message(false).await else { return };
        io.send(&echo("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", &request)).await;
        io.send(&format!("{LONG:x}\r\n{}", "a".repeat(LONG - 1))).await;
        sleep_ms(100).await;
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
    let mut caller = proxy.caller().await;
    caller.send(&look_up(0, 0)).await;
    sleep_ms(50).await;
    caller.send(&[look_up(1, 0), order(2)].concat()).await;
    let got = caller.rest().await;
    assert!(got.len() > LONG / 2 && !got.ends_with("0\r\n\r\n"));
    assert!(seen.borrow().is_empty(), "{seen:?}");
    assert_eq!(proxy.log.borrow().calls.len(), 1, "the requests behind it were not considered");
}

/// Guards against a short response in chunks, or without a length, that is broken off and takes the responses to the
/// requests behind it along, which sound servers ran.
#[actix_rt::test]
async fn a_broken_response_without_a_length_is_replaced() {
    for (head, body) in [
        ("transfer-encoding: chunked\r\n", "9\r\nfirst"),
        ("transfer-encoding: chunked\r\n", "5\r\nfirst\r\n"),
        ("transfer-encoding: chunked\r\n", "5\r\nfirst\r\n0\r\n"),
        ("", "first"),
    ] {
        for pause in [0, 30, 200] {
            for is_relayed in [false, true] {
                let (other, seen) = delaying_server().await;
                let server = serve(move |mut io: Caller, _| async move {
                    let Some(request) = io.message(false).await else { return };
                    io.send(&echo(&format!("HTTP/1.1 200 OK\r\n{head}\r\n"), &request)).await;
                    io.send(body).await;
                    sleep_ms(pause).await;
                    io.io.set_zero_linger().unwrap();
                })
                .await;
                let direct = TestProxy::start(platform::script(&[server.address, other.address]));
                let passing_on = Script { relay_attempts: Some(2), ..platform::script(&[direct.relay_address]) };
                let relay = TestProxy::start(passing_on);
                let mut caller = if is_relayed { relay.caller().await } else { direct.caller().await };
                // Nothing follows the last response, which is forwarded as it arrives if it takes long.
                caller.send(&[look_up(0, 0), look_up(1, 0), look_up(2, 0), look_up(3, 0)].concat()).await;
                for id in ["0", "1", "2"] {
                    let case = format!("{head}{body:?} after {pause} ms, relayed {is_relayed}, response {id}");
                    let got = caller.message(false).await.unwrap_or_else(|| panic!("{case}"));
                    // The other entry does not know that requests follow, and forwards what takes long.
                    if is_relayed && pause == 200 && got.status == 502 {
                        continue;
                    }
                    assert_eq!((got.status, got.header("x-id")), (200, Some(id)), "{case}");
                    assert_eq!(got.body, format!("/look-up/{id}/0").as_bytes(), "{case}");
                }
                let expected: Vec<_> = (0..3).map(|id| format!("/look-up/{id}/0")).collect();
                let is_sent_once = |path| seen.borrow().iter().filter(|seen| *seen == path).count() == 1;
                assert!(is_relayed && pause == 200 || expected.iter().all(is_sent_once), "{seen:?}");
            }
        }
    }
}

/// Guards against a stream of events that is held back until it is complete.
#[actix_rt::test]
async fn a_slow_stream_that_nothing_follows_is_forwarded() {
    let server = serve(move |mut io: Caller, _| async move {
        let Some(request) = io.message(false).await else { return };
        io.send(&echo("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n", &request)).await;
        sleep_ms(10_000).await;
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    caller.send(&look_up(0, 0)).await;
    let arrived = async {
        while !caller.buf.ends_with(b"first\r\n") {
            assert!(caller.io.read_buf(&mut caller.buf).await.unwrap() > 0);
        }
    };
    actix_rt::time::timeout(LIMIT, arrived).await.expect("the first event");
}

/// Guards against a late response that the caller of an earlier request receives, and against a connection that is
/// lost because a request behind a slow one has reached its deadline.
#[actix_rt::test]
async fn a_deadline_behind_a_slow_request_has_its_own_response() {
    let (server, _) = delaying_server().await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    let short = with(&look_up(1, 600), "x-left: 100");
    let ready = with(&look_up(2, 0), "x-left: 100");
    caller.send(&[look_up(0, 400), short, ready, look_up(3, 0)].concat()).await;
    let statuses = [(200, Some("0")), (504, None), (200, Some("2")), (200, Some("3"))];
    for expected in statuses {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("x-id")), expected, "{}", got.head);
    }
}

/// Guards against a caller that leaves, also within a head, while its requests continue to run.
#[actix_rt::test]
async fn a_caller_that_leaves_cancels_all_requests() {
    for rest in ["", "GET /look-up/9/0 HTT", &order(7)] {
        let (server, seen) = delaying_server().await;
        let proxy = TestProxy::start(platform::script(&[server.address]));
        let mut caller = proxy.caller().await;
        caller.send(&[look_up(0, 1_000), look_up(1, 0), look_up(2, 1_000), rest.into()].concat()).await;
        assert!(eventually(LIMIT, || seen.borrow().len() == 3).await);
        sleep_ms(50).await;
        drop(caller);
        assert!(eventually(Duration::from_millis(500), || proxy.results().len() == 3).await, "{:?}", proxy.results());
        assert_eq!(proxy.results().iter().filter(|result| **result == AttemptResult::CallerLeft).count(), 2);
        assert_eq!(seen.borrow().len(), 3, "nothing else was sent");
    }
}

/// Guards against a planned stop that leaves requests without a response which were sent to a server, or that sends
/// requests to a server which arrive when it refuses new ones.
#[actix_rt::test]
async fn a_stop_answers_the_requests_in_progress() {
    let (server, seen) = delaying_server().await;
    let (closing, rx) = watch::channel(false);
    let mut script = platform::script(&[server.address]);
    script.options.serve_while_stopping = Some(rx);
    let proxy = TestProxy::start(script);
    let mut caller = proxy.caller().await;
    caller.send(&[look_up(0, 400), look_up(1, 300), order(2)].concat()).await;
    assert!(eventually(LIMIT, || seen.borrow().len() == 2).await);
    proxy.stop.send(true).unwrap();
    closing.send(true).unwrap();
    sleep_ms(20).await;
    caller.send(&look_up(3, 0)).await;
    for id in ["0", "1"] {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("x-id"), got.header("connection")), (200, Some(id), None));
    }
    let got = caller.response().await;
    assert_eq!((got.status, got.header("connection")), (503, Some("close")), "the order was not sent");
    assert_eq!(caller.rest().await, "");
    assert_eq!(seen.borrow().len(), 2);
    assert!(eventually(LIMIT, || proxy.worker.is_finished()).await);
}

/// Guards against a head that is completed too slowly because its time starts again with each response before it.
#[actix_rt::test]
async fn the_time_for_a_head_counts_while_others_are_handled() {
    let (server, _) = delaying_server().await;
    let mut script = platform::script(&[server.address]);
    script.options.head_timeout = Duration::from_millis(300);
    let proxy = TestProxy::start(script);
    let mut caller = proxy.caller().await;
    let requests: String = (0..8).map(|id| look_up(id, 100 * (id as u64 + 1))).collect();
    caller.send(&format!("{requests}GET /look-up/9/0 HTTP/1.1\r\nhost:")).await;
    for id in 0..8 {
        assert_eq!(caller.response().await.header("x-id"), Some(&*id.to_string()));
    }
    let got = caller.response().await;
    assert_eq!((got.status, got.header("connection")), (408, Some("close")));
}

/// Guards against a short response that is cut off and takes the responses behind it along.
#[actix_rt::test]
async fn a_short_truncated_response_is_retried() {
    let (other, _) = delaying_server().await;
    let server = serve(move |mut io: Caller, _| async move {
        let Some(request) = io.message(false).await else { return };
        io.send(&echo("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfirst", &request)).await;
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address, other.address]));
    let mut caller = proxy.caller().await;
    caller.send(&[look_up(0, 0), look_up(1, 0), order(2)].concat()).await;
    for id in ["0", "1"] {
        let got = caller.response().await;
        assert_eq!((got.status, got.header("x-id")), (200, Some(id)));
        assert_eq!(got.body, format!("/look-up/{id}/0").as_bytes());
    }
    // The response to the order is forwarded as it arrives, and an order that may have run is not sent again.
    assert!(caller.message(false).await.is_none(), "the connection is reset");
}
