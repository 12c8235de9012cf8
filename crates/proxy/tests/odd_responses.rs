//! Responses that are cut while the request is still written, and responses whose head is not one of HTTP.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::{cell::Cell, rc::Rc},
    support::{
        Caller, TestProxy,
        platform::{self, LOOK_UP, OK, ORDER, echo, echoing_server, with},
        serve, sleep_ms,
    },
};

/// Guards against a cut body that looks complete: a write that fails takes the error of the connection, and the next read
/// reports its end.
#[actix_rt::test]
async fn a_reset_during_an_upload_is_not_the_end_of_a_response() {
    for version in ["1.0", "1.1"] {
        for connection in ["", "connection: close\r\n"] {
            let server = serve(move |mut io: Caller, _| async move {
                while !io.buf.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
                    if !matches!(tokio::io::AsyncReadExt::read_buf(&mut io.io, &mut io.buf).await, Ok(read) if read > 0)
                    {
                        return;
                    }
                }
                io.send(&format!("HTTP/{version} 200 OK\r\n{connection}x-id: 9\r\nx-signed: s\r\n\r\npart")).await;
                // The buffers between proxy and server are full by then, so that a write waits.
                sleep_ms(100).await;
                io.io.set_zero_linger().unwrap();
            })
            .await;
            let proxy = TestProxy::start(platform::script(&[server.address]));
            let mut caller = proxy.caller().await;
            caller
                .send("PUT /upload/a HTTP/1.1\r\nhost: shop.example\r\nx-id: 9\r\ncontent-length: 30000000\r\n\r\n")
                .await;
            let (_, mut writer) = tokio::io::split(&mut caller.io);
            let body = vec![b'b'; 10_000_000];
            let _ = tokio::io::AsyncWriteExt::write_all(&mut writer, &body).await;
            let got = caller.response().await;
            assert_eq!((got.status, got.header("x-signed")), (502, None), "{version} {connection}");
            assert_eq!(proxy.results(), [AttemptResult::BrokenAfterWrite]);
        }
    }
}

/// Guards against a status that HTTP does not have.
#[actix_rt::test]
async fn a_status_outside_of_http_is_no_response() {
    for status in ["000", "099", "20", "2000", "+20", "600", "999"] {
        is_refused(&format!("HTTP/1.1 {status} OK\r\nx-signed: s\r\ncontent-length: 2\r\n\r\nok")).await;
    }
}

/// Guards against the name of a field with a blank or a control byte, which can hide the length of a body from one reader.
#[actix_rt::test]
async fn a_field_name_with_other_bytes_is_no_response() {
    for name in ["x-y ", "x-y\t", "x y", "x\ty", " x-y", "\tx-y", "x\u{1}y", "x-y\u{7f}", "x\u{0}y", "", "x\u{b}"] {
        for position in [0, 1] {
            let mut fields = vec!["x-signed: s".to_owned(), "content-length: 2".to_owned()];
            fields.insert(position, format!("{name}: 1"));
            is_refused(&format!("HTTP/1.1 200 OK\r\n{}\r\n\r\nok", fields.join("\r\n"))).await;
        }
    }
    for length in ["content-length : 1", "content-length\t: 1", "transfer-encoding : chunked"] {
        is_refused(&format!("HTTP/1.1 200 OK\r\nx-signed: s\r\n{length}\r\n\r\nok")).await;
    }
}

/// Checks that a caller gets 502 for a response, wherever the head is split.
async fn is_refused(response: &str) {
    let response: Rc<str> = response.into();
    let split = Rc::new(Cell::new(0));
    let (sent, at) = (response.clone(), split.clone());
    let server = serve(move |mut io: Caller, _| {
        let (sent, at) = (sent.clone(), at.clone());
        async move {
            while let Some(request) = io.message(false).await {
                let response = with(&sent, &format!("x-id: {}", request.header("x-id").unwrap_or("missing")));
                let (first, second) = response.split_at(at.get().min(response.len()));
                io.send(first).await;
                sleep_ms(3).await;
                io.send(second).await;
            }
        }
    })
    .await;
    for position in [0, 15, 40, 60] {
        split.set(position);
        for request in [LOOK_UP, ORDER] {
            let proxy = TestProxy::start(platform::script(&[server.address]));
            let got = proxy.call(request).await;
            assert_eq!((got.status, got.header("x-signed")), (502, None), "{response:?} split at {position}");
            assert_eq!(proxy.results(), [AttemptResult::BadAnswer], "{response:?}");
        }
    }
}

/// Guards against refusing heads that are unusual and valid.
#[actix_rt::test]
async fn unusual_heads_are_responses() {
    let fields = ["X-Y:1", "x-y: ", "x!#$%&'*+-.^_`|~9: a : b", "x-y:\t1\t", "x-y: \u{e4}"];
    for field in fields {
        let response: &'static str = Box::leak(with(OK, field).into_boxed_str());
        let (server, _) = echoing_server(response).await;
        let proxy = TestProxy::start(platform::script(&[server.address]));
        assert_eq!(proxy.call(LOOK_UP).await.status, 200, "{field:?}");
    }
    let server = serve(|mut io: Caller, _| async move {
        while let Some(request) = io.message(false).await {
            io.send("HTTP/1.1 100 Continue\r\n\r\n").await;
            io.send(&echo(OK, &request).replace("200 OK", "200")).await;
        }
    })
    .await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    assert_eq!(proxy.call(LOOK_UP).await.status, 200, "no reason phrase, after an interim response");
}
