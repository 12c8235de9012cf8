//! Servers that ask in their responses for no further requests.

mod support;

use {
    hemlockford_core::dispatch::{CallRate, DispatchEvent, MAX_SERVER_PAUSE, ServerNotice},
    hemlockford_proxy::Probe,
    std::{cell::Cell, rc::Rc, time::Duration},
    support::{
        Caller, TestProxy, fixed_response_server,
        platform::{self, LOOK_UP, OK, ORDER, echo, with},
        serve,
    },
    tokio::sync::mpsc,
};

const BUSY: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: busy\r\ncontent-length: 0\r\n\r\n";

/// Returns the notices after an order that is answered with this response.
async fn notices(response: String) -> Vec<ServerNotice> {
    let server = serve(move |mut io: Caller, _| {
        let response = response.clone();
        async move {
            while let Some(request) = io.message(false).await {
                io.send(&echo(&response, &request)).await;
            }
        }
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    proxy.call(ORDER).await;
    let log = proxy.log.borrow();
    assert!(log.notices.iter().all(|(id, address, _)| &**id == "server-1" && *address == server.address));
    log.notices.iter().map(|(.., notice)| *notice).collect()
}

/// Guards against a statement of leaving that is missed, whatever the status, or read from another value.
#[actix_rt::test]
async fn a_response_states_that_its_server_is_leaving() {
    let error = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
    for response in [OK, BUSY, error] {
        assert_eq!(notices(with(response, "x-leaving: 1")).await, [ServerNotice::Leaving], "{response}");
        assert_eq!(notices(with(response, "x-leaving: 0")).await, [], "{response}");
        assert_eq!(notices(response.into()).await, [], "{response}");
    }
}

/// Guards against values of `retry-after` that are misread, unlimited, or taken from another status than 503.
#[actix_rt::test]
async fn a_503_states_how_long_its_server_wants_no_requests() {
    let huge = format!("retry-after: {}", u64::MAX);
    for (field, expected) in [
        ("retry-after: 2", Some(Duration::from_secs(2))),
        ("retry-after: 0.25", Some(Duration::from_millis(250))),
        (&huge, Some(MAX_SERVER_PAUSE)),
        ("retry-after: inf", Some(MAX_SERVER_PAUSE)),
        ("retry-after: 0", None),
        ("retry-after: -3", None),
        ("retry-after: NaN", None),
        ("retry-after: soon", None),
        ("retry-after: Fri, 04 Dec 2026 12:00:00 GMT", None),
    ] {
        let expected: Vec<_> = expected.map(ServerNotice::Pause).into_iter().collect();
        assert_eq!(notices(with(BUSY, field)).await, expected, "{field}");
        assert_eq!(notices(with(OK, field)).await, [], "{field} on a success");
    }
}

/// Guards against a 503 without the request id, of which the platform's servers are capable, whose pause is missed.
#[actix_rt::test]
async fn a_503_without_an_id_states_a_pause_too() {
    let (server, _) =
        fixed_response_server("HTTP/1.1 503 Busy\r\nx-not-run: busy\r\nretry-after: 4\r\ncontent-length: 0\r\n\r\n")
            .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    proxy.call(LOOK_UP).await;
    let notices: Vec<_> = proxy.log.borrow().notices.iter().map(|(.., notice)| *notice).collect();
    assert_eq!(notices, [ServerNotice::Pause(Duration::from_secs(4))]);
}

/// Guards against a connection to a leaving server that stays in the pool.
#[actix_rt::test]
async fn the_connection_to_a_leaving_server_is_not_kept() {
    for (field, connections) in [("x-leaving: 0", 1), ("x-leaving: 1", 2)] {
        let server = serve(move |mut io: Caller, _| async move {
            while let Some(request) = io.message(false).await {
                io.send(&with(&echo(OK, &request), field)).await;
            }
        })
        .await;
        let proxy = TestProxy::start(platform::script(&[server.address]));
        proxy.call(LOOK_UP).await;
        proxy.call(LOOK_UP).await;
        assert_eq!(server.connections.get(), connections, "{field}");
    }
}

/// Guards against notices in the responses to probes that are missed.
#[actix_rt::test]
async fn a_response_to_a_probe_carries_notices() {
    let (server, _) =
        fixed_response_server("HTTP/1.1 503 Draining\r\nx-leaving: 1\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n")
            .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let (events, mut rx) = mpsc::unbounded_channel();
    let (path, limit) = ("/health".into(), Duration::from_secs(1));
    let probe = Probe { number: 3, server: "s".into(), address: server.address, path, limit, events };
    proxy.probes.send(probe).unwrap();
    for expected in [ServerNotice::Leaving, ServerNotice::Pause(Duration::from_secs(1))] {
        let event = rx.recv().await.unwrap();
        assert!(matches!(event, DispatchEvent::Notice { notice, .. } if notice == expected), "{event:?}");
    }
    assert!(matches!(rx.recv().await, Some(DispatchEvent::ProbeFinished { ok: false, .. })));
}

/// Guards against a limit that is missed or misread, or is ended by an unreadable value.
#[actix_rt::test]
async fn a_response_names_the_rate_that_its_server_takes() {
    for (value, calls) in [("1", Some(1.0)), ("1.7", Some(1.7)), ("0", Some(0.0)), ("1e30", Some(1e6))] {
        let expected: Vec<_> =
            calls.map(|calls| ServerNotice::Limit(CallRate::from_per_second(calls))).into_iter().collect();
        for response in [OK, BUSY] {
            assert_eq!(notices(with(response, &format!("x-limit: {value}"))).await, expected, "{value}");
        }
    }
    for value in ["-1", "NaN", "few", ""] {
        assert_eq!(notices(with(OK, &format!("x-limit: {value}"))).await, [], "{value}");
    }
}

/// Guards against a limit that is kept when the server no longer names it, or that an unreadable value ends.
#[actix_rt::test]
async fn a_response_without_the_limit_ends_it() {
    let responses = ["x-limit: 2", "x-limit: 1.5", "x-limit: few", "x-other: 1", "x-other: 1"].map(|it| with(OK, it));
    let answered = Rc::new(Cell::new(0));
    let server = serve(move |mut io: Caller, _| {
        let (responses, answered) = (responses.clone(), answered.clone());
        async move {
            while let Some(request) = io.message(false).await {
                io.send(&echo(&responses[answered.get()], &request)).await;
                answered.set(answered.get() + 1);
            }
        }
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    for _ in 0..5 {
        proxy.call(ORDER).await;
    }
    let limits: Vec<_> = proxy.log.borrow().notices.iter().map(|(.., notice)| *notice).collect();
    let limit = |calls| ServerNotice::Limit(CallRate::from_per_second(calls));
    assert_eq!(limits, [limit(2.0), limit(1.5), ServerNotice::Limit(None)]);
}
