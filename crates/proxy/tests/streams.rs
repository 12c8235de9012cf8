//! Streaming of bodies in both directions concurrently.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::{cell::Cell, rc::Rc, time::Duration},
    support::{Caller, Script, TestProxy, eventually, serve, sleep_ms},
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

const SIZE: usize = 10 * 1_024 * 1_024;
/// Limit of the data that may be buffered for a stalled side: by the kernel (send and receive buffers of both
/// connections, which grow up to a few MB each) and in the proxy's own buffers of 64 KB. It is well below [`LARGE`].
const HELD_LIMIT: usize = 24 * 1_024 * 1_024;
const LARGE: usize = 64 * 1_024 * 1_024;
/// More time than a debug build needs for the bodies below.
const LONG: Duration = Duration::from_secs(20);

fn byte(position: usize) -> u8 {
    (position % 251) as u8
}

/// Writes a body with a known pattern until it is complete or the other side stops accepting data.
async fn write_pattern(io: &mut (impl AsyncWriteExt + Unpin), size: usize, written: &Cell<usize>) {
    let mut part = Vec::new();
    while written.get() < size {
        part.clear();
        part.extend((written.get()..size.min(written.get() + 32_768)).map(byte));
        if io.write_all(&part).await.is_err() {
            return;
        }
        written.set(written.get() + part.len());
    }
}

async fn read_pattern(io: &mut (impl AsyncReadExt + Unpin), start: &[u8], size: usize) {
    let mut position = 0;
    let mut buf = vec![0; 65_536];
    let mut part = start.to_vec();
    loop {
        assert!(part.iter().enumerate().all(|(index, got)| *got == byte(position + index)), "at {position}");
        position += part.len();
        if position >= size {
            return assert_eq!(position, size);
        }
        let read = io.read(&mut buf).await.unwrap();
        assert!(read > 0, "the body ended at {position} of {size}");
        part = buf[..read].to_vec();
    }
}

/// Reads a head and returns it with the bytes that were read after it.
async fn read_head(caller: &mut Caller) -> (String, Vec<u8>) {
    loop {
        if let Some(end) = caller.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let rest = caller.buf.split_off(end + 4);
            return (String::from_utf8(std::mem::take(&mut caller.buf)).unwrap(), rest);
        }
        assert!(caller.io.read_buf(&mut caller.buf).await.unwrap() > 0);
    }
}

/// Guards against bodies that wait for each other or are modified in transit.
#[actix_rt::test]
async fn large_bodies_are_streamed_in_both_directions_at_once() {
    let server = serve(|mut io, _| async move {
        let (_, rest) = read_head(&mut io).await;
        io.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: {SIZE}\r\n\r\n")).await;
        let (mut read, mut write) = io.io.split();
        let written = Cell::new(0);
        tokio::join!(read_pattern(&mut read, &rest, SIZE), write_pattern(&mut write, SIZE, &written));
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: {SIZE}\r\n\r\n")).await;
    // The response begins before any part of the body is sent.
    let (head, rest) = read_head(&mut caller).await;
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let (mut read, mut write) = caller.io.split();
    let written = Cell::new(0);
    let both = async { tokio::join!(read_pattern(&mut read, &rest, SIZE), write_pattern(&mut write, SIZE, &written)) };
    actix_rt::time::timeout(LONG, both).await.expect("both bodies pass");
    assert!(eventually(Duration::from_secs(1), || proxy.results() == [AttemptResult::Complete]).await);
    assert_eq!(proxy.counter("hemlockford_body_bytes_total"), 2 * SIZE as u64);
}

/// Guards against buffering a response without limit for a caller that does not read.
#[actix_rt::test]
async fn a_caller_that_does_not_read_slows_down_the_server() {
    let written = Rc::new(Cell::new(0));
    let count = written.clone();
    let server = serve(move |mut io, _| {
        let count = count.clone();
        async move {
            io.message(false).await;
            io.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\n\r\n")).await;
            write_pattern(&mut io.io, LARGE, &count).await;
        }
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    caller.send("GET /catalogue/a HTTP/1.1\r\nhost: x\r\n\r\n").await;
    sleep_ms(1_000).await;
    assert!(written.get() < HELD_LIMIT, "{} bytes are held", written.get());
    assert!(proxy.counter("hemlockford_body_bytes_total") < HELD_LIMIT as u64);
    // The deadline ends the call, which does not count as a fault of the server.
    assert!(eventually(Duration::from_secs(3), || proxy.results() == [AttemptResult::CallerLeft]).await);
}

/// Guards against buffering an upload without limit for a server that does not read, and against missing the
/// disconnect of a caller behind unread data. A reset is detected at once. The end of file of a plain close stays
/// behind the data that the caller's kernel cannot deliver (its socket is in FIN_WAIT1 and ours is still
/// established), so that only the deadline of 2 s ends such a call.
#[actix_rt::test]
async fn a_server_that_does_not_read_slows_down_the_caller() {
    for (is_reset, limit) in [(true, Duration::from_secs(1)), (false, Duration::from_secs(3))] {
        let closed = Rc::new(Cell::new(false));
        let is_closed = closed.clone();
        let server = serve(move |mut io, _| {
            let is_closed = is_closed.clone();
            async move {
                read_head(&mut io).await;
                while io.io.ready(tokio::io::Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
                    sleep_ms(20).await;
                }
                is_closed.set(true);
            }
        })
        .await;
        let proxy = TestProxy::start(Script::to(server.address));
        let mut caller = proxy.caller().await;
        caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE}\r\n\r\n")).await;
        if is_reset {
            caller.io.set_zero_linger().unwrap();
        }
        let written = Rc::new(Cell::new(0));
        let count = written.clone();
        let upload = actix_rt::spawn(async move { write_pattern(&mut caller.io, LARGE, &count).await });
        sleep_ms(500).await;
        assert!(written.get() < HELD_LIMIT, "{} bytes are held", written.get());
        assert!(!closed.get());
        upload.abort();
        assert!(eventually(limit, || closed.get()).await, "the server sees the close");
        let result = if is_reset { AttemptResult::CallerLeft } else { AttemptResult::Timeout };
        assert_eq!(proxy.results(), [result]);
    }
}

/// Guards against an early response that is delayed by the upload, or is lost when the server closes the connection.
#[actix_rt::test]
async fn an_early_response_is_forwarded_during_the_upload() {
    for closes in [false, true] {
        let server = serve(move |mut io, _| async move {
            read_head(&mut io).await;
            io.send("HTTP/1.1 413 Payload Too Large\r\ncontent-length: 3\r\n\r\nbig").await;
            if !closes {
                io.rest().await;
            }
        })
        .await;
        let proxy = TestProxy::start(Script::to(server.address));
        let mut caller = proxy.caller().await;
        caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\ncontent-length: {SIZE}\r\n\r\nsome")).await;
        let got = caller.response().await;
        assert_eq!((got.status, got.body.as_slice()), (413, b"big".as_slice()));
        // The rest of the body cannot be read as a request, because the connection ends.
        caller.send("GET /catalogue/smuggled HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert_eq!(caller.rest().await, "");
        assert_eq!(proxy.log.borrow().calls.len(), 1);
        // The connection to the server carried an incomplete request and is not reused.
        let got = proxy.call("GET /catalogue/b HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert_eq!((got.status, server.connections.get()), (413, 2));
    }
}

/// Guards against chunked bodies that lose their framing.
#[actix_rt::test]
async fn chunked_bodies_are_streamed_in_both_directions() {
    let server = serve(|mut io, _| async move {
        while let Some(request) = io.message(false).await {
            assert!(request.head.contains("transfer-encoding: chunked\r\n"));
            io.send("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
            for part in request.body.chunks(3) {
                io.send(&format!("{:x}\r\n{}\r\n", part.len(), String::from_utf8_lossy(part))).await;
                sleep_ms(5).await;
            }
            io.send("0\r\n\r\n").await;
        }
    })
    .await;
    let proxy = TestProxy::start(Script::to(server.address));
    let mut caller = proxy.caller().await;
    for _ in 0..2 {
        caller.send("PUT /catalogue/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel").await;
        sleep_ms(10).await;
        caller.send("lo\r\n6;x=y\r\n world\r\n0\r\n\r\n").await;
        assert_eq!(caller.response().await.body, b"hello world");
    }
    assert_eq!(server.connections.get(), 1);
}
