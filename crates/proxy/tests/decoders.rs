//! Fuzzing of the HTTP decoders with damaged and random messages from servers and callers. Guards against panics,
//! connections that stall, and truncated responses that reach a caller as complete ones.

mod support;

use {
    futures_util::future::join_all,
    hemlockford_fuzz::{Fuzzer, Mutator, SEED},
    hemlockford_proxy::{LoadFormat, ProxyOptions},
    std::{
        cell::RefCell,
        panic,
        rc::Rc,
        sync::{
            Once,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    support::{Caller, Script, TestProxy, fixed_response_server, serve},
    tokio::io::AsyncWriteExt,
};

/// Number of concurrent connections.
const AT_ONCE: usize = 20;
/// Time within which each connection must have ended, far above the timeouts of the worker.
const WAIT: Duration = Duration::from_secs(10);
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 12\r\nhemlockford-load: 1/2\r\n\r\nhello, world",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\nx: y\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\nhemlockford-load: 9/2\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno",
];
const REQUESTS: [&str; 4] = [
    "GET /catalogue/a?b=c HTTP/1.1\r\nhost: x\r\nhemlockford-customer: kovar\r\nhemlockford-deadline: 500\r\n\r\n",
    "POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\nhemlockford-depth: 2\r\n\r\nhello",
    "PUT /booking/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n",
    "POST /booking/a HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\nhi",
];

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Counts the panics of all tasks, as a panic in a spawned task does not fail a test.
fn count_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let show = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::Relaxed);
            show(info);
        }));
    });
}

fn options() -> ProxyOptions {
    let short = Duration::from_millis(200);
    ProxyOptions {
        head_timeout: short,
        body_idle_timeout: short,
        caller_idle_timeout: short,
        ..ProxyOptions::default()
    }
}

fn inputs(valid: &[&str], count: usize) -> Vec<Vec<u8>> {
    println!("seed {SEED}");
    let mut mutator = Mutator::new(SEED);
    let input = |number: usize| match number % 10 {
        0 => mutator.random_bytes(),
        1 | 2 => {
            let valid = valid[mutator.random_index(valid.len())].as_bytes();
            valid[..mutator.random_index(valid.len())].to_vec()
        }
        _ => {
            let (input, other) = (valid[mutator.random_index(valid.len())], valid[mutator.random_index(valid.len())]);
            mutator.mutate(input.as_bytes(), other.as_bytes())
        }
    };
    (0..count).map(input).collect()
}

/// Returns the data received until the connection ended.
async fn exchange(mut caller: Caller, request: &[u8]) -> String {
    // The worker may refuse the request before it has read all of it.
    let _ = caller.io.write_all(request).await;
    actix_rt::time::timeout(WAIT, caller.rest()).await.expect("the connection ends")
}

/// Returns whether a response has the end that its head declares.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let head = head.to_ascii_lowercase();
    match head.split("content-length: ").nth(1).and_then(|rest| rest.split("\r\n").next()) {
        Some(length) => length.parse() == Ok(body.len()),
        None => head.contains("chunked") && body.ends_with("0\r\n\r\n"),
    }
}

#[actix_rt::test]
async fn responses_of_servers_are_read_safely() {
    count_panics();
    let responses = Rc::new(inputs(&RESPONSES, 600));
    let given = responses.clone();
    let server = serve(move |mut io, _| {
        let given = given.clone();
        async move {
            let Some(request) = io.message(false).await else { return };
            let number = request.head.split([' ', '/']).nth(3).and_then(|number| number.parse::<usize>().ok());
            let response = number.and_then(|number| given.get(number)).map_or(OK.as_bytes(), |response| response);
            let _ = io.io.write_all(response).await;
        }
    })
    .await;
    // A GET may be sent on a connection that the server has closed, and is then sent again.
    let script = Script { options: options(), servers: vec![server.address; 3], ..Script::to(server.address) };
    let proxy = TestProxy::start(script);
    let (mut whole, mut passed) = (0, 0);
    for first in (0..responses.len()).step_by(AT_ONCE) {
        let calls = (first..first + AT_ONCE).map(|number| {
            let request = format!("GET /catalogue/{number} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let caller = proxy.caller();
            async move { (number, exchange(caller.await, request.as_bytes()).await) }
        });
        for (number, response) in join_all(calls).await {
            let given = &responses[number];
            let is_passed = response.starts_with("HTTP/1.1 200") && is_complete(&response);
            let is_cut = RESPONSES.iter().any(|valid| valid.len() > given.len() && valid.as_bytes().starts_with(given));
            assert!(!(is_passed && is_cut), "{:?} gave {response:?}", given.escape_ascii().to_string());
            whole += usize::from(is_complete(&response));
            passed += usize::from(is_passed);
        }
        // A POST uses a new connection, as the server has closed those of the previous responses.
        let sound = "POST /catalogue/x HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
        let response = proxy.call(sound).await;
        assert_eq!(response.body, b"ok", "{} after the responses from {first} on", response.head);
    }
    println!(
        "{} responses of servers: callers got {whole} complete responses, {passed} of them with status 200",
        responses.len()
    );
    assert!(passed > 0 && whole > passed);
    assert_eq!(PANICS.load(Ordering::Relaxed), 0, "panics");
}

#[actix_rt::test]
async fn requests_of_callers_are_read_safely() {
    count_panics();
    let (server, seen) = fixed_response_server(OK).await;
    let proxy = TestProxy::start(Script { options: options(), ..Script::to(server.address) });
    let requests = inputs(&REQUESTS, 600);
    let statuses = RefCell::new(std::collections::BTreeMap::<String, usize>::new());
    for batch in requests.chunks(AT_ONCE) {
        let calls = batch.iter().map(|request| {
            let (caller, statuses) = (proxy.caller(), &statuses);
            async move {
                let response = exchange(caller.await, request).await;
                let status = response.split(' ').nth(1).unwrap_or("none").to_owned();
                *statuses.borrow_mut().entry(status).or_default() += 1;
            }
        });
        join_all(calls).await;
        assert_eq!(proxy.call("GET /catalogue/x HTTP/1.1\r\nhost: x\r\n\r\n").await.body, b"ok");
    }
    println!(
        "{} requests: first statuses {:?}, {} reached the server",
        requests.len(),
        statuses.borrow(),
        seen.borrow().len()
    );
    assert_eq!(PANICS.load(Ordering::Relaxed), 0, "panics");
}

#[test]
fn load_reports_are_read_safely() {
    for (name, format, valid) in
        [("load", LoadFormat::InFlight, ["3/2", "0/0"]), ("load list", LoadFormat::List, ["2,1,2,150", "2, 1, 2"])]
    {
        let read = |input: &[u8]| format.parse(std::str::from_utf8(input).ok()?);
        Fuzzer::new(name, 16).run(&valid.map(Vec::from), 4_000, read, |_, _| ());
    }
}
