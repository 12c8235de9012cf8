//! Answers of a stand-in server, whole or cut off.

use {
    super::behaviour::Cut,
    actix_codec::Framed,
    actix_http::{
        Response, StatusCode,
        body::BodySize,
        h1::{Codec, Message},
        header::{HeaderName, HeaderValue},
    },
    bytes::Bytes,
    futures_util::SinkExt,
    std::io,
    tokio::net::TcpStream,
};

/// One answer.
pub(super) struct Reply {
    head: Response<()>,
    body: Bytes,
    pub(super) cut: Option<Cut>,
    pub(super) chunked: bool,
}

impl Reply {
    pub(super) fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { head: Response::new(status).drop_body(), body: body.into(), cut: None, chunked: false }
    }

    /// Adds a header whose value consists of digits and ASCII letters.
    pub(super) fn header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.head.headers_mut().insert(name, value);
        }
        self
    }

    /// Writes the answer and returns whether the connection can carry another.
    pub(super) async fn write(self, framed: &mut Framed<TcpStream, Codec>) -> io::Result<bool> {
        if self.cut == Some(Cut::Head) {
            return Ok(false);
        }
        let is_chunked = self.chunked || self.cut == Some(Cut::Chunked);
        let size = if is_chunked { BodySize::Stream } else { BodySize::Sized(self.body.len() as u64) };
        framed.feed(Message::Item((self.head, size))).await?;
        if self.cut.is_some() {
            let half = self.body.slice(..self.body.len() / 2);
            framed.send(Message::Chunk(Some(half))).await?;
            return Ok(false);
        }
        if !self.body.is_empty() {
            framed.feed(Message::Chunk(Some(self.body))).await?;
        }
        framed.send(Message::Chunk(None)).await?;
        Ok(framed.codec_ref().keep_alive())
    }
}
