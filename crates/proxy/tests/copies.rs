//! Second copies of running calls.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult::{
        BadAnswer, BrokenAfterWrite, CallerLeft, Complete, RefusedBeforeWrite, ServerError, Shed, Superseded,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    support::{
        Caller, Script, Server, TestProxy, eventually,
        platform::{self, LOOK_UP, ORDER, echo},
        refused_address, serve, sleep_ms,
    },
};

/// Time after which the dispatcher asks for a copy.
const COPY_AFTER: Duration = Duration::from_millis(30);
const LIMIT: Duration = Duration::from_secs(2);

/// Returns a response with this body.
fn response(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// What happened at a server.
#[derive(Debug, Default)]
struct Seen {
    requests: Vec<String>,
    /// Connections that the other side ended during a request.
    cancelled: usize,
}

/// Starts a server that answers each request with a response after a time, and notices when it is cancelled.
async fn slow_server(ms: u64, response: String) -> (Server, Rc<RefCell<Seen>>) {
    let seen = Rc::new(RefCell::new(Seen::default()));
    let shared = seen.clone();
    let server = serve(move |mut io: Caller, _| {
        let (seen, response) = (shared.clone(), response.clone());
        async move {
            while let Some(request) = io.message(false).await {
                seen.borrow_mut().requests.push(request.head.clone());
                tokio::select! {
                    () = sleep_ms(ms) => io.send(&echo(&response, &request)).await,
                    more = io.message(false) => {
                        assert!(more.is_none(), "another request on a connection in use");
                        seen.borrow_mut().cancelled += 1;
                        return;
                    }
                }
            }
        }
    });
    (server.await, seen)
}

/// Starts a proxy whose first attempts go to one server and whose copies go to another.
fn start(first: SocketAddr, copy: SocketAddr) -> TestProxy {
    let mut script = Script { copy: Some((COPY_AFTER, copy)), ..platform::script(&[first]) };
    script.options.runs_copies = true;
    TestProxy::start(script)
}

/// Guards against a caller that waits for a slow server although the other copy is answered, and against a cancelled
/// copy that keeps its connection or its slot.
#[actix_rt::test]
async fn a_fast_copy_answers_for_a_slow_server() {
    let (slow, seen_slow) = slow_server(1_500, response("200 OK", "slow")).await;
    let (fast, seen_fast) = slow_server(5, response("200 OK", "fast")).await;
    let proxy = start(slow.address, fast.address);
    let answer = proxy.call(LOOK_UP).await;
    assert_eq!((answer.status, &answer.body[..]), (200, &b"fast"[..]));
    assert!(eventually(LIMIT, || seen_slow.borrow().cancelled == 1).await, "{seen_slow:?}");
    assert!(eventually(LIMIT, || proxy.results().len() == 2).await);
    assert_eq!(proxy.results(), [Superseded, Complete]);
    let seen = seen_fast.borrow();
    assert!(seen.requests[0].contains("x-id: 7") && seen.requests[0].contains("x-for: copy"), "{seen:?}");
}

/// Guards against a copy that is sent although the first attempt was answered, or runs on when it is.
#[actix_rt::test]
async fn the_first_attempt_cancels_the_copy() {
    let (first, _) = slow_server(120, response("200 OK", "first")).await;
    let (copy, seen) = slow_server(1_500, response("200 OK", "copy")).await;
    let proxy = start(first.address, copy.address);
    assert_eq!(proxy.call(LOOK_UP).await.body, b"first");
    assert!(eventually(LIMIT, || seen.borrow().cancelled == 1).await, "{seen:?}");
    assert!(eventually(LIMIT, || proxy.results().len() == 2).await);
    assert!(proxy.results().contains(&Superseded) && proxy.results().contains(&Complete), "{:?}", proxy.results());

    let (quick, _) = slow_server(0, response("200 OK", "quick")).await;
    let (copy, seen) = slow_server(0, response("200 OK", "copy")).await;
    let proxy = start(quick.address, copy.address);
    assert_eq!(proxy.call(LOOK_UP).await.body, b"quick");
    sleep_ms(100).await;
    assert_eq!((proxy.results(), seen.borrow().requests.len()), (vec![Complete], 0));
}

/// Guards against bytes of two answers that are mixed when both copies are answered at about the same time, with short
/// answers, and with long ones whose parts arrive slowly.
#[actix_rt::test]
async fn answers_of_both_copies_are_not_mixed() {
    for length in [3, 5_000, 300_000] {
        for first_ms in [25, 30, 32, 34, 40] {
            let body = |letter: &str| letter.repeat(length);
            let (first, _) = slow_server(first_ms, response("200 OK", &body("a"))).await;
            let (copy, _) = slow_server(2, response("200 OK", &body("b"))).await;
            let proxy = start(first.address, copy.address);
            let mut caller = proxy.caller().await;
            for _ in 0..3 {
                caller.send(LOOK_UP).await;
                let answer = caller.response().await;
                let text = String::from_utf8(answer.body).unwrap();
                assert!(text == body("a") || text == body("b"), "{length} {first_ms}: {} bytes", text.len());
            }
        }
    }
}

/// Guards against a large answer that is replaced after a part of it was forwarded, and against a copy that runs on while
/// it is.
#[actix_rt::test]
async fn a_large_answer_that_has_begun_cancels_the_copy() {
    let first = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            let head = echo("HTTP/1.1 200 OK\r\ncontent-length: 200000\r\n\r\n", &request);
            io.send(&format!("{head}{}", "a".repeat(100_000))).await;
            sleep_ms(200).await;
            io.send(&"a".repeat(100_000)).await;
        }
    })
    .await;
    let (copy, seen) = slow_server(5, response("200 OK", "copy")).await;
    let proxy = start(first.address, copy.address);
    let answer = proxy.call(LOOK_UP).await;
    assert!(answer.body.len() == 200_000 && answer.body.iter().all(|byte| *byte == b'a'));
    assert_eq!((proxy.results(), seen.borrow().requests.len()), (vec![Complete], 0));
}

/// Guards against a call that fails with its first attempt although the copy may still be answered.
#[actix_rt::test]
async fn the_copy_answers_if_the_first_attempt_fails() {
    let cases = [
        ("", BrokenAfterWrite),
        ("HTTP/1.1 503 Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n", Shed),
        ("HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n", ServerError),
        ("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut", BrokenAfterWrite),
        ("nonsense\r\n\r\n", BadAnswer),
    ];
    for (text, expected) in cases {
        let first = serve(move |mut io: Caller, _| async move {
            if let Some(request) = io.message(false).await {
                sleep_ms(80).await;
                io.send(&echo(text, &request)).await;
                // The end of the connection is the failure of some cases.
                let ms = if text.ends_with("cut") || text.is_empty() { 0 } else { 500 };
                sleep_ms(ms).await;
            }
        })
        .await;
        let (copy, _) = slow_server(150, response("200 OK", "copy")).await;
        let proxy = start(first.address, copy.address);
        let answer = proxy.call(LOOK_UP).await;
        assert_eq!((answer.status, &answer.body[..]), (200, &b"copy"[..]), "{text}");
        assert_eq!(proxy.results(), [expected, Complete], "{text}");
    }
}

/// Guards against a call that ends because its copy failed, and against a copy that fails without a report.
#[actix_rt::test]
async fn a_failed_copy_does_not_end_the_call() {
    let (first, _) = slow_server(150, response("200 OK", "first")).await;
    let (failing, _) = slow_server(5, response("500 Error", "failed")).await;
    for (copy, expected) in [(failing.address, ServerError), (refused_address(), RefusedBeforeWrite)] {
        let proxy = start(first.address, copy);
        assert_eq!(proxy.call(LOOK_UP).await.body, b"first");
        assert_eq!(proxy.results(), [expected, Complete]);
    }
}

/// Guards against a call of which both copies failed that is reported as not run, or gets no answer.
#[actix_rt::test]
async fn a_call_whose_copies_both_fail_has_an_unknown_outcome() {
    let broken = serve(|mut io: Caller, _| async move {
        io.message(false).await;
        sleep_ms(80).await;
    })
    .await;
    let shed = "HTTP/1.1 503 Unavailable\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let (shedding, _) = slow_server(100, shed.to_owned()).await;
    let proxy = start(broken.address, shedding.address);
    let answer = proxy.call(LOOK_UP).await;
    assert_eq!(proxy.results(), [BrokenAfterWrite, Shed]);
    assert!(matches!(answer.status, 502 | 504), "{}", answer.head);
}

/// Guards against copies that run on after the caller has left.
#[actix_rt::test]
async fn both_copies_are_cancelled_when_the_caller_leaves() {
    let (first, seen_first) = slow_server(1_500, response("200 OK", "first")).await;
    let (copy, seen_copy) = slow_server(1_500, response("200 OK", "copy")).await;
    let proxy = start(first.address, copy.address);
    let mut caller = proxy.caller().await;
    caller.send(LOOK_UP).await;
    assert!(eventually(LIMIT, || seen_copy.borrow().requests.len() == 1).await);
    drop(caller);
    assert!(eventually(LIMIT, || seen_first.borrow().cancelled + seen_copy.borrow().cancelled == 2).await);
    assert!(eventually(LIMIT, || proxy.results().len() == 2).await);
    assert!(proxy.results().contains(&CallerLeft) && proxy.results().contains(&Superseded), "{:?}", proxy.results());
}

/// Guards against copies of calls that must not run twice.
#[actix_rt::test]
async fn an_order_gets_no_copy() {
    let (first, _) = slow_server(100, response("200 OK", "first")).await;
    let (copy, seen) = slow_server(5, response("200 OK", "copy")).await;
    let proxy = start(first.address, copy.address);
    assert_eq!(proxy.call(ORDER).await.body, b"first");
    assert_eq!((proxy.results(), seen.borrow().requests.len()), (vec![Complete], 0));
}
