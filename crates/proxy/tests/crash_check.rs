//! Recognition of requests under which servers end.

mod support;

use {
    hemlockford_core::{collections::FastSet, dispatch::AttemptResult, quarantine::RequestFingerprint},
    hemlockford_proxy::ProxyOptions,
    std::sync::Arc,
    support::{Script, TestProxy, fixed_response_server, refused_address, serve},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        sync::watch,
    },
};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn options(heads: FastSet<u128>) -> ProxyOptions {
    let (_, suspect_heads) = watch::channel(Arc::new(heads));
    ProxyOptions { suspect_heads: Some(suspect_heads), ..Script::to(refused_address()).options }
}

/// Sends a request to a server that ends when it has read it; returns the fingerprint that is reported.
async fn fingerprint(request: &str) -> Option<RequestFingerprint> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let _ = io.read(&mut [0; 4_096]).await;
        drop(listener);
    });
    let proxy = TestProxy::start(Script { options: options(FastSet::default()), ..Script::to(address) });
    assert_eq!(proxy.call(request).await.status, 502);
    assert_eq!(proxy.results(), [AttemptResult::BrokenAfterWrite]);
    let crashes = proxy.log.borrow().crashes.clone();
    crashes.first().copied()
}

fn post(target: &str, headers: &str, body: &str) -> String {
    format!("POST {target} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// Guards against servers that count as ended although only the connection to them was lost.
#[actix_rt::test]
async fn a_lost_connection_to_a_running_server_is_no_crash() {
    let server = serve(|mut io, _| async move {
        io.message(false).await;
    })
    .await;
    let proxy = TestProxy::start(Script { options: options(FastSet::default()), ..Script::to(server.address) });
    assert_eq!(proxy.call("GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n").await.status, 502);
    assert!(proxy.log.borrow().crashes.is_empty());
}

/// Guards against requests of different callers, or with different bodies, that count as the same, and against a
/// request that is not recognized when it comes again.
#[actix_rt::test]
async fn a_request_is_identified_by_target_caller_and_body() {
    let first = fingerprint(&post("/booking/a", "", "kit=1")).await.expect("a crash");
    assert_eq!(fingerprint(&post("/booking/a", "hemlockford-request-id: 77\r\n", "kit=1")).await, Some(first));
    let chunked =
        "POST /booking/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n3\r\nkit\r\n2\r\n=1\r\n0\r\n\r\n";
    assert_eq!(fingerprint(chunked).await, Some(first));
    for other in [
        post("/booking/a?b", "", "kit=1"),
        post("/booking/a", "hemlockford-customer: kovar\r\n", "kit=1"),
        post("/booking/a", "authorization: kovar\r\n", "kit=1"),
        post("/booking/a", "", "kit=2"),
        "GET /booking/a HTTP/1.1\r\nhost: x\r\n\r\n".into(),
    ] {
        assert_ne!(fingerprint(&other).await.expect("a crash"), first, "{other}");
    }
}

/// Guards against a suspected request that the dispatcher cannot recognize, or whose body does not arrive whole because
/// it was read for the fingerprint.
#[actix_rt::test]
async fn a_suspected_request_arrives_with_its_fingerprint_and_its_whole_body() {
    let long = "x".repeat(600 * 1_024);
    for body in ["kit=1", &long] {
        let request = post("/booking/a", "", body);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let expected = body.len();
        let server = actix_rt::spawn(async move {
            let (mut io, _) = listener.accept().await.unwrap();
            let (mut buf, mut read) = (vec![0; 65_536], Vec::new());
            while !read.windows(4).any(|end| end == b"\r\n\r\n") {
                let length = io.read(&mut buf).await.unwrap();
                read.extend_from_slice(&buf[..length]);
            }
            let head = read.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 4;
            while read.len() < head + expected {
                let length = io.read(&mut buf).await.unwrap();
                assert!(length > 0, "the body ends early");
                read.extend_from_slice(&buf[..length]);
            }
            io.write_all(OK.as_bytes()).await.unwrap();
            read[head..].to_vec()
        });
        let known = fingerprint(&request).await.expect("a crash");
        let heads = FastSet::from_iter([known.head]);
        let proxy = TestProxy::start(Script { options: options(heads), ..Script::to(address) });
        assert_eq!(proxy.call(&request).await.status, 200);
        assert_eq!(server.await.unwrap(), body.as_bytes());
        assert_eq!(proxy.log.borrow().calls[0].fingerprint, Some(known));
    }
    let (server, _) = fixed_response_server(OK).await;
    let heads = FastSet::from_iter([7]);
    let proxy = TestProxy::start(Script { options: options(heads), ..Script::to(server.address) });
    assert_eq!(proxy.call(&post("/booking/a", "", "kit=1")).await.status, 200);
    assert_eq!(proxy.log.borrow().calls[0].fingerprint, None);
}

/// Guards against a popular request that is not cleared because its other runs began before it was suspected.
#[actix_rt::test]
async fn an_answer_is_reported_if_the_request_became_suspected_meanwhile() {
    let request = "GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n";
    let known = fingerprint(request).await.expect("a crash");
    let (heads, suspect_heads) = watch::channel(Arc::default());
    let options = ProxyOptions { suspect_heads: Some(suspect_heads), ..options(FastSet::default()) };
    let heads = std::rc::Rc::new(heads);
    let server = serve(move |mut io, _| {
        let heads = heads.clone();
        async move {
            io.message(false).await;
            heads.send_replace(Arc::new(FastSet::from_iter([known.head])));
            io.send(OK).await;
        }
    })
    .await;
    let proxy = TestProxy::start(Script { options, ..Script::to(server.address) });
    assert_eq!(proxy.call(request).await.status, 200);
    assert_eq!(proxy.log.borrow().answered, [known]);
}
