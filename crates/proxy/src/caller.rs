//! The caller's side of an accepted connection.

use {
    crate::{
        framing::Framing,
        options::{BUFFER_LIMIT, HEAD_LIMIT, ProxyOptions},
        request::Refusal,
    },
    actix_codec::{Decoder, Encoder},
    actix_http::{
        Request, Response, ServiceConfig,
        body::BodySize,
        error::ParseError,
        h1::{Codec, Message, MessageType},
    },
    actix_rt::time::{sleep, timeout},
    bytes::{Bytes, BytesMut},
    hemlockford_core::text::Limits,
    std::{cell::RefCell, io, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, Interest},
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
    },
};

/// Bytes that are asked for in one read.
const READ_SIZE: usize = 16 * 1_024;
/// Time within which a caller must take a short answer; most of them fit into the socket's buffer.
const WRITE_TIME: Duration = Duration::from_secs(1);
/// Interval at which a caller whose data is not being read is checked for having closed.
const CLOSE_CHECK: Duration = Duration::from_millis(200);

/// Why a caller is not there any more for its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gone {
    /// The caller closed its connection, or its sending half.
    Left,
    /// The caller stopped sending in the middle of its body.
    Slow,
    /// The caller's body is malformed.
    Malformed,
    /// The caller's body is larger than the text allows.
    TooLarge,
}

/// What arrived where a request head was due.
pub(crate) enum Incoming {
    Request(Request),
    Closed,
    Bad(Refusal),
}

type SharedCodec = Rc<RefCell<Codec>>;

/// Reads requests of one caller; holds at most [`BUFFER_LIMIT`] bytes that were not asked for.
pub(crate) struct CallerReader {
    half: OwnedReadHalf,
    codec: SharedCodec,
    buf: BytesMut,
    options: Rc<ProxyOptions>,
    is_body_whole: bool,
    /// Bytes of the current body that may still be read.
    body_left: u64,
    /// Length of the rest of the current body, if it was stated.
    rest: Option<u64>,
}

/// Writes answers to one caller.
pub(crate) struct CallerWriter {
    /// Present until the writer is dropped.
    half: Option<OwnedWriteHalf>,
    codec: SharedCodec,
    out: BytesMut,
    must_close: bool,
    is_started: bool,
    is_open_ended: bool,
    /// Set while an answer without a stated length is not whole, and when the connection is to be reset.
    must_reset: bool,
    outlives_caller: bool,
    is_discarding: bool,
    is_blocked: bool,
}

/// Splits an accepted connection.
pub(crate) fn split(io: TcpStream, config: ServiceConfig, options: Rc<ProxyOptions>) -> (CallerReader, CallerWriter) {
    let (read, write) = io.into_split();
    let codec = Rc::new(RefCell::new(Codec::new(config)));
    let reader = CallerReader {
        half: read,
        codec: codec.clone(),
        buf: BytesMut::new(),
        options,
        is_body_whole: true,
        body_left: 0,
        rest: None,
    };
    let writer = CallerWriter {
        half: Some(write),
        codec,
        out: BytesMut::new(),
        must_close: false,
        is_started: false,
        is_open_ended: false,
        must_reset: false,
        outlives_caller: false,
        is_discarding: false,
        is_blocked: false,
    };
    (reader, writer)
}

impl CallerReader {
    /// Returns whether nothing of a next request has arrived.
    pub(crate) fn is_idle(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns whether the whole body of the current request was read.
    pub(crate) fn is_body_whole(&self) -> bool {
        self.is_body_whole
    }

    /// Waits until something of a next request has arrived.
    pub(crate) async fn wait(&mut self) -> Result<(), Gone> {
        if self.buf.is_empty() { self.fill().await } else { Ok(()) }
    }

    /// Returns whether more than `limit` bytes of the current body may have to be read before a next request.
    pub(crate) fn is_rest_long(&self, limit: usize) -> bool {
        !self.is_body_whole && self.rest.is_none_or(|rest| rest > limit as u64)
    }

    /// Reads the head of a request, of which something has arrived.
    pub(crate) async fn read_head(&mut self, limits: &Limits) -> Incoming {
        let status = (!self.options.dialect.product_headers).then_some(408);
        let late = Incoming::Bad(Refusal::malformed(status, "the request head was not sent in time"));
        let time = limits.header_timeout.min(self.options.head_timeout);
        timeout(time, self.head(limits)).await.unwrap_or(late)
    }

    async fn head(&mut self, limits: &Limits) -> Incoming {
        let limit = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
        // The product's own interface answers a head beyond its own limit with 400.
        let is_own_limit = self.options.dialect.product_headers && limit >= HEAD_LIMIT;
        let status = (!is_own_limit).then_some(431);
        let long = Incoming::Bad(Refusal::malformed(status, "the request head is too long"));
        loop {
            let length = self.buf.len();
            let item = self.codec.borrow_mut().decode(&mut self.buf);
            match item {
                Ok(Some(Message::Item(_))) if length - self.buf.len() > limit => return long,
                Ok(Some(Message::Item(req))) => {
                    self.body_left = limits.body_bytes;
                    self.rest = match Framing::of_request(req.head()) {
                        Ok(Framing::Sized(length)) => Some(length),
                        _ => None,
                    };
                    let kind = self.codec.borrow().message_type();
                    self.is_body_whole = matches!(kind, MessageType::None);
                    if matches!(kind, MessageType::Stream) {
                        let detail = "the connection cannot be turned into another protocol";
                        return Incoming::Bad(Refusal::malformed(None, detail));
                    }
                    return Incoming::Request(req);
                }
                Err(ParseError::TooLarge) => return long,
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Incoming::Bad(Refusal::malformed(None, "the request is not valid HTTP/1.1"));
                }
                Ok(None) if self.buf.len() > limit || is_own_limit && self.buf.len() >= HEAD_LIMIT => return long,
                Ok(None) => {}
            }
            if self.fill().await.is_err() {
                return Incoming::Closed;
            }
        }
    }

    /// Reads the next part of the body; `None` is its end.
    pub(crate) async fn read_part(&mut self) -> Result<Option<Bytes>, Gone> {
        while !self.is_body_whole {
            if let Some(part) = self.buffered_part()? {
                return Ok(Some(part));
            }
            if !self.is_body_whole {
                timeout(self.options.body_idle, self.fill()).await.unwrap_or(Err(Gone::Slow))?;
            }
        }
        Ok(None)
    }

    /// Takes the next part of the body that has arrived already.
    fn buffered_part(&mut self) -> Result<Option<Bytes>, Gone> {
        let item = self.codec.borrow_mut().decode(&mut self.buf);
        match item {
            Ok(Some(Message::Chunk(Some(part)))) => {
                let length = part.len() as u64;
                self.rest = self.rest.map(|rest| rest.saturating_sub(length));
                self.body_left = self.body_left.checked_sub(length).ok_or(Gone::TooLarge)?;
                Ok(Some(part))
            }
            Ok(Some(Message::Chunk(None))) => {
                self.is_body_whole = true;
                Ok(None)
            }
            Ok(None) => Ok(None),
            Ok(Some(Message::Item(_))) | Err(_) => Err(Gone::Malformed),
        }
    }

    /// Reads and drops the rest of a small body, so that the connection can carry another request.
    pub(crate) async fn drain(&mut self, limit: usize) {
        let mut read = 0;
        while let Ok(Some(part)) = self.read_part().await {
            read += part.len();
            if read > limit {
                return;
            }
        }
    }

    /// Returns when the caller has left. Data that arrives meanwhile is a next request or the rest of
    /// the body; it is held, up to the limit.
    pub(crate) async fn watch(&mut self) -> Gone {
        loop {
            if self.buf.len() < BUFFER_LIMIT {
                if let Err(gone) = self.fill().await {
                    return gone;
                }
                continue;
            }
            // An end of file behind unread data is not seen by reading, but by polling.
            match self.half.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_CHECK).await,
                Ok(_) | Err(_) => return Gone::Left,
            }
        }
    }

    /// Reads and drops what arrives until the caller closes. Closing with unread data would reset the
    /// connection, and the reset can overtake the answer.
    pub(crate) async fn linger(&mut self) {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return;
            }
        }
    }

    async fn fill(&mut self) -> Result<(), Gone> {
        self.buf.reserve(READ_SIZE);
        match self.half.read_buf(&mut self.buf).await {
            Ok(0) | Err(_) => Err(Gone::Left),
            Ok(_) => Ok(()),
        }
    }
}

impl CallerWriter {
    /// Lets the answer be read to its end even when the caller is not there to receive it.
    pub(crate) fn outlive_caller(&mut self) {
        self.outlives_caller = true;
    }

    /// Returns whether the caller is being waited for to read.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Returns whether the connection may carry another request.
    pub(crate) fn keep_alive(&self) -> bool {
        !self.must_close && !self.is_discarding && self.codec.borrow().keep_alive()
    }

    /// Closes the connection after the current answer; stated in its head, if that is not encoded yet.
    pub(crate) fn close_after(&mut self) {
        self.must_close = true;
    }

    /// Encodes an interim answer that lets the caller send its body.
    pub(crate) fn start_continue(&mut self) {
        self.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Begins with the answers to a new request.
    pub(crate) fn begin(&mut self) {
        self.is_started = false;
        self.outlives_caller = false;
    }

    /// Returns whether the head of the final answer was encoded.
    pub(crate) fn is_started(&self) -> bool {
        self.is_started
    }

    /// Encodes the head of an answer.
    pub(crate) fn start(&mut self, mut response: Response<()>, size: BodySize) -> io::Result<()> {
        self.is_started = true;
        self.must_reset = size == BodySize::Stream;
        if self.must_close {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        self.codec.borrow_mut().encode(Message::Item((response, size)), &mut self.out)
    }

    /// Encodes the head of an answer that ends with the connection, for a caller of version 1.0, which knows no
    /// chunks. The encoder would send it chunks all the same.
    pub(crate) fn start_open_ended(&mut self, response: Response<()>) -> io::Result<()> {
        self.close_after();
        self.start(response, BodySize::None)?;
        self.is_open_ended = true;
        self.must_reset = true;
        Ok(())
    }

    /// Encodes a part of a body; `None` is its end.
    pub(crate) fn part(&mut self, part: Option<Bytes>) -> io::Result<()> {
        let is_end = part.is_none();
        if self.is_open_ended {
            self.out.extend(part);
        } else {
            self.codec.borrow_mut().encode(Message::Chunk(part), &mut self.out)?;
        }
        self.must_reset &= !is_end;
        Ok(())
    }

    /// Returns whether so much is encoded that it should be written.
    pub(crate) fn is_full(&self) -> bool {
        self.out.len() >= BUFFER_LIMIT
    }

    /// Writes what is encoded.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        while !self.out.is_empty() && !self.is_discarding {
            let Some(half) = &mut self.half else { return Err(io::ErrorKind::NotConnected.into()) };
            self.is_blocked = true;
            let written = half.write_buf(&mut self.out).await;
            self.is_blocked = false;
            match written {
                Ok(0) | Err(_) if self.outlives_caller => self.is_discarding = true,
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(error) => return Err(error),
            }
        }
        self.out.clear();
        Ok(())
    }

    /// Writes what is encoded, for a caller that reads.
    pub(crate) async fn flush_soon(&mut self) -> io::Result<()> {
        timeout(WRITE_TIME, self.flush()).await?
    }

    /// Closes the sending half.
    pub(crate) async fn shutdown(&mut self) {
        // The connection is being given up; there is nobody to tell about a failure.
        if let Some(half) = &mut self.half {
            let _ = half.shutdown().await;
        }
    }

    /// Makes the connection end with a reset, so that what was passed on is never taken for a whole answer,
    /// not even by a caller for whom the end of the connection is the end of the answer.
    pub(crate) fn cut(mut self) {
        self.must_reset = true;
    }
}

impl Drop for CallerWriter {
    fn drop(&mut self) {
        if self.must_reset
            && let Some(half) = self.half.take()
        {
            let _ = half.as_ref().set_zero_linger();
            // Dropping the half would close it in order first.
            half.forget();
        }
    }
}
