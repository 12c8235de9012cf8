//! One connection of the load generator, on which the end of an answer is told apart from a cut.

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

/// A connection between two exchanges.
pub(super) struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
}

/// The state of an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Idle {
    Open,
    Closed,
    /// Bytes arrived that no request asked for.
    Unasked,
}

/// The end of an answer.
pub(super) enum End {
    /// The answer is whole; the connection is there if it can carry another request.
    Whole(Option<Connection>),
    /// The connection ended before the answer did.
    Cut,
}

impl Connection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(address).await?;
        io.set_nodelay(true)?;
        Ok(Self { framed: Framed::new(io, ClientCodec::default()) })
    }

    /// Looks at what has arrived since the last answer, or together with it.
    pub(super) fn idle(&mut self) -> Idle {
        let item = self.framed.next().now_or_never();
        match item {
            // A server may end an idle connection with a request timeout (RFC 9110, section 15.5.9).
            Some(Some(Ok(head))) if head.status == StatusCode::REQUEST_TIMEOUT => Idle::Closed,
            _ if !self.framed.is_read_buf_empty() => Idle::Unasked,
            None => Idle::Open,
            Some(None | Some(Err(ParseError::Io(_)))) => Idle::Closed,
            Some(Some(_)) => Idle::Unasked,
        }
    }

    /// Writes a request; the body is sent in pieces as the connection takes them.
    pub(super) async fn write(
        &mut self,
        head: RequestHead,
        size: BodySize,
        body: Bytes,
        piece: usize,
    ) -> io::Result<()> {
        let head = RequestHeadType::Owned(head);
        if body.is_empty() {
            return self.framed.send(Message::Item((head, size))).await;
        }
        self.framed.feed(Message::Item((head, size))).await?;
        for start in (0..body.len()).step_by(piece.max(1)) {
            let end = body.len().min(start + piece.max(1));
            self.framed.send(Message::Chunk(Some(body.slice(start..end)))).await?;
        }
        self.framed.send(Message::Chunk(None)).await
    }

    /// Reads the head of the answer; `None` when the connection ended before.
    pub(super) async fn read_head(&mut self) -> Option<ResponseHead> {
        loop {
            let head = self.framed.next().await?.ok()?;
            if !head.status.is_informational() {
                return Some(head);
            }
        }
    }

    /// Reads the body of the answer to its end.
    pub(super) async fn read_body(self, mut take: impl FnMut(&[u8])) -> End {
        match self.framed.codec_ref().message_type() {
            MessageType::None => {
                let keep_alive = self.framed.codec_ref().keep_alive();
                return End::Whole(Some(self).filter(|_| keep_alive));
            }
            MessageType::Payload => {}
            // The body would end with the connection, so that a cut could not be told from its end.
            MessageType::Stream => return End::Cut,
        }
        let mut framed = self.framed.into_map_codec(ClientCodec::into_payload_codec);
        loop {
            match framed.next().await {
                Some(Ok(Some(chunk))) => take(&chunk),
                Some(Ok(None)) => break,
                Some(Err(_)) | None => return End::Cut,
            }
        }
        let keep_alive = framed.codec_ref().keep_alive();
        let framed = framed.into_map_codec(ClientPayloadCodec::into_message_codec);
        End::Whole(keep_alive.then_some(Self { framed }))
    }
}
