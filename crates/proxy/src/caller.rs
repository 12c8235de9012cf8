//! The caller's side of an accepted connection.

use {
    crate::{
        caller_writer::CallerWriter,
        framing::Framing,
        options::{BUFFER_LIMIT, HEAD_LIMIT, ProxyOptions},
        request::Refusal,
    },
    actix_codec::Decoder,
    actix_http::{
        Request, ServiceConfig,
        error::ParseError,
        h1::{Codec, Message, MessageType},
    },
    actix_rt::time::{sleep, timeout},
    bytes::{Bytes, BytesMut},
    hemlockford_core::config::Limits,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, Interest},
        net::{TcpStream, tcp::OwnedReadHalf},
    },
};

/// Bytes that are asked for in one read.
const READ_SIZE: usize = 16 * 1_024;
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

pub(crate) type SharedCodec = Rc<RefCell<Codec>>;

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
    /// Whether something of a next request has arrived; known to the writer.
    has_next: Rc<Cell<bool>>,
}

/// Splits an accepted connection.
pub(crate) fn split(io: TcpStream, config: ServiceConfig, options: Rc<ProxyOptions>) -> (CallerReader, CallerWriter) {
    let (read, write) = io.into_split();
    let codec = Rc::new(RefCell::new(Codec::new(config)));
    let has_next = Rc::new(Cell::new(false));
    let reader = CallerReader {
        half: read,
        codec: codec.clone(),
        buf: BytesMut::new(),
        options,
        is_body_whole: true,
        body_left: 0,
        rest: None,
        has_next: has_next.clone(),
    };
    let writer = CallerWriter::new(write, codec, has_next);
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
                    self.note_next();
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
                timeout(self.options.body_idle_timeout, self.fill()).await.unwrap_or(Err(Gone::Slow))?;
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
                self.note_next();
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
            Ok(_) => {
                self.note_next();
                Ok(())
            }
        }
    }

    fn note_next(&self) {
        self.has_next.set(self.is_body_whole && !self.buf.is_empty());
    }
}
