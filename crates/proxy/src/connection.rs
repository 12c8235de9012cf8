//! One connection to a server, on which the end of an answer is told apart from a cut.

use {
    actix_codec::Framed,
    actix_http::{
        RequestHead, RequestHeadType, ResponseHead,
        body::BodySize,
        error::PayloadError,
        h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    },
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    std::{io, net::SocketAddr, pin::Pin, rc::Rc, task::Poll},
    tokio::net::TcpStream,
};

/// A connection between two exchanges.
pub(crate) struct Connection {
    framed: Framed<TcpStream, ClientCodec>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("io", self.framed.io_ref()).finish_non_exhaustive()
    }
}

/// The body of an answer that is being read.
pub(crate) struct AnswerStream {
    framed: Framed<TcpStream, ClientPayloadCodec>,
}

/// The next part of an answer.
pub(crate) enum Part {
    Chunk(Bytes),
    End,
    Cut,
}

/// An answer's head with what follows it.
pub(crate) enum Answer {
    Empty(ResponseHead, Connection),
    Streamed(ResponseHead, AnswerStream),
    /// The body ends with the connection, so that a cut cannot be told from its end.
    Unbounded,
    Cut,
}

impl Connection {
    pub(crate) async fn open(address: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(address).await?;
        io.set_nodelay(true)?;
        Ok(Self { framed: Framed::new(io, ClientCodec::default()) })
    }

    /// Returns whether the server has neither closed the connection nor sent anything unasked.
    pub(crate) fn is_open(&self) -> bool {
        let mut byte = [0];
        let read = self.framed.io_ref().try_read(&mut byte);
        self.framed.is_read_buf_empty() && matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    pub(crate) async fn write_head(&mut self, head: &Rc<RequestHead>, size: BodySize) -> io::Result<()> {
        let head = RequestHeadType::Rc(head.clone(), None);
        self.framed.send(Message::Item((head, size))).await
    }

    pub(crate) async fn write_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.framed.send(Message::Chunk(Some(chunk))).await
    }

    pub(crate) async fn write_end(&mut self) -> io::Result<()> {
        self.framed.send(Message::Chunk(None)).await
    }

    pub(crate) fn keep_alive(&self) -> bool {
        self.framed.codec_ref().keep_alive()
    }

    /// Reads the head of the answer; interim answers (1xx) are passed over.
    pub(crate) async fn read_head(mut self) -> Answer {
        let head = loop {
            match self.framed.next().await {
                Some(Ok(head)) if head.status.is_informational() => {}
                Some(Ok(head)) => break head,
                Some(Err(_)) | None => return Answer::Cut,
            }
        };
        match self.framed.codec_ref().message_type() {
            MessageType::None => Answer::Empty(head, self),
            MessageType::Payload => {
                let framed = self.framed.into_map_codec(ClientCodec::into_payload_codec);
                Answer::Streamed(head, AnswerStream { framed })
            }
            MessageType::Stream => Answer::Unbounded,
        }
    }
}

impl AnswerStream {
    pub(crate) fn poll_part(&mut self, cx: &mut std::task::Context<'_>) -> Poll<Part> {
        let item = std::task::ready!(Pin::new(&mut self.framed).next_item(cx));
        Poll::Ready(match item {
            Some(Ok(Some(chunk))) => Part::Chunk(chunk),
            Some(Ok(None)) => Part::End,
            Some(Err(PayloadError::Incomplete(_) | _)) | None => Part::Cut,
        })
    }

    pub(crate) fn keep_alive(&self) -> bool {
        self.framed.codec_ref().keep_alive()
    }

    pub(crate) fn into_connection(self) -> Connection {
        Connection { framed: self.framed.into_map_codec(ClientPayloadCodec::into_message_codec) }
    }
}
