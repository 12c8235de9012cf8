//! POST requests, each on its own connection.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a POST request and returns the status and the body of the answer. The status is 0 if there is no answer.
pub fn post(address: &str, path: &str, body: &str) -> (u16, String) {
    let answer = try_post(address, path, body).unwrap_or_default();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    (status, body.unwrap_or_default())
}

fn try_post(address: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    let head =
        format!("POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    // Head and body go out in one write; with two, a delayed acknowledgement could hold up the body.
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Ok(String::from_utf8_lossy(&answer).into())
}
