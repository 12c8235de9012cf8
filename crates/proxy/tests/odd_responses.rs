//! Responses that are cut while the request is still written.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    support::{Caller, TestProxy, platform, serve, sleep_ms},
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
