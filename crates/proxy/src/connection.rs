//! A connection to a server. The end of a response is distinguished from a truncated one.

use {
    crate::{
        framing::Framing,
        options::{BUFFER_LIMIT, HEAD_LIMIT},
        pool::ConnectionPermit,
        response_head_check::{MAX_STATUS, has_valid_names},
    },
    actix_codec::{Decoder, Encoder},
    actix_http::{
        Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Version,
        body::BodySize,
        h1::{ClientCodec, Message, MessageType},
        header::{self, HeaderMap},
    },
    bytes::{Bytes, BytesMut},
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Bytes requested by one read.
const READ_SIZE: usize = 16 * 1_024;
/// Number of interim responses to one request above which the server is considered faulty.
const INTERIM_LIMIT: usize = 32;

/// The codec; absent only while it decodes a part of a body.
type SharedCodec = Rc<RefCell<Option<ClientCodec>>>;

/// A connection in use for one exchange.
pub(crate) struct Connection {
    pub(crate) reader: ServerReader,
    pub(crate) writer: ServerWriter,
    /// Whether it was opened for this exchange.
    pub(crate) is_new: bool,
    permit: ConnectionPermit,
}

/// Reads the response.
pub(crate) struct ServerReader {
    half: OwnedReadHalf,
    codec: SharedCodec,
    buf: BytesMut,
    is_complete: bool,
    /// Whether the connection must be closed after the response.
    must_close: bool,
    /// Whether the end of the connection marks the end of the body.
    is_close_delimited: bool,
    /// Whether the server has closed the connection gracefully.
    is_closed: bool,
    has_write_failed: Rc<Cell<bool>>,
    /// Time for which the server keeps an idle connection, as declared in the last response.
    keep_alive: Option<Duration>,
}

/// Writes the request.
pub(crate) struct ServerWriter {
    half: OwnedWriteHalf,
    codec: SharedCodec,
    out: BytesMut,
    is_complete: bool,
    /// Whether a write failed. It has taken the error of the connection then, so that a read only finds the end.
    has_write_failed: Rc<Cell<bool>>,
}

/// Why no response can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseError {
    /// The connection ended before the head of a response.
    ConnectionLost,
    /// The data is not a valid response whose end can be determined.
    Invalid,
}

/// Result of buffering the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BufferedBody {
    Complete,
    TooLong,
    Truncated,
}

/// The next part of a response.
pub(crate) enum Part {
    Chunk(Bytes),
    End,
    Truncated,
    /// No more data has arrived yet.
    Pending,
}

impl Connection {
    pub(crate) fn new(io: TcpStream, is_new: bool, config: ServiceConfig, permit: ConnectionPermit) -> Self {
        let (read, write) = io.into_split();
        let codec = Rc::new(RefCell::new(Some(ClientCodec::new(config))));
        let has_write_failed = Rc::new(Cell::new(false));
        Self {
            reader: ServerReader {
                half: read,
                codec: codec.clone(),
                buf: BytesMut::new(),
                is_complete: false,
                must_close: false,
                is_close_delimited: false,
                is_closed: false,
                has_write_failed: has_write_failed.clone(),
                keep_alive: None,
            },
            writer: ServerWriter { half: write, codec, out: BytesMut::new(), is_complete: false, has_write_failed },
            is_new,
            permit,
        }
    }

    /// Returns the address of the server.
    pub(crate) fn address(&self) -> SocketAddr {
        self.permit.address()
    }

    /// Returns the connection to the pool after a complete exchange, closes it if it must not be reused, and resets
    /// it if the exchange was abandoned. A server that does not read would never see a graceful close, which is
    /// queued behind the written data.
    pub(crate) fn release(self) {
        self.release_after(Duration::ZERO);
    }

    /// Returns a connection on which no late response can follow, so that it can be reused without a delay.
    pub(crate) fn release_without_delay(self) {
        let delay = self.permit.reuse_delay();
        self.release_after(delay);
    }

    fn release_after(self, elapsed_delay: Duration) {
        let Self { reader, writer, permit, is_new: _ } = self;
        // Surplus bytes after the response would be read as the response to the next request.
        let keep_alive = reader.codec.borrow().as_ref().is_some_and(ClientCodec::keep_alive);
        if !reader.is_complete || !writer.is_complete {
            let _ = writer.half.as_ref().set_zero_linger();
            writer.half.forget();
            return;
        }
        if !reader.must_close
            && reader.buf.is_empty()
            && keep_alive
            && let Ok(io) = reader.half.reunite(writer.half)
        {
            permit.return_idle(io, reader.keep_alive, elapsed_delay);
        }
    }
}

impl ServerReader {
    /// Reads the head of the response and skips interim responses (1xx). `allow_close_delimited` permits a body that
    /// ends with the connection.
    pub(crate) async fn read_head(
        &mut self,
        method: &Method,
        allow_close_delimited: bool,
    ) -> Result<(ResponseHead, Framing), ResponseError> {
        let mut interim_count = 0;
        loop {
            if !has_valid_names(&self.buf) {
                return Err(ResponseError::Invalid);
            }
            let item = match self.codec.borrow_mut().as_mut() {
                Some(codec) => codec.decode(&mut self.buf),
                None => return Err(ResponseError::Invalid),
            };
            match item {
                Ok(Some(head)) if head.status.as_u16() > MAX_STATUS => return Err(ResponseError::Invalid),
                Ok(Some(head)) if head.status.is_informational() => {
                    interim_count += 1;
                    // An interim response has no body. If one declares a length, that length may refer to the bytes
                    // of the next head.
                    let codec = self.codec.borrow();
                    let has_body =
                        codec.as_ref().is_some_and(|codec| !matches!(codec.message_type(), MessageType::None));
                    if head.status == StatusCode::SWITCHING_PROTOCOLS || has_body || interim_count > INTERIM_LIMIT {
                        return Err(ResponseError::Invalid);
                    }
                    continue;
                }
                Ok(Some(head)) => {
                    let framing =
                        Framing::of_response(method, &head, allow_close_delimited).ok_or(ResponseError::Invalid)?;
                    self.is_complete = framing.is_empty();
                    self.is_close_delimited = framing == Framing::UntilClose;
                    // The codec on its own treats a connection of HTTP/1.0 as persistent.
                    self.must_close =
                        self.is_close_delimited || head.version < Version::HTTP_11 || has_close_option(&head.headers);
                    self.keep_alive = keep_alive(&head.headers);
                    return Ok((head, framing));
                }
                Ok(None) if self.buf.len() >= HEAD_LIMIT => return Err(ResponseError::Invalid),
                Err(_) => return Err(ResponseError::Invalid),
                Ok(None) => {}
            }
            if !self.fill().await {
                return Err(ResponseError::ConnectionLost);
            }
        }
    }

    /// Takes the next part of the body from the buffer.
    pub(crate) fn buffered_part(&mut self) -> Part {
        if self.is_complete {
            return Part::End;
        }
        if self.is_close_delimited {
            return self.close_delimited_part();
        }
        let Some(codec) = self.codec.borrow_mut().take() else { return Part::Truncated };
        let mut codec = codec.into_payload_codec();
        let item = codec.decode(&mut self.buf);
        *self.codec.borrow_mut() = Some(codec.into_message_codec());
        match item {
            Ok(Some(Some(chunk))) => Part::Chunk(chunk),
            Ok(Some(None)) => {
                self.is_complete = true;
                Part::End
            }
            Ok(None) => Part::Pending,
            Err(_) => Part::Truncated,
        }
    }

    fn close_delimited_part(&mut self) -> Part {
        if !self.buf.is_empty() {
            return Part::Chunk(self.buf.split().freeze());
        }
        self.is_complete = self.is_closed;
        if self.is_complete { Part::End } else { Part::Pending }
    }

    /// Reads parts of the body until its end, or until the parts exceed `limit` bytes. Cancelling the future loses no
    /// data that was read.
    pub(crate) async fn buffer_body(&mut self, parts: &mut Vec<Bytes>, limit: usize) -> BufferedBody {
        loop {
            match self.buffered_part() {
                Part::Chunk(chunk) => parts.push(chunk),
                Part::End => return BufferedBody::Complete,
                Part::Truncated => return BufferedBody::Truncated,
                Part::Pending if parts.iter().map(Bytes::len).sum::<usize>() > limit => return BufferedBody::TooLong,
                Part::Pending if !self.fill().await => return BufferedBody::Truncated,
                Part::Pending => {}
            }
        }
    }

    /// Closes the connection after this response.
    pub(crate) fn close_after(&mut self) {
        self.must_close = true;
    }

    /// Reads more data. Returns whether more can be expected or the response has reached its end.
    pub(crate) async fn fill(&mut self) -> bool {
        debug_assert!(self.buf.len() < HEAD_LIMIT.max(BUFFER_LIMIT), "the buffer must hold only an incomplete item");
        self.buf.reserve(READ_SIZE);
        match self.half.read_buf(&mut self.buf).await {
            Ok(0) => {
                self.is_closed = !self.has_write_failed.get();
                self.is_close_delimited && self.is_closed
            }
            Ok(_) => true,
            Err(_) => false,
        }
    }
}

impl ServerWriter {
    /// Encodes the head of a request.
    pub(crate) fn encode_head(&mut self, head: RequestHead, size: BodySize) -> io::Result<()> {
        self.encode(Message::Item((RequestHeadType::Owned(head), size)))
    }

    /// Encodes a part of a body; `None` marks its end.
    pub(crate) fn encode_part(&mut self, part: Option<Bytes>) -> io::Result<()> {
        self.encode(Message::Chunk(part))
    }

    /// Marks the request as completely written.
    pub(crate) fn finish(&mut self) {
        self.is_complete = true;
    }

    /// Writes the encoded data, and sets `has_started` once the kernel has accepted a byte.
    pub(crate) async fn flush(&mut self, has_started: &Cell<bool>) -> io::Result<()> {
        while !self.out.is_empty() {
            let written = match self.half.write_buf(&mut self.out).await {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                written => written,
            };
            self.has_write_failed.set(written.is_err());
            written?;
            has_started.set(true);
        }
        Ok(())
    }

    fn encode(&mut self, message: Message<(RequestHeadType, BodySize)>) -> io::Result<()> {
        match self.codec.borrow_mut().as_mut() {
            Some(codec) => codec.encode(message, &mut self.out),
            None => Err(io::ErrorKind::Other.into()),
        }
    }
}

/// Returns whether the `connection` header lists `close`.
fn has_close_option(headers: &HeaderMap) -> bool {
    let mut options =
        headers.get_all(header::CONNECTION).flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// Returns the time for which the server keeps an idle connection (`keep-alive: timeout=N`, in seconds).
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let parameters = headers.get(header::HeaderName::from_static("keep-alive"))?.to_str().ok()?.split(',');
    let seconds = parameters.filter_map(|parameter| parameter.split_once('=')).find_map(|(name, value)| {
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().trim_matches('"').parse::<u32>().ok())?
    })?;
    Some(Duration::from_secs(seconds.into()))
}
