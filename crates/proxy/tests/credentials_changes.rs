//! API keys that are removed while connections are open and calls wait.

mod support;

use {
    hemlockford_core::{
        config::{ApiKey, Configuration},
        dispatch::AttemptResult,
    },
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    support::{
        Caller, Script, TestProxy, eventually,
        keys::{config, config_without, look_up, open, order, script},
        platform::{self, OK, echo, echoing_server},
        serve,
    },
    tokio::sync::mpsc,
};

/// affects another.
#[actix_rt::test]
async fn a_key_that_is_removed_ends_on_open_connections() {
    let (server, _) = echoing_server(OK).await;
    let proxy = TestProxy::start(script(&[server.address]));
    let mut caller = proxy.caller().await;
    for (key, removed, statuses) in [("k1", "k1", [200, 401]), ("k2", "k1", [200, 200])] {
        proxy.config.send_replace(Arc::new(config()));
        for status in statuses {
            for request in [look_up(&format!("x-key: {key}\r\n")), order(&format!("x-key: {key}\r\n"))] {
                caller.send(&request).await;
                assert_eq!(caller.response().await.status, status, "{key}");
            }
            proxy.config.send_replace(Arc::new(config_without(removed)));
        }
    }
}

/// Starts an entry whose first attempt at a server takes a while and then fails without having run the request. The flag is
/// set when that server has the request.
async fn with_slow_first_server(config: Configuration) -> (TestProxy, support::Server, Rc<Cell<bool>>) {
    let has_request = Rc::new(Cell::new(false));
    let requested = has_request.clone();
    let slow = serve(move |mut io: Caller, _| {
        let requested = requested.clone();
        async move {
            while let Some(request) = io.message(false).await {
                requested.set(true);
                support::sleep_ms(150).await;
                io.send(&echo("HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n", &request)).await;
            }
        }
    })
    .await;
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(Script { config, ..platform::script(&[slow.address, server.address]) });
    std::mem::forget(seen);
    (proxy, server, has_request)
}

/// customer's name after changes that do not concern the key.
#[actix_rt::test]
async fn a_key_is_checked_again_when_a_server_is_chosen() {
    let mut moved = config_without("k1");
    moved.customers.get_mut("lunt").unwrap().keys = Some([ApiKey::parse("k1").unwrap()].into());
    let mut closed = Configuration { number: 2, ..config() };
    closed.routes.last_mut().unwrap().is_anonymous = false;
    let cases = [
        ("x-key: k1\r\n", config_without("k1"), 401, 0),
        ("x-key: k1\r\n", config_without("k2"), 200, 1),
        ("x-key: k1\r\n", moved, 503, 0),
        ("x-key: k1\r\n", Configuration { number: 2, ..platform::config() }, 503, 0),
        ("", closed, 401, 0),
        ("", config_without("k1"), 200, 1),
    ];
    for (fields, later, status, runs) in cases {
        let request = if fields.is_empty() { open("") } else { order(fields) };
        let (proxy, server, has_request) = with_slow_first_server(config()).await;
        let mut caller = proxy.caller().await;
        caller.send(&request).await;
        assert!(eventually(Duration::from_secs(2), || has_request.get()).await);
        proxy.config.send_replace(Arc::new(later));
        let got = caller.response().await;
        assert_eq!((got.status, server.connections.get()), (status, runs), "{fields} {}", got.head);
        if runs == 0 {
            assert!(eventually(Duration::from_secs(1), || proxy.results().len() == 2).await, "the slot is returned");
            assert_eq!(proxy.results(), [AttemptResult::Shed, AttemptResult::CallerLeft]);
        }
    }
}

/// Guards against "not run" for a call whose first attempt may have run and whose key was removed before the second.
#[actix_rt::test]
async fn a_removed_key_does_not_deny_an_earlier_run() {
    let broken = serve(|mut io: Caller, _| async move {
        io.message(false).await;
        support::sleep_ms(150).await;
    })
    .await;
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(script(&[broken.address, server.address]));
    let mut caller = proxy.caller().await;
    caller.send(&look_up("x-key: k1\r\n")).await;
    assert!(eventually(Duration::from_secs(2), || broken.connections.get() == 1).await);
    proxy.config.send_replace(Arc::new(config_without("k1")));
    assert_eq!(caller.response().await.status, 502);
    assert!(seen.borrow().is_empty());
}

/// Guards against a request that waits behind others on its connection and runs under a key that was removed meanwhile.
#[actix_rt::test]
async fn a_key_is_checked_again_behind_other_requests() {
    let slow = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            support::sleep_ms(200).await;
            io.send(&echo(OK, &request)).await;
        }
    })
    .await;
    let proxy = TestProxy::start(script(&[slow.address]));
    let mut caller = proxy.caller().await;
    caller.send(&[look_up("x-key: k3\r\n"), order("x-key: k1\r\n"), order("x-key: k3\r\n")].concat()).await;
    assert!(eventually(Duration::from_secs(2), || slow.connections.get() == 1).await);
    support::sleep_ms(50).await;
    proxy.config.send_replace(Arc::new(config_without("k1")));
    for status in [200, 401, 200] {
        assert_eq!(caller.response().await.status, status);
    }
}

/// Guards against a replayed response that a customer gets whose key was removed while the claim was looked up.
#[actix_rt::test]
async fn a_key_is_checked_again_before_a_recorded_response() {
    let (claims, mut requested) = mpsc::unbounded_channel();
    let text = format!("{}\n[customer kovar]\nkeys = k1\n", support::CONFIG);
    let config = Configuration::parse(&text).unwrap();
    let script = Script { config, claims: Some(claims), ..Script::to(support::refused_address()) };
    let proxy = TestProxy::start(script);
    let mut caller = proxy.caller().await;
    let fields = "hemlockford-credential: k1\r\nidempotency-key: 7\r\ncontent-length: 0\r\n";
    caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\n{fields}\r\n")).await;
    let Some(hemlockford_proxy::ClaimMessage::Claim(_, reply)) = requested.recv().await else { panic!() };
    proxy.config.send_replace(Arc::new(Configuration::parse(&text.replace("k1", "k2")).unwrap()));
    let body = Some(b"secret".as_slice().into());
    let _ = reply.send(hemlockford_proxy::ClaimDecision::Replay { status: 200, content_type: None, body });
    assert_eq!(caller.response().await.outcome(), "not-run; unknown-key");
}
