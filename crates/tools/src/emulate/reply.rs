//! Answers of a stand-in server, complete or truncated.

use {
    super::behaviour::{EndlessPart, Truncation},
    actix_codec::Framed,
    actix_http::{
        ConnectionType, Response, StatusCode,
        body::BodySize,
        h1::{Codec, Message},
        header::{HeaderName, HeaderValue},
    },
    bytes::Bytes,
    futures_util::SinkExt,
    std::io,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Repetitions of the endless part of an answer in one write.
const ENDLESS_WRITE_LENGTH: usize = 1_024;

/// An answer of a stand-in server.
#[derive(Clone)]
pub(super) struct Reply {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    pub(super) truncation: Option<Truncation>,
    pub(super) endless: Option<EndlessPart>,
    pub(super) chunked: bool,
    /// Whether the body is delimited by the end of the connection instead of a content length.
    pub(super) close_delimited: bool,
    /// Whether the answer is sent a second time, before the next answer on the same connection.
    pub(super) is_duplicated: bool,
}

impl Reply {
    pub(super) fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            truncation: None,
            endless: None,
            chunked: false,
            close_delimited: false,
            is_duplicated: false,
        }
    }

    /// Adds a header. A value that is not visible ASCII is left out.
    pub(super) fn header(mut self, name: HeaderName, value: &str) -> Self {
        self.headers.extend(HeaderValue::from_str(value).ok().map(|value| (name, value)));
        self
    }

    fn head(&self) -> Response<()> {
        let mut head = Response::new(self.status).drop_body();
        for (name, value) in &self.headers {
            head.headers_mut().insert(name.clone(), value.clone());
        }
        if self.close_delimited {
            head.head_mut().no_chunking(true);
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        head
    }

    /// Writes the answer and returns whether the connection can be reused.
    pub(super) async fn write(self, framed: &mut Framed<TcpStream, Codec>) -> io::Result<bool> {
        if self.truncation == Some(Truncation::Head) {
            return Ok(false);
        }
        if let Some(part) = self.endless {
            return self.write_without_end(part, framed).await;
        }
        let has_no_length = self.chunked || self.truncation == Some(Truncation::Chunked) || self.close_delimited;
        let size = if has_no_length { BodySize::Stream } else { BodySize::Sized(self.body.len() as u64) };
        framed.feed(Message::Item((self.head(), size))).await?;
        if self.truncation.is_some() {
            let half = self.body.slice(..self.body.len() / 2);
            framed.send(Message::Chunk(Some(half))).await?;
            return Ok(false);
        }
        if !self.body.is_empty() {
            framed.feed(Message::Chunk(Some(self.body))).await?;
        }
        framed.send(Message::Chunk(None)).await?;
        Ok(framed.codec_ref().keep_alive() && !self.close_delimited)
    }

    /// Writes an answer one part of which has no end, until the caller closes the connection.
    async fn write_without_end(self, part: EndlessPart, framed: &mut Framed<TcpStream, Codec>) -> io::Result<bool> {
        let (begin, repeated) = match part {
            EndlessPart::Head => (format!("HTTP/1.1 {}\r\nendless: ", self.status), "x"),
            EndlessPart::Body => {
                framed.feed(Message::Item((self.head(), BodySize::Stream))).await?;
                framed.flush().await?;
                (String::new(), "1\r\nx\r\n")
            }
        };
        let repeated = repeated.repeat(ENDLESS_WRITE_LENGTH);
        framed.io_mut().write_all(begin.as_bytes()).await?;
        loop {
            framed.io_mut().write_all(repeated.as_bytes()).await?;
        }
    }
}
