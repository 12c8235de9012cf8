//! Ordinary clients inside the limits, in calm.

use {
    crate::{
        deployment::{Deployment, IDLE_TIMEOUT_S},
        http::Connection,
    },
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::Duration,
    },
};

const ANSWER_BYTES: usize = 700;
const HEADERS: &str = "host: shop.example\r\nattempt-id: calm-1\r\n";
/// Largest body of the examples; it is larger than the memory of the process.
const UPLOAD_BYTES: usize = 64 << 20;
/// Time limit of its route in seconds, far more than it takes.
const UPLOAD_TIMEOUT_S: f64 = 120.0;
/// Size of a part of it, and the pause behind each.
const PART_BYTES: usize = 128 * 1_024;
const PART_PAUSE: Duration = Duration::from_millis(20);

/// Guards against limits that a single large upload at a slow but steady rate meets.
#[test]
fn steady_upload_of_the_largest_size_is_served() {
    let mut deployment = Deployment::for_long_uploads(ANSWER_BYTES, UPLOAD_BYTES, UPLOAD_TIMEOUT_S);
    let mut stream = TcpStream::connect(deployment.entry.front()).expect("a connection");
    let head =
        format!("POST /order/1 HTTP/1.1\r\n{HEADERS}connection: close\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is written");
    let part = vec![b'x'; PART_BYTES];
    for _ in 0..UPLOAD_BYTES / PART_BYTES {
        stream.write_all(&part).expect("a part is written");
        thread::sleep(PART_PAUSE);
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    assert!(answer.starts_with(b"HTTP/1.1 200 "), "{}", String::from_utf8_lossy(&answer));
    deployment.check_ordinary();
    deployment.check_usage();
}

/// Guards against limits that close idle connections earlier than the configuration says.
#[test]
fn idle_connection_is_used_again() {
    let deployment = Deployment::start(ANSWER_BYTES);
    let mut connection = Connection::open(&deployment.entry.front()).expect("a connection");
    for _ in 0..3 {
        let answer = connection.exchange("GET", "/look-up/1", HEADERS, b"").expect("an answer");
        assert_eq!(answer.status, 200);
        thread::sleep(Duration::from_secs_f64(IDLE_TIMEOUT_S * 0.8));
    }
}
