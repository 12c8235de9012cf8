//! Calls that one entry passes on to another.

mod support;

use {
    hemlockford_core::{collections::FastSet, dispatch::AttemptResult, outcome::NotRunReason},
    hemlockford_proxy::ProxyOptions,
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    support::{
        Caller, Script, TestProxy, eventually,
        platform::{self, LOOK_UP, OK, ORDER, echo, echoing_server},
        refused_address, serve,
    },
    tokio::{io::AsyncReadExt, net::TcpListener, sync::watch},
};

/// Starts an entry that passes all calls on to another one.
fn passing_on(to: &TestProxy) -> TestProxy {
    TestProxy::start(Script { relay_attempts: Some(2), ..platform::script(&[to.relay_address]) })
}

/// Guards against a relayed request that reaches the server changed, or more than once, and against internal headers
/// that leave the fleet.
#[actix_rt::test]
async fn a_relayed_request_is_served_like_any_other() {
    let (server, seen) = echoing_server(OK).await;
    let other = TestProxy::start(platform::script(&[server.address]));
    let entry = passing_on(&other);
    for request in [LOOK_UP, ORDER] {
        let got = entry.call(request).await;
        assert_eq!((got.status, got.body.as_slice()), (200, b"ok".as_slice()), "{}", got.head);
        assert!(got.header("x-id").is_some() && !got.head.contains("hemlockford"), "{}", got.head);
    }
    let seen = seen.borrow();
    assert_eq!(seen.len(), 2);
    assert!(seen.iter().all(|request| !request.contains("hemlockford") && request.contains("x-for: server-1")));
    assert!(seen[1].contains("POST /order/a") && seen[1].contains("x-id: 8") && seen[1].ends_with("hi"), "{}", seen[1]);
    let calls = &other.log.borrow().calls;
    assert!(calls.iter().all(|call| call.relayed && call.options.attempts == 2));
    assert_eq!(entry.results(), [AttemptResult::Complete, AttemptResult::Complete]);
    assert!(!entry.log.borrow().calls[0].relayed);
}

/// Guards against a request that an entry in touch has read by the newest configuration and that runs by an older one at
/// the entry to which it was passed on.
#[actix_rt::test]
async fn an_entry_with_an_older_configuration_runs_no_relayed_request() {
    let (server, seen) = echoing_server(OK).await;
    for (own, others, is_run) in [(7, 3, false), (7, 7, true), (7, 8, true)] {
        let mut script = platform::script(&[server.address]);
        script.config.number = others;
        let other = TestProxy::start(script);
        let mut script = Script { relay_attempts: Some(2), ..platform::script(&[other.relay_address]) };
        script.config.number = own;
        let entry = TestProxy::start(script);
        for request in [LOOK_UP, ORDER] {
            seen.borrow_mut().clear();
            entry.call(request).await;
            assert_eq!(seen.borrow().len(), usize::from(is_run), "{own} {others}");
        }
        let result = if is_run { AttemptResult::Complete } else { AttemptResult::Misdirected };
        assert_eq!(entry.results(), [result; 2], "another entry is asked");
    }
}

/// Guards against a server that states an outcome in place of the other entry, so that a request which ran is told as not
/// run, or sent again.
#[actix_rt::test]
async fn an_outcome_that_a_server_states_is_ignored() {
    let (server, seen) =
        echoing_server("HTTP/1.1 200 OK\r\nhemlockford-outcome: not-run; no-server\r\ncontent-length: 2\r\n\r\nok")
            .await;
    let other = TestProxy::start(platform::script(&[server.address]));
    let entry = passing_on(&other);
    for request in [LOOK_UP, ORDER] {
        assert_eq!(entry.call(request).await.status, 200);
    }
    assert_eq!((entry.results(), seen.borrow().len()), (vec![AttemptResult::Complete; 2], 2));
}

/// Guards against "not run" of another entry that is taken for the answer of a server, and against one entry's missing
/// path that is taken for overload.
#[actix_rt::test]
async fn the_reason_of_the_other_entry_is_known() {
    for (reason, result) in [
        (NotRunReason::NoServer, AttemptResult::Misdirected),
        (NotRunReason::ShuttingDown, AttemptResult::Misdirected),
        (NotRunReason::Overload, AttemptResult::Shed),
        (NotRunReason::Quarantined, AttemptResult::Shed),
    ] {
        for request in [LOOK_UP, ORDER] {
            let other =
                TestProxy::start(Script { servers: Vec::new(), reason, ..platform::script(&[refused_address()]) });
            let entry = passing_on(&other);
            let got = entry.call(request).await;
            assert_eq!(entry.results(), [result], "{reason}");
            assert!(!got.head.contains("hemlockford"), "{}", got.head);
        }
    }
}

/// Guards against a second run of a request whose answer was lost behind another entry, and against "not run" for it.
#[actix_rt::test]
async fn an_unknown_outcome_behind_the_other_entry_is_final() {
    let server = serve(|mut io: Caller, _| async move {
        io.message(false).await;
    })
    .await;
    for request in [LOOK_UP, ORDER] {
        let other = TestProxy::start(platform::script(&[server.address]));
        let entry = TestProxy::start(Script {
            relay_attempts: Some(2),
            ..platform::script(&[other.relay_address, other.relay_address])
        });
        let before = server.connections.get();
        let got = entry.call(request).await;
        assert_eq!(got.status, 502, "{}", got.head);
        assert_eq!(server.connections.get() - before, 1);
        assert_eq!(entry.results(), [AttemptResult::ServerError]);
    }
}

/// Guards against a crashing request that is cleared because another entry answers it with an error of its own.
#[actix_rt::test]
async fn an_error_of_the_other_entry_does_not_clear_a_suspected_request() {
    let (heads, suspect_heads) = watch::channel(Arc::<FastSet<u128>>::default());
    let heads = Rc::new(heads);
    let with_heads = |script: Script| Script {
        options: ProxyOptions { suspect_heads: Some(suspect_heads.clone()), ..script.options },
        ..script
    };
    let mut known = FastSet::default();
    // The first call shows the fingerprint. The second is suspected from the moment at which the server has read it.
    for _ in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (heads, suspected) = (heads.clone(), known.clone());
        actix_rt::spawn(async move {
            let (mut io, _) = listener.accept().await.unwrap();
            let _ = io.read(&mut [0; 4_096]).await;
            heads.send_replace(Arc::new(suspected));
            drop(listener);
        });
        let other = TestProxy::start(with_heads(platform::script(&[address])));
        let script = Script { relay_attempts: Some(2), ..platform::script(&[other.relay_address]) };
        let entry = TestProxy::start(with_heads(script));
        assert_eq!(entry.call(LOOK_UP).await.status, 502);
        known.insert(other.log.borrow().crashes[0].head);
        assert!(entry.log.borrow().answered.is_empty());
    }
}

/// Guards against work for a caller that has left, which only the other entry can cancel.
#[actix_rt::test]
async fn a_caller_that_leaves_cancels_the_call_behind_the_other_entry() {
    let (cancelled, is_cancelled) = (Rc::new(Cell::new(0)), 1);
    let count = cancelled.clone();
    let server = serve(move |mut io: Caller, _| {
        let count = count.clone();
        async move {
            io.message(false).await;
            if matches!(io.io.read(&mut [0]).await, Ok(0) | Err(_)) {
                count.set(count.get() + 1);
            }
        }
    })
    .await;
    let other = TestProxy::start(platform::script(&[server.address]));
    let entry = passing_on(&other);
    let mut caller = entry.caller().await;
    caller.send(LOOK_UP).await;
    assert!(eventually(Duration::from_secs(1), || server.connections.get() == 1).await);
    drop(caller);
    assert!(eventually(Duration::from_secs(1), || cancelled.get() == is_cancelled).await);
}

/// Guards against a relayed call that a planned stop of the other entry cuts off.
#[actix_rt::test]
async fn a_planned_stop_of_the_other_entry_finishes_relayed_calls() {
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            support::sleep_ms(150).await;
            io.send(&echo(OK, &request)).await;
        }
    })
    .await;
    let other = TestProxy::start(platform::script(&[server.address]));
    let entry = passing_on(&other);
    let mut caller = entry.caller().await;
    caller.send(ORDER).await;
    assert!(eventually(Duration::from_secs(1), || server.connections.get() == 1).await);
    other.stop.send_replace(true);
    assert_eq!(caller.response().await.status, 200);
}
