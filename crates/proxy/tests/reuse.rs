//! Which requests may reuse which connections.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::{
        cell::Cell,
        rc::Rc,
        time::{Duration, Instant},
    },
    support::{
        Caller, TestProxy, eventually,
        platform::{self, LOOK_UP, ORDER, echo, echoing_server},
        serve, sleep_ms,
    },
};

const TIMEOUT_1: &str = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1, max=100\r\ncontent-length: 2\r\n\r\nok";
const TIMEOUT_60: &str = "HTTP/1.1 200 OK\r\nkeep-alive: max=9, Timeout=60\r\ncontent-length: 2\r\n\r\nok";
const NO_TIMEOUT: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Guards against an order on a connection that the server may be closing at the same time, and against the cost of a
/// new connection where an old one is safe. `max_keep_alive_age` is shortened for the test.
#[actix_rt::test]
async fn the_age_of_a_connection_limits_its_reuse() {
    // Response, age in ms, whether an order and whether a look-up reuse the connection.
    let cases = [
        (TIMEOUT_1, 150, true, true),
        (TIMEOUT_1, 600, false, true),
        (TIMEOUT_1, 900, false, false),
        (TIMEOUT_60, 600, true, true),
        (TIMEOUT_60, 900, false, true),
        (NO_TIMEOUT, 20, true, true),
        (NO_TIMEOUT, 150, false, true),
    ];
    for (response, age, order, look_up) in cases {
        for (request, reuses) in [(ORDER, order), (LOOK_UP, look_up)] {
            let (server, _) = echoing_server(response).await;
            let mut script = platform::script(&[server.address]);
            script.options.max_keep_alive_age = Duration::from_millis(750);
            let proxy = TestProxy::start(script);
            assert_eq!(proxy.call(LOOK_UP).await.status, 200);
            sleep_ms(age).await;
            assert_eq!(proxy.call(request).await.status, 200);
            let expected = if reuses { 1 } else { 2 };
            assert_eq!(server.connections.get(), expected, "{request:.8} after {age} ms: {response}");
        }
    }
}

/// Guards against applying a declared keep-alive time where the dialect does not use it.
#[actix_rt::test]
async fn the_product_interface_ignores_the_declared_keep_alive() {
    let (server, _) = echoing_server(TIMEOUT_60).await;
    let mut script = platform::script(&[server.address]);
    script.options.dialect.keep_alive_reuse = false;
    let proxy = TestProxy::start(script);
    assert_eq!(proxy.call(LOOK_UP).await.status, 200);
    sleep_ms(150).await;
    assert_eq!(proxy.call(ORDER).await.status, 200);
    assert_eq!(server.connections.get(), 2);
}

/// Guards against fleet options that open connections which no call needs.
#[actix_rt::test]
async fn a_fleet_opens_no_spare_connections() {
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            sleep_ms(300).await;
            io.send(&echo(TIMEOUT_60, &request)).await;
        }
    })
    .await;
    let mut script = platform::script(&[server.address]);
    script.options.pool_check_interval = Duration::from_millis(20);
    let proxy = TestProxy::start(script);
    for _ in 0..3 {
        assert_eq!(proxy.call(ORDER).await.status, 200);
    }
    assert_eq!(server.connections.get(), 1);
}

/// Guards against keeping idle connections beyond the time that the server declares.
#[actix_rt::test]
async fn connections_are_closed_before_the_server_closes_them() {
    let open = Rc::new(Cell::new(0));
    let count = open.clone();
    let server = serve(move |mut io: Caller, _| {
        let open = count.clone();
        async move {
            open.set(open.get() + 1);
            while let Some(request) = io.message(false).await {
                io.send(&echo(TIMEOUT_1, &request)).await;
            }
            open.set(open.get() - 1);
        }
    })
    .await;
    let mut script = platform::script(&[server.address]);
    script.options.pool_check_interval = Duration::from_millis(50);
    let proxy = TestProxy::start(script);
    assert_eq!(proxy.call(LOOK_UP).await.status, 200);
    let start = Instant::now();
    assert_eq!(open.get(), 1);
    assert!(eventually(Duration::from_secs(3), || open.get() == 0).await);
    assert!(start.elapsed() > Duration::from_millis(500));
}

/// Guards against a call that is held for longer than the fleet's connect timeout by a machine without power, which
/// neither accepts nor refuses connections. The listener's queue is filled, so that further connections get no reply.
#[actix_rt::test]
async fn a_connection_that_does_not_open_is_not_run() {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    for _ in 0..20 {
        let connect = tokio::net::TcpStream::connect(address);
        match actix_rt::time::timeout(Duration::from_millis(100), connect).await {
            Ok(io) => queued.push(io.unwrap()),
            Err(_) => break,
        }
    }
    let (working, _) = echoing_server(NO_TIMEOUT).await;
    let proxy = TestProxy::start(platform::script(&[address, working.address]));
    let start = Instant::now();
    assert_eq!(proxy.call(ORDER).await.status, 200, "the order was not written and goes to another server");
    assert!(start.elapsed() >= Duration::from_millis(250) && start.elapsed() < Duration::from_secs(1));
    assert_eq!(proxy.results(), [AttemptResult::RefusedBeforeWrite, AttemptResult::Complete]);
}
