//! Servers that stop at any byte of a response and close the connection.

mod support;

use support::{Caller, Script, Server, TestProxy, platform, serve};

/// Responses to a request with the id 7 or 8, and up to which byte a close is a truncation.
fn responses(id: &str) -> Vec<(&'static str, String, usize)> {
    let whole = |name, text: String| (name, text.clone(), text.len());
    let until_close = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signed: s\r\n\r\n");
    let head = until_close.len();
    vec![
        whole("sized", format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 12\r\n\r\nhello, world")),
        whole(
            "chunked",
            format!(
                "HTTP/1.1 200 OK\r\nx-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n7;a=b\r\nhello, \r\n\
                 005\r\nworld\r\n0\r\n\r\n"
            ),
        ),
        whole(
            "interim",
            format!(
                "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n\
                 HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 12\r\n\r\nhello, world"
            ),
        ),
        // The end of the connection is the end of this body.
        ("until close", format!("{until_close}hello, world"), head),
    ]
}

async fn cutting_server(response: String) -> Server {
    serve(move |mut io: Caller, _| {
        let response = response.clone();
        async move {
            if io.message(false).await.is_some() {
                io.send(&response).await;
            }
        }
    })
    .await
}

async fn check(proxy: &TestProxy, request: &str, case: &str, is_whole: bool) {
    let mut caller = proxy.caller().await;
    caller.send(request).await;
    match caller.message(false).await {
        Some(got) if got.status == 200 => {
            assert!(is_whole, "{case}: {}", got.head);
            assert_eq!(got.body, b"hello, world", "{case}");
        }
        Some(got) => assert!(got.status == 502 && !is_whole, "{case}: {}", got.head),
        // The response was forwarded up to the cut, and the connection to the caller reset.
        None => assert!(!is_whole, "{case}"),
    }
}

/// Guards against a response that ends in its head or body, at any byte, and reaches the caller framed as whole: directly
/// and through another entry.
#[actix_rt::test]
async fn a_response_cut_at_any_byte_is_not_whole() {
    for (request, id) in [(platform::LOOK_UP, "7"), (platform::ORDER, "8")] {
        for (name, response, end) in responses(id) {
            let cuts = (0..end).chain([response.len()]);
            for cut in cuts {
                let server = cutting_server(response[..cut].to_owned()).await;
                let direct = TestProxy::start(platform::script(&[server.address]));
                let passing_on = Script { relay_attempts: Some(1), ..platform::script(&[direct.relay_address]) };
                let relay = TestProxy::start(passing_on);
                for (proxy, path) in [(&direct, "direct"), (&relay, "relayed")] {
                    let case = format!("{name}, {path}, request {id}, cut at {cut} of {}", response.len());
                    check(proxy, request, &case, cut == response.len()).await;
                }
            }
        }
    }
}
