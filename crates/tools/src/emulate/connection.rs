//! One accepted connection of a stand-in server.
//!
//! The codec is driven here and not by the library's dispatcher, because that one does not drop a call
//! whose caller has left and cannot cut an answer off half way.

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
    let is_over = server.shared.count(|counts| {
        let is_over = counts.connections >= server.options.max_connections;
        counts.refused_connections += u64::from(is_over);
        counts.connections += u32::from(!is_over);
        is_over
    });
    if is_over {
        return;
    }
    let _ = stream.set_nodelay(true);
    if !server.options.connect_time.is_zero() {
        server.timer.sleep_until(std::time::Instant::now() + server.options.connect_time).await;
    }
    let mut framed = Framed::new(stream, Codec::new(config));
    let mut up = server.shared.up.subscribe();
    tokio::select! {
        () = exchange(&server, &mut framed) => {}
        // A crash closes the connection and drops its call.
        _ = up.wait_for(|is_up| !is_up) => {}
    }
    server.shared.count(|counts| counts.connections -= 1);
}

async fn exchange(server: &Rc<Server>, framed: &mut Framed<TcpStream, Codec>) {
    let mut early = None;
    // An answer that is sent once more where the next one is expected.
    let mut repeated: Option<Reply> = None;
    loop {
        let message = match early.take() {
            Some(message) => message,
            None => match next(server, framed).await {
                Some(Ok(message)) => message,
                Some(Err(_)) | None => return,
            },
        };
        let Message::Item(req) = message else { return };
        let call = Call::new(&req, &server.options.interface);
        let Some(is_right) = read_upload(framed, &req, &call).await else { return };
        let reply = if is_right {
            let mut run = pin!(server.run(&call));
            tokio::select! {
                biased;
                reply = &mut run => reply,
                message = framed.next() => match message {
                    Some(Ok(message)) => {
                        early = Some(message);
                        run.await
                    }
                    // The caller has left; returning drops the call, which frees its slot. A caller that
                    // closed only its sending half is taken to have left as well.
                    Some(Err(_)) | None => return,
                },
            }
        } else {
            server.executions.wrong_upload();
            server.reply(&call, StatusCode::BAD_REQUEST, "upload is not that of the request\n")
        };
        if let Some(repeated) = repeated.take()
            && !matches!(repeated.write(framed).await, Ok(true))
        {
            return;
        }
        repeated = reply.is_repeated.then(|| reply.clone());
        if !matches!(reply.write(framed).await, Ok(true)) {
            return;
        }
    }
}

/// Waits for the next request, on an idle connection no longer than the server keeps it.
async fn next(server: &Server, framed: &mut Framed<TcpStream, Codec>) -> Option<Result<Message<Request>, ParseError>> {
    match server.options.interface.idle_timeout {
        Some(limit) => actix_rt::time::timeout(limit, framed.next()).await.ok().flatten(),
        None => framed.next().await,
    }
}

/// Reads the body of a request and returns whether it is the one derived from the request, where the
/// request carries an id; `None` when the caller left.
async fn read_upload(framed: &mut Framed<TcpStream, Codec>, req: &Request, call: &Call) -> Option<bool> {
    if framed.codec_ref().message_type() == MessageType::None {
        return Some(true);
    }
    let length = req.head().headers().get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let stated =
        req.head().headers().get(crate::headers::UPLOAD_BYTES).and_then(|value| value.to_str().ok()?.parse().ok());
    let is_checked = req.head().headers().contains_key(crate::headers::REQUEST);
    let mut content = length.or(stated).filter(|_| is_checked).map(|length: usize| call.upload(length));
    loop {
        match framed.next().await {
            Some(Ok(Message::Chunk(Some(chunk)))) => {
                if let Some(content) = &mut content {
                    content.compare(&chunk);
                }
            }
            Some(Ok(Message::Chunk(None))) => {
                return Some(content.is_none_or(|content| content.status() == crate::content::ContentStatus::Complete));
            }
            Some(Ok(Message::Item(_)) | Err(_)) | None => return None,
        }
    }
}
