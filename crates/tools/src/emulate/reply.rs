//! Answers of a stand-in server, whole or cut off.

use {
    super::behaviour::Cut,
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
    tokio::net::TcpStream,
};

/// One answer.
#[derive(Clone)]
pub(super) struct Reply {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    pub(super) cut: Option<Cut>,
    pub(super) chunked: bool,
    /// Whether it ends with its connection instead of having a length.
    pub(super) close_delimited: bool,
    /// Whether it is sent once more, before the next answer on its connection.
    pub(super) is_repeated: bool,
}

impl Reply {
    pub(super) fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
            cut: None,
            chunked: false,
            close_delimited: false,
            is_repeated: false,
        }
    }

    /// Adds a header whose value consists of visible ASCII characters.
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

    /// Writes the answer and returns whether the connection can carry another.
    pub(super) async fn write(self, framed: &mut Framed<TcpStream, Codec>) -> io::Result<bool> {
        if self.cut == Some(Cut::Head) {
            return Ok(false);
        }
        let is_stream = self.chunked || self.cut == Some(Cut::Chunked) || self.close_delimited;
        let size = if is_stream { BodySize::Stream } else { BodySize::Sized(self.body.len() as u64) };
        framed.feed(Message::Item((self.head(), size))).await?;
        if self.cut.is_some() {
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
}
