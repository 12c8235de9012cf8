//! A small HTTP/1.1 client: one request on a connection of its own.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Returns the value of a header of a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Sends one request and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let end = Instant::now() + limit;
    let mut stream =
        TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).map_err(|e| format!("connect: {e}"))?;
    let _ = stream.set_nodelay(true);
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        request += &format!("Content-Length: {}\r\n", body.len());
    }
    request += "Connection: close\r\n\r\n";
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|e| format!("write: {e}"))?;
    let mut received = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(answer) = parse(&received) {
            return Ok(answer);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("no answer in time".into());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return Err("the connection ended without a complete answer".into()),
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(e) => return Err(format!("read: {e}")),
        }
    }
}

/// Parses a complete answer with a length.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let body = bytes.get(end..end + length)?.to_vec();
    Some(Answer { status, head, body })
}
