//! Requests with an idempotency key that are sent to several entries.

use {
    crate::{cluster::Cluster, system::StandInServers},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which a caller retries a booking that was not run. An fsync may take a second on a busy disk.
const RETRY_LIMIT: Duration = Duration::from_secs(20);

/// Sends a booking, retrying while the answer is "not run", as callers may, and returns the last answer.
fn book(address: &str, key: &str, request: &str) -> (u16, String) {
    let end = Instant::now() + RETRY_LIMIT;
    loop {
        let answer = book_once(address, key, request);
        if answer.0 != 503 || Instant::now() > end {
            return answer;
        }
        assert!(answer.1.contains("hemlockford-outcome: not-run;"), "{answer:?}");
    }
}

/// Sends a booking once.
fn book_once(address: &str, key: &str, request: &str) -> (u16, String) {
    post_with_key(address, "/catalogue/book", key, request)
}

/// Sends a POST request with an idempotency key and returns the status and the head of the answer. The status is 0 if
/// there is no answer.
fn post_with_key(address: &str, path: &str, key: &str, request: &str) -> (u16, String) {
    let try_post = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: 0\r\n\
             idempotency-key: {key}\r\nload-request: {request}\r\nload-answer-bytes: 100\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into())
    };
    let answer = try_post().unwrap_or_default();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    (status, answer.split("\r\n\r\n").next().unwrap_or_default().to_lowercase())
}

/// Returns the number of requests that all servers together have started.
fn started_requests(servers: &StandInServers) -> u64 {
    let counts = servers.executions();
    let servers = counts["servers"].as_array().expect("servers");
    servers.iter().map(|server| server["started"].as_u64().expect("a count")).sum()
}

/// Guards against a booking that runs twice because two copies arrive at two entries at the same time.
#[test]
fn two_copies_at_once_run_once() {
    let cluster = Cluster::start(5, 3);
    let servers = cluster.start_servers(&["--servers", "4", "--service-time", "50ms"]);
    let before = started_requests(&servers);
    for round in 0..10 {
        let key = format!("key-{round}");
        let answers: Vec<_> = thread::scope(|scope| {
            let copies: Vec<_> = [3, 4]
                .map(|member: usize| {
                    let (address, key) = (cluster.members[member].caller_address.clone(), key.clone());
                    scope.spawn(move || book(&address, &key, &format!("{key}-request")))
                })
                .into_iter()
                .collect();
            copies.into_iter().map(|copy| copy.join().expect("the sending thread does not panic")).collect()
        });
        let statuses: Vec<_> = answers.iter().map(|(status, _)| *status).collect();
        assert!(statuses.contains(&200), "{answers:?}");
        assert!(statuses.iter().all(|status| [200, 409].contains(status)), "{answers:?}");
        // The outcome is recorded after the answer. Until then the answer to a copy is that the outcome is in doubt.
        let request = format!("{key}-request");
        cluster.wait_until(RETRY_LIMIT, "a later copy gets the recorded answer", |cluster| {
            let (status, head) = book(&cluster.members[2].caller_address, &key, &request);
            assert!([200, 409].contains(&status), "{status} {head}");
            status == 200 && head.contains("hemlockford-once: replayed")
        });
    }
    assert_eq!(started_requests(&servers) - before, 10, "each booking ran once");
}

/// Guards against a booking that runs again, or is reported as not run, after the entry that sent it was killed.
#[test]
fn a_copy_after_a_killed_entry_is_in_doubt() {
    let mut cluster = Cluster::start(5, 3);
    let servers = cluster.start_servers(&["--servers", "4", "--service-time", "1500ms"]);
    let before = started_requests(&servers);
    let address = cluster.members[4].caller_address.clone();
    let first = thread::spawn(move || book(&address, "order-1", "order-1"));
    thread::sleep(Duration::from_millis(700));
    cluster.members[4].kill();
    assert_eq!(
        first.join().expect("the sending thread does not panic").0,
        0,
        "the caller of the killed entry got an answer"
    );
    for member in 0..4 {
        let (status, head) = book(&cluster.members[member].caller_address, "order-1", "order-1");
        assert!(status == 409 && head.contains("unknown; in-doubt"), "{status} {head}");
    }
    assert_eq!(started_requests(&servers) - before, 1, "the booking ran once");
}

/// Guards against accepting a key that was already used for a different request.
#[test]
fn a_key_of_another_request_is_refused() {
    let cluster = Cluster::start(3, 3);
    let servers = cluster.start_servers(&["--servers", "2", "--service-time", "1ms"]);
    assert_eq!(book(&cluster.members[0].caller_address, "key", "first").0, 200);
    let before = started_requests(&servers);
    // The digest covers the path, so that a different path makes a different request.
    let (status, head) = post_with_key(&cluster.members[1].caller_address, "/catalogue/other", "key", "second");
    assert!(status == 422 && head.contains("not-run; key-reused"), "{status} {head}");
    assert_eq!(started_requests(&servers), before, "the other request did not run");
}

/// Guards against sending a booking with a key although its claim cannot be recorded.
#[test]
fn without_control_replicas_a_booking_with_a_key_is_not_run() {
    let mut cluster = Cluster::start(7, 3);
    let servers = cluster.start_servers(&["--servers", "2", "--service-time", "1ms"]);
    let before = started_requests(&servers);
    for replica in 0..3 {
        cluster.members[replica].kill();
    }
    let (status, head) = book_once(&cluster.members[4].caller_address, "k", "r");
    assert!(status == 503 && head.contains("not-run; claim-unavailable"), "{status} {head}");
    assert!(head.contains("retry-after"), "{head}");
    assert_eq!(started_requests(&servers), before, "nothing ran");
}
