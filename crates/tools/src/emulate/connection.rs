//! Connections accepted by a stand-in server.
//!
//! This module drives the HTTP codec itself. The dispatcher of the library neither drops a call whose caller has
//! disconnected nor can it truncate an answer.

use {
    super::{
        reply::Reply,
        server::{Call, Server},
    },
    actix_codec::Framed,
    actix_http::{
        Request, ServiceConfig, StatusCode,
        error::ParseError,
        h1::{Codec, Message, MessageType},
        header,
    },
    futures_util::StreamExt,
    std::{pin::pin, rc::Rc},
    tokio::net::TcpStream,
};

/// Serves a connection until either side closes it.
pub(super) async fn serve(server: Rc<Server>, stream: TcpStream, config: ServiceConfig) {
    let is_refused = server.shared.count(|counts| {
        let is_refused = counts.connections >= server.options.max_connections;
        counts.refused_connections += u64::from(is_refused);
        counts.connections += u32::from(!is_refused);
        is_refused
    });
    if is_refused {
        return;
    }
    let _ = stream.set_nodelay(true);
    if !server.options.connect_time.is_zero() {
        server.timer.sleep_until(std::time::Instant::now() + server.options.connect_time).await;
    }
    let mut framed = Framed::new(stream, Codec::new(config));
    let mut up = server.shared.up.subscribe();
    tokio::select! {
        () = serve_requests(&server, &mut framed) => {}
        // An emulated crash closes the connection and drops the active call.
        _ = up.wait_for(|is_up| !is_up) => {}
    }
    server.shared.count(|counts| counts.connections -= 1);
}

async fn serve_requests(server: &Rc<Server>, framed: &mut Framed<TcpStream, Codec>) {
    let mut pipelined = None;
    // Answer to the previous request, to be sent again before the next answer.
    let mut duplicate: Option<Reply> = None;
    loop {
        let message = match pipelined.take() {
            Some(message) => message,
            None => match read_request(server, framed).await {
                Some(Ok(message)) => message,
                Some(Err(_)) | None => return,
            },
        };
        let Message::Item(req) = message else { return };
        let call = Call::new(&req, &server.options.interface);
        let Some(is_upload_valid) = read_upload(framed, &req, &call).await else { return };
        let reply = if is_upload_valid {
            let mut run = pin!(server.run(&call));
            tokio::select! {
                biased;
                reply = &mut run => reply,
                message = framed.next() => match message {
                    Some(Ok(message)) => {
                        pipelined = Some(message);
                        run.await
                    }
                    // The caller has disconnected; returning drops the call and frees its slot. A caller that closed
                    // only its sending half is treated alike.
                    Some(Err(_)) | None => return,
                },
            }
        } else {
            server.executions.record_wrong_upload();
            server.reply(&call, StatusCode::BAD_REQUEST, "upload is not that of the request\n")
        };
        if let Some(duplicate) = duplicate.take()
            && !matches!(duplicate.write(framed).await, Ok(true))
        {
            return;
        }
        duplicate = reply.is_duplicated.then(|| reply.clone());
        if !matches!(reply.write(framed).await, Ok(true)) {
            return;
        }
    }
}

/// Waits for the next request until the idle timeout of the connection.
async fn read_request(
    server: &Server,
    framed: &mut Framed<TcpStream, Codec>,
) -> Option<Result<Message<Request>, ParseError>> {
    match server.options.interface.idle_timeout {
        Some(limit) => actix_rt::time::timeout(limit, framed.next()).await.ok().flatten(),
        None => framed.next().await,
    }
}

/// Reads the body of a request and returns whether it matches the content derived from the request. The body of a
/// request without an id is not checked. Returns `None` when the caller disconnects.
async fn read_upload(framed: &mut Framed<TcpStream, Codec>, req: &Request, call: &Call) -> Option<bool> {
    if framed.codec_ref().message_type() == MessageType::None {
        return Some(true);
    }
    let length = req.head().headers().get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let stated_length =
        req.head().headers().get(crate::headers::UPLOAD_BYTES).and_then(|value| value.to_str().ok()?.parse().ok());
    let is_checked = req.head().headers().contains_key(crate::headers::REQUEST);
    let mut expected =
        length.or(stated_length).filter(|_| is_checked).map(|length: usize| call.expected_upload(length));
    loop {
        match framed.next().await {
            Some(Ok(Message::Chunk(Some(chunk)))) => {
                if let Some(expected) = &mut expected {
                    expected.compare(&chunk);
                }
            }
            Some(Ok(Message::Chunk(None))) => {
                return Some(
                    expected.is_none_or(|content| content.status() == crate::content::ContentStatus::Complete),
                );
            }
            Some(Ok(Message::Item(_)) | Err(_)) | None => return None,
        }
    }
}
