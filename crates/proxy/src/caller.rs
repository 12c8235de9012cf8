//! Requests read from an accepted connection.

use {
    crate::{
        caller_writer::CallerWriter,
        client_guard::ClientGuard,
        framing::Framing,
        memory_budget::ClientState,
        options::{BUFFER_LIMIT, HEAD_LIMIT, ProxyOptions},
        request::Refusal,
        request_sequence::RequestSequence,
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
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, Interest},
        net::{TcpStream, tcp::OwnedReadHalf},
    },
};

/// Bytes requested by one read.
const READ_SIZE: usize = 16 * 1_024;
/// Size up to which parts of a body that arrived together are joined. Each chunk would otherwise cost a write to the
/// server, however short it is.
const JOINED_PART_BYTES: usize = 4 * 1_024;
/// Time after which an idle connection gives its buffer back.
const IDLE_BUFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which a caller whose data is not being read is checked for a closed connection.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Why a caller's request cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerError {
    /// The caller closed its connection, or its sending half.
    Disconnected,
    /// The caller stopped sending before the end of its body.
    BodyTimeout,
    /// The caller's body is malformed.
    MalformedBody,
    /// The caller's body exceeds the limit of the configuration.
    BodyTooLarge,
}

/// Result of reading a request head.
pub(crate) enum Incoming {
    Request(Request),
    Closed,
    Invalid(Refusal),
}

pub(crate) type SharedCodec = Rc<RefCell<Codec>>;

/// Reads the requests of one caller. Holds at most [`BUFFER_LIMIT`] bytes that were read ahead.
pub(crate) struct CallerReader {
    half: OwnedReadHalf,
    config: ServiceConfig,
    /// Codec of the current request and its response. Each request has its own, because the encoding of a response
    /// depends on its request.
    codec: SharedCodec,
    buf: BytesMut,
    /// When the first bytes of the next head arrived.
    head_began_at: Option<Instant>,
    options: Rc<ProxyOptions>,
    is_body_complete: bool,
    /// Bytes of the current body that may still be read.
    body_allowance: u64,
    /// Remaining length of the current body, if it was declared.
    remaining_length: Option<u64>,
    sequence: Rc<RequestSequence>,
    client: Rc<ClientGuard>,
    /// Why the body cannot be continued behind the parts that were joined.
    failure: Option<CallerError>,
    /// Size of the buffer as the budget knows it.
    held: usize,
}

/// Splits an accepted connection into reader and writer.
pub(crate) fn split(
    io: TcpStream,
    config: ServiceConfig,
    options: Rc<ProxyOptions>,
    client: Rc<ClientGuard>,
) -> (CallerReader, CallerWriter) {
    let (read, write) = io.into_split();
    let codec = Rc::new(RefCell::new(Codec::new(config.clone())));
    let sequence = Rc::<RequestSequence>::default();
    let reader = CallerReader {
        half: read,
        config,
        codec: codec.clone(),
        buf: BytesMut::new(),
        head_began_at: None,
        options,
        is_body_complete: true,
        body_allowance: 0,
        remaining_length: None,
        sequence: sequence.clone(),
        client: client.clone(),
        failure: None,
        held: 0,
    };
    let writer = CallerWriter::new(write, codec, sequence, client);
    (reader, writer)
}

impl CallerReader {
    /// Returns whether no data of a next request has arrived.
    pub(crate) fn is_idle(&self) -> bool {
        self.buf.is_empty()
    }

    /// Returns whether the complete body of the current request was read.
    pub(crate) fn is_body_complete(&self) -> bool {
        self.is_body_complete
    }

    /// Returns the codec of the current request, which also encodes its response.
    pub(crate) fn codec(&self) -> SharedCodec {
        self.codec.clone()
    }

    /// Returns the progress of the requests on this connection.
    pub(crate) fn sequence(&self) -> &Rc<RequestSequence> {
        &self.sequence
    }

    /// Waits until data of a next request has arrived.
    pub(crate) async fn wait(&mut self) -> Result<(), CallerError> {
        if !self.buf.is_empty() {
            return Ok(());
        }
        if timeout(IDLE_BUFFER_TIMEOUT, self.half.readable()).await.is_err() {
            self.buf = BytesMut::new();
            self.count_buffer();
            let _ = self.half.readable().await;
        }
        self.fill().await
    }

    /// Returns whether more than `limit` bytes of the current body may have to be read before a next request.
    pub(crate) fn has_long_remainder(&self, limit: usize) -> bool {
        !self.is_body_complete && self.remaining_length.is_none_or(|remaining_length| remaining_length > limit as u64)
    }

    /// Reads the head of the next request while earlier ones are being handled. Unless `may_read` is set, data is only
    /// buffered up to the limit until the caller disconnects. The future may be dropped and created again without
    /// losing data or time.
    pub(crate) async fn read_behind(&mut self, limits: &Limits, may_read: bool) -> Incoming {
        if !may_read {
            self.wait_for_disconnect().await;
            return Incoming::Closed;
        }
        if self.wait().await.is_err() {
            return Incoming::Closed;
        }
        self.read_head(limits).await
    }

    /// Reads the head of a request whose first bytes have arrived.
    pub(crate) async fn read_head(&mut self, limits: &Limits) -> Incoming {
        self.client.set_state(ClientState::Head);
        let status = (!self.options.dialect.product_headers).then_some(408);
        let too_late = Incoming::Invalid(Refusal::malformed(status, "the request head was not sent in time"));
        let began_at = *self.head_began_at.get_or_insert_with(Instant::now);
        let time = limits.header_timeout.min(self.options.head_timeout).saturating_sub(began_at.elapsed());
        timeout(time, self.decode_head(limits)).await.unwrap_or(too_late)
    }

    async fn decode_head(&mut self, limits: &Limits) -> Incoming {
        let limit = usize::try_from(limits.header_bytes).unwrap_or(usize::MAX);
        // The product's own interface responds with 400 to a head that exceeds its own limit.
        let is_own_limit = self.options.dialect.product_headers && limit >= HEAD_LIMIT;
        let status = (!is_own_limit).then_some(431);
        let too_long = Incoming::Invalid(Refusal::malformed(status, "the request head is too long"));
        self.codec = Rc::new(RefCell::new(Codec::new(self.config.clone())));
        loop {
            let length = self.buf.len();
            let item = self.codec.borrow_mut().decode(&mut self.buf);
            match item {
                Ok(Some(Message::Item(_))) if length - self.buf.len() > limit => return too_long,
                Ok(Some(Message::Item(req))) => {
                    self.body_allowance = limits.body_bytes;
                    self.remaining_length = match Framing::of_request(req.head()) {
                        Ok(Framing::Sized(length)) => Some(length),
                        _ => None,
                    };
                    let kind = self.codec.borrow().message_type();
                    self.is_body_complete = matches!(kind, MessageType::None);
                    self.head_began_at = None;
                    self.client.set_state(ClientState::Running);
                    self.sequence.count_request();
                    self.update_has_next();
                    if matches!(kind, MessageType::Stream) {
                        let detail = "the connection cannot be turned into another protocol";
                        return Incoming::Invalid(Refusal::malformed(None, detail));
                    }
                    return Incoming::Request(req);
                }
                Err(ParseError::TooLarge) => return too_long,
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Incoming::Invalid(Refusal::malformed(None, "the request is not valid HTTP/1.1"));
                }
                Ok(None) if self.buf.len() > limit || is_own_limit && self.buf.len() >= HEAD_LIMIT => return too_long,
                Ok(None) => {}
            }
            if self.fill().await.is_err() {
                return Incoming::Closed;
            }
        }
    }

    /// Reads the next part of the body; `None` marks its end.
    pub(crate) async fn read_part(&mut self) -> Result<Option<Bytes>, CallerError> {
        if let Some(failure) = self.failure {
            return Err(failure);
        }
        while !self.is_body_complete {
            if let Some(part) = self.buffered_part()? {
                return Ok(Some(self.join_parts(part)));
            }
            if !self.is_body_complete {
                self.client.set_state(ClientState::Body);
                timeout(self.options.body_idle_timeout, self.fill()).await.unwrap_or(Err(CallerError::BodyTimeout))?;
                self.client.set_state(ClientState::Running);
            }
        }
        Ok(None)
    }

    /// Joins a short part with those behind it that have arrived.
    fn join_parts(&mut self, first: Bytes) -> Bytes {
        let mut joined = BytesMut::new();
        while !self.is_body_complete && first.len().max(joined.len()) < JOINED_PART_BYTES {
            match self.buffered_part() {
                Ok(Some(part)) => {
                    if joined.is_empty() {
                        joined.extend_from_slice(&first);
                    }
                    joined.extend_from_slice(&part);
                }
                Ok(None) => break,
                Err(error) => {
                    self.failure = Some(error);
                    break;
                }
            }
        }
        if joined.is_empty() { first } else { joined.freeze() }
    }

    /// Takes the next part of the body from the buffer.
    fn buffered_part(&mut self) -> Result<Option<Bytes>, CallerError> {
        let item = self.codec.borrow_mut().decode(&mut self.buf);
        match item {
            Ok(Some(Message::Chunk(Some(part)))) => {
                let length = part.len() as u64;
                self.remaining_length =
                    self.remaining_length.map(|remaining_length| remaining_length.saturating_sub(length));
                self.body_allowance = self.body_allowance.checked_sub(length).ok_or(CallerError::BodyTooLarge)?;
                Ok(Some(part))
            }
            Ok(Some(Message::Chunk(None))) => {
                self.is_body_complete = true;
                self.update_has_next();
                Ok(None)
            }
            Ok(None) => Ok(None),
            Ok(Some(Message::Item(_))) | Err(_) => Err(CallerError::MalformedBody),
        }
    }

    /// Reads and discards the rest of a small body, so that the connection can carry another request.
    pub(crate) async fn drain(&mut self, limit: usize) {
        let mut read = 0;
        while let Ok(Some(part)) = self.read_part().await {
            read += part.len();
            if read > limit {
                return;
            }
        }
    }

    /// Returns when the caller has disconnected. Data that arrives meanwhile belongs to the next request or to the
    /// rest of the body; it is buffered up to the limit.
    pub(crate) async fn wait_for_disconnect(&mut self) -> CallerError {
        loop {
            if self.buf.len() < BUFFER_LIMIT {
                if let Err(error) = self.fill().await {
                    return error;
                }
                continue;
            }
            // Reading does not detect an end of file behind unread data, but polling does.
            match self.half.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => sleep(CLOSE_CHECK_INTERVAL).await,
                Ok(_) | Err(_) => return CallerError::Disconnected,
            }
        }
    }

    /// Reads and discards data until the caller closes the connection. Closing with unread data would reset the
    /// connection, and the reset can overtake the response.
    pub(crate) async fn discard_until_closed(&mut self) {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return;
            }
        }
    }

    async fn fill(&mut self) -> Result<(), CallerError> {
        self.buf.reserve(READ_SIZE);
        self.count_buffer();
        match self.half.read_buf(&mut self.buf).await {
            Ok(0) | Err(_) => Err(CallerError::Disconnected),
            Ok(length) => {
                self.client.moved(length);
                self.update_has_next();
                Ok(())
            }
        }
    }

    fn count_buffer(&mut self) {
        let before = std::mem::replace(&mut self.held, self.buf.capacity());
        self.client.hold(before, self.held);
    }

    fn update_has_next(&self) {
        self.sequence.set_has_next(self.is_body_complete && !self.buf.is_empty());
    }
}
