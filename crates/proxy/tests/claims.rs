//! Requests with an idempotency key.

mod support;

use {
    hemlockford_proxy::{Claim, ClaimDecision, ClaimMessage},
    std::{cell::RefCell, rc::Rc, time::Duration},
    support::{
        Message, Script, Server, TestProxy, eventually, fixed_response_server, refused_address, serve, sleep_ms,
    },
    tokio::sync::mpsc,
};

const OK: &str = "HTTP/1.1 201 Created\r\ncontent-type: text/x\r\ncontent-length: 2\r\n\r\nok";
const LIMIT: Duration = Duration::from_secs(1);

/// Messages that the task that records claims received.
#[derive(Default)]
struct ClaimLog {
    claims: Vec<Claim>,
    /// Settled and released tickets, in order.
    ends: Vec<String>,
}

/// Starts a worker whose claims get the given decision after a delay.
fn start(server: std::net::SocketAddr, decision: ClaimDecision, delay: u64) -> (TestProxy, Rc<RefCell<ClaimLog>>) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let log = Rc::new(RefCell::new(ClaimLog::default()));
    let record = log.clone();
    actix_rt::spawn(async move {
        while let Some(message) = rx.recv().await {
            match message {
                ClaimMessage::Claim(claim, reply) => {
                    record.borrow_mut().claims.push(claim);
                    sleep_ms(delay).await;
                    let _ = reply.send(decision.clone());
                }
                ClaimMessage::Settle { ticket, status, content_type, body } => {
                    let body = body.map(|body| body.len());
                    record.borrow_mut().ends.push(format!("settle {ticket} {status} {content_type:?} {body:?}"));
                }
                ClaimMessage::Release { ticket } => record.borrow_mut().ends.push(format!("release {ticket}")),
            }
        }
    });
    (TestProxy::start(Script { claims: Some(tx), ..Script::to(server) }), log)
}

fn request(body: &str) -> String {
    let length = body.len();
    format!("POST /booking/a HTTP/1.1\r\nhost: x\r\nidempotency-key: k1\r\ncontent-length: {length}\r\n\r\n{body}")
}

const GRANTED: ClaimDecision = ClaimDecision::Granted { ticket: 7 };

async fn ends_with(log: &Rc<RefCell<ClaimLog>>, ends: &[&str]) -> bool {
    eventually(LIMIT, || log.borrow().ends == ends).await
}

/// Guards against a response that is not recorded for a repeated request.
#[actix_rt::test]
async fn a_complete_response_settles_the_claim() {
    let (server, _) = fixed_response_server(OK).await;
    let (proxy, log) = start(server.address, GRANTED, 0);
    let got = proxy.call(&request("hi")).await;
    assert_eq!((got.status, got.header("hemlockford-once")), (201, Some("claimed")));
    assert!(ends_with(&log, &["settle 7 201 Some(\"text/x\") Some(2)"]).await);
    assert_eq!((&*log.borrow().claims[0].key, &*log.borrow().claims[0].customer), ("k1", "default"));
    let long = Box::leak(format!("HTTP/1.1 200 OK\r\ncontent-length: 4097\r\n\r\n{:4097}", "").into_boxed_str());
    let (server, _) = fixed_response_server(long).await;
    let (proxy, log) = start(server.address, GRANTED, 0);
    assert_eq!(proxy.call(&request("hi")).await.body.len(), 4_097);
    assert!(ends_with(&log, &["settle 7 200 None None"]).await);
}

/// Guards against a claim that is held or released contrary to what is known about the request.
#[actix_rt::test]
async fn a_claim_is_released_only_if_the_request_did_not_run() {
    let closing: Server = serve(|mut io, _| async move {
        io.message(false).await;
    })
    .await;
    let cutting = serve(|mut io, _| async move {
        io.message(false).await;
        io.send("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhello").await;
    })
    .await;
    let (shedding, _) =
        fixed_response_server("HTTP/1.1 503 Service Unavailable\r\nhemlockford-shed: 1\r\ncontent-length: 0\r\n\r\n")
            .await;
    for (server, ends) in [
        (refused_address(), ["release 7"].as_slice()),
        (shedding.address, ["release 7"].as_slice()),
        (closing.address, [].as_slice()),
        (cutting.address, [].as_slice()),
    ] {
        let (proxy, log) = start(server, GRANTED, 0);
        let mut caller = proxy.caller().await;
        caller.send(&request("hi")).await;
        caller.message(false).await;
        sleep_ms(50).await;
        assert_eq!(log.borrow().ends, ends);
    }
}

/// Guards against a claim that is released although the server has seen a part of the request.
#[actix_rt::test]
async fn a_claim_stays_held_when_the_caller_leaves_during_its_upload() {
    let (server, _) = fixed_response_server(OK).await;
    let (proxy, log) = start(server.address, GRANTED, 0);
    let mut caller = proxy.caller().await;
    let whole = request(&"a".repeat(200_000));
    caller.send(&whole[..150_000]).await;
    assert!(eventually(LIMIT, || server.connections.get() == 1).await);
    sleep_ms(50).await;
    drop(caller);
    assert!(eventually(LIMIT, || proxy.results().len() == 1).await);
    sleep_ms(50).await;
    assert!(log.borrow().ends.is_empty());
}

/// Guards against a request that is sent without a granted claim.
#[actix_rt::test]
async fn only_a_granted_claim_is_sent() {
    let (server, seen) = fixed_response_server(OK).await;
    let replay = |body| ClaimDecision::Replay { status: 201, content_type: Some("text/x".into()), body };
    let told = |got: &Message| {
        let once = got.header("hemlockford-once").unwrap_or_default().to_owned();
        (got.status, got.outcome().to_owned(), once, got.body.clone())
    };
    for (decision, status, outcome, once) in [
        (ClaimDecision::InDoubt, 409, "unknown; in-doubt", ""),
        (ClaimDecision::KeyReused, 422, "not-run; key-reused", ""),
        (ClaimDecision::Unavailable, 503, "not-run; claim-unavailable", ""),
        (replay(Some("ok".into())), 201, "answered", "replayed"),
        (replay(None), 201, "answered", "replayed; body not recorded"),
    ] {
        let (proxy, _log) = start(server.address, decision, 0);
        let got = told(&proxy.call(&request("hi")).await);
        assert_eq!((got.0, got.1.as_str(), got.2.as_str()), (status, outcome, once));
        assert!(proxy.log.borrow().calls.is_empty(), "the dispatcher is not asked");
    }
    let proxy = TestProxy::start(Script::to(server.address));
    assert_eq!(proxy.call(&request("hi")).await.outcome(), "not-run; claim-unavailable");
    assert!(seen.borrow().is_empty());
    let get = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\nidempotency-key: k1\r\n\r\n";
    assert_eq!(proxy.call(get).await.status, 201, "an idempotent request needs no claim");
}

/// Guards against a claim that stays in doubt because the caller left while the request was running, and against a
/// grant that is never used or released.
#[actix_rt::test]
async fn a_claimed_request_is_settled_though_its_caller_left() {
    let server = serve(|mut io, _| async move {
        io.message(false).await;
        sleep_ms(100).await;
        io.send("HTTP/1.1 201 Created\r\ncontent-length: 9\r\n\r\nhello").await;
        sleep_ms(50).await;
        io.send("more").await;
    })
    .await;
    for (delay, ends) in [(0, ["settle 7 201 None Some(9)"]), (100, ["release 7"])] {
        let (proxy, log) = start(server.address, GRANTED, delay);
        let mut caller = proxy.caller().await;
        caller.send(&request("hi")).await;
        sleep_ms(40).await;
        drop(caller);
        assert!(ends_with(&log, &ends).await, "{:?}", log.borrow().ends);
    }
}

/// Guards against different requests that are treated as repetitions of one, and the reverse.
#[actix_rt::test]
async fn the_digest_covers_method_target_and_body() {
    let (server, seen) = fixed_response_server(OK).await;
    let (proxy, log) = start(server.address, GRANTED, 0);
    let chunked =
        request("hi").replace("content-length: 2\r\n\r\nhi", "transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    let large = "a".repeat(70_000);
    let requests = [
        request("hi"),
        request("ho"),
        request("hi").replace("/a ", "/a?b "),
        request("hi").replace("POST", "PATCH"),
        request(&large),
        request("hi"),
        chunked,
        request(&large.replace('a', "b")),
    ];
    for request in &requests {
        assert_eq!(proxy.call(request).await.status, 201);
    }
    let digests: Vec<u128> = log.borrow().claims.iter().map(|claim| claim.request_digest).collect();
    for first in 0..5 {
        for second in 0..first {
            assert_ne!(digests[first], digests[second], "requests {first} and {second}");
        }
    }
    assert_eq!((digests[0], digests[0]), (digests[5], digests[6]));
    assert_eq!(digests[4], digests[7], "only the length of a large body affects the digest");
    assert!(seen.borrow()[4].ends_with(&large), "a large body is sent completely");
}
