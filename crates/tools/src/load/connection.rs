//! Connections of the load generator, which distinguish complete answers from truncated ones.

use {
    actix_codec::Framed,
    actix_http::{
        RequestHead, RequestHeadType, ResponseHead, StatusCode,
        body::BodySize,
        error::ParseError,
        h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    },
    bytes::Bytes,
    futures_util::{FutureExt, SinkExt, StreamExt},
    std::{io, net::SocketAddr},
    tokio::net::TcpStream,
};

/// A connection that is ready for a request.
pub(super) struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
}

/// State of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleState {
    Open,
    Closed,
    /// Bytes arrived that do not belong to any request.
    UnexpectedData,
}

/// How the body of an answer ended.
pub(super) enum BodyEnd {
    /// The body is complete. Contains the connection if it can be reused.
    Complete(Option<Connection>),
    /// The connection ended before the body did.
    Truncated,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(address).await?;
        io.set_nodelay(true)?;
        Ok(Self { framed: Framed::new(io, ClientCodec::default()) })
    }

    /// Checks what has arrived since the last answer or together with it.
    pub(super) fn check_idle(&mut self) -> IdleState {
        let item = self.framed.next().now_or_never();
        match item {
            // A server may close an idle connection with a request timeout (RFC 9110, section 15.5.9).
            Some(Some(Ok(head))) if head.status == StatusCode::REQUEST_TIMEOUT => IdleState::Closed,
            _ if !self.framed.is_read_buf_empty() => IdleState::UnexpectedData,
            None => IdleState::Open,
            Some(None | Some(Err(ParseError::Io(_)))) => IdleState::Closed,
            Some(Some(_)) => IdleState::UnexpectedData,
        }
    }

    /// Writes a request, with the body in chunks of at most `chunk_bytes`.
    pub(super) async fn write(
        &mut self,
        head: RequestHead,
        size: BodySize,
        body: Bytes,
        chunk_bytes: usize,
    ) -> io::Result<()> {
        let head = RequestHeadType::Owned(head);
        if body.is_empty() {
            return self.framed.send(Message::Item((head, size))).await;
        }
        self.framed.feed(Message::Item((head, size))).await?;
        for start in (0..body.len()).step_by(chunk_bytes.max(1)) {
            let end = body.len().min(start + chunk_bytes.max(1));
            self.framed.send(Message::Chunk(Some(body.slice(start..end)))).await?;
        }
        self.framed.send(Message::Chunk(None)).await
    }

    /// Reads the head of the answer. Returns `None` if the connection ends first.
    pub(super) async fn read_head(&mut self) -> Option<ResponseHead> {
        loop {
            let head = self.framed.next().await?.ok()?;
            if !head.status.is_informational() {
                return Some(head);
            }
        }
    }

    /// Reads the body of the answer and passes it to `on_chunk`.
    pub(super) async fn read_body(self, mut on_chunk: impl FnMut(&[u8])) -> BodyEnd {
        match self.framed.codec_ref().message_type() {
            MessageType::None => {
                let keep_alive = self.framed.codec_ref().keep_alive();
                return BodyEnd::Complete(Some(self).filter(|_| keep_alive));
            }
            MessageType::Payload => {}
            // The body would be delimited by the end of the connection, so truncation could not be detected.
            MessageType::Stream => return BodyEnd::Truncated,
        }
        let mut framed = self.framed.into_map_codec(ClientCodec::into_payload_codec);
        loop {
            match framed.next().await {
                Some(Ok(Some(chunk))) => on_chunk(&chunk),
                Some(Ok(None)) => break,
                Some(Err(_)) | None => return BodyEnd::Truncated,
            }
        }
        let keep_alive = framed.codec_ref().keep_alive();
        let framed = framed.into_map_codec(ClientPayloadCodec::into_message_codec);
        BodyEnd::Complete(keep_alive.then_some(Self { framed }))
    }
}
