//! One connection to a server, on which the end of an answer is told apart from a cut.

use {
    crate::{
        framing::Framing,
        options::{BUFFER_LIMIT, HEAD_LIMIT},
        pool::Lease,
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

/// Bytes that are asked for in one read.
const READ_SIZE: usize = 16 * 1_024;
/// Interim answers after which a server is taken to be faulty.
const INTERIM_LIMIT: usize = 32;

/// The codec; absent only while it decodes a body part.
type SharedCodec = Rc<RefCell<Option<ClientCodec>>>;

/// A connection that carries one exchange.
pub(crate) struct Connection {
    pub(crate) reader: ServerReader,
    pub(crate) writer: ServerWriter,
    lease: Lease,
}

/// Reads the answer.
pub(crate) struct ServerReader {
    half: OwnedReadHalf,
    codec: SharedCodec,
    buf: BytesMut,
    is_whole: bool,
    /// Whether the connection ends after the answer.
    closes: bool,
    /// Whether the body ends with the connection.
    is_until_close: bool,
    /// Whether the server has closed the connection in order.
    is_closed: bool,
    /// Time for which the server keeps an idle connection, as the last answer says.
    keep_alive: Option<Duration>,
}

/// Writes the request.
pub(crate) struct ServerWriter {
    half: OwnedWriteHalf,
    codec: SharedCodec,
    out: BytesMut,
    is_whole: bool,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// The connection ended first.
    Cut,
    /// What arrived is no answer whose end can be told.
    Bad,
}

/// How far the body of an answer was gathered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Gathered {
    Whole,
    Long,
    Cut,
}

/// The next part of an answer.
pub(crate) enum Part {
    Chunk(Bytes),
    End,
    Cut,
    /// Nothing more has arrived yet.
    Pending,
}

impl Connection {
    pub(crate) fn new(io: TcpStream, config: ServiceConfig, lease: Lease) -> Self {
        let (read, write) = io.into_split();
        let codec = Rc::new(RefCell::new(Some(ClientCodec::new(config))));
        Self {
            reader: ServerReader {
                half: read,
                codec: codec.clone(),
                buf: BytesMut::new(),
                is_whole: false,
                closes: false,
                is_until_close: false,
                is_closed: false,
                keep_alive: None,
            },
            writer: ServerWriter { half: write, codec, out: BytesMut::new(), is_whole: false },
            lease,
        }
    }

    /// Gives the connection back after a whole exchange, closes it if it must not be used again, and resets it
    /// if the exchange was given up. A server that does not read would never see an orderly close, which
    /// waits behind the data that was written.
    pub(crate) fn release(self) {
        self.give_back(Duration::ZERO);
    }

    /// Gives back a connection on which no late answer can follow, so that it need not rest.
    pub(crate) fn release_rested(self) {
        let rest = self.lease.rest();
        self.give_back(rest);
    }

    fn give_back(self, rested: Duration) {
        let Self { reader, writer, lease } = self;
        // Bytes beyond the answer would be taken for the answer to the next request.
        let keep_alive = reader.codec.borrow().as_ref().is_some_and(ClientCodec::keep_alive);
        if !reader.is_whole || !writer.is_whole {
            let _ = writer.half.as_ref().set_zero_linger();
            writer.half.forget();
            return;
        }
        if !reader.closes
            && reader.buf.is_empty()
            && keep_alive
            && let Ok(io) = reader.half.reunite(writer.half)
        {
            lease.put(io, reader.keep_alive, rested);
        }
    }
}

impl ServerReader {
    /// Reads the head of the answer; interim answers (1xx) are passed over. `may_close` permits a body that ends
    /// with the connection.
    pub(crate) async fn read_head(
        &mut self,
        method: &Method,
        may_close: bool,
    ) -> Result<(ResponseHead, Framing), NoAnswer> {
        let mut interim = 0;
        loop {
            let item = match self.codec.borrow_mut().as_mut() {
                Some(codec) => codec.decode(&mut self.buf),
                None => return Err(NoAnswer::Bad),
            };
            match item {
                Ok(Some(head)) if head.status.is_informational() => {
                    interim += 1;
                    // An interim answer has no body. One that states a length may mean the bytes of the next head.
                    let codec = self.codec.borrow();
                    let has_body =
                        codec.as_ref().is_some_and(|codec| !matches!(codec.message_type(), MessageType::None));
                    if head.status == StatusCode::SWITCHING_PROTOCOLS || has_body || interim > INTERIM_LIMIT {
                        return Err(NoAnswer::Bad);
                    }
                    continue;
                }
                Ok(Some(head)) => {
                    let framing = Framing::of_answer(method, &head, may_close).ok_or(NoAnswer::Bad)?;
                    self.is_whole = framing.is_empty();
                    self.is_until_close = framing == Framing::Close;
                    // The codec alone takes a connection of version 1.0 for one that stays.
                    self.closes = self.is_until_close || head.version < Version::HTTP_11 || is_close(&head.headers);
                    self.keep_alive = keep_alive(&head.headers);
                    return Ok((head, framing));
                }
                Ok(None) if self.buf.len() >= HEAD_LIMIT => return Err(NoAnswer::Bad),
                Err(_) => return Err(NoAnswer::Bad),
                Ok(None) => {}
            }
            if !self.fill().await {
                return Err(NoAnswer::Cut);
            }
        }
    }

    /// Takes the next part of the body that has arrived already.
    pub(crate) fn buffered_part(&mut self) -> Part {
        if self.is_whole {
            return Part::End;
        }
        if self.is_until_close {
            return self.part_until_close();
        }
        let Some(codec) = self.codec.borrow_mut().take() else { return Part::Cut };
        let mut codec = codec.into_payload_codec();
        let item = codec.decode(&mut self.buf);
        *self.codec.borrow_mut() = Some(codec.into_message_codec());
        match item {
            Ok(Some(Some(chunk))) => Part::Chunk(chunk),
            Ok(Some(None)) => {
                self.is_whole = true;
                Part::End
            }
            Ok(None) => Part::Pending,
            Err(_) => Part::Cut,
        }
    }

    fn part_until_close(&mut self) -> Part {
        if !self.buf.is_empty() {
            return Part::Chunk(self.buf.split().freeze());
        }
        self.is_whole = self.is_closed;
        if self.is_whole { Part::End } else { Part::Pending }
    }

    /// Reads parts of the body until its end or until the parts have more than `limit` bytes. A call that is dropped
    /// loses nothing of what it has read.
    pub(crate) async fn gather(&mut self, parts: &mut Vec<Bytes>, limit: usize) -> Gathered {
        loop {
            match self.buffered_part() {
                Part::Chunk(chunk) => parts.push(chunk),
                Part::End => return Gathered::Whole,
                Part::Cut => return Gathered::Cut,
                Part::Pending if parts.iter().map(Bytes::len).sum::<usize>() > limit => return Gathered::Long,
                Part::Pending if !self.fill().await => return Gathered::Cut,
                Part::Pending => {}
            }
        }
    }

    /// Ends the connection after this answer.
    pub(crate) fn close_after(&mut self) {
        self.closes = true;
    }

    /// Reads more; returns whether more can be expected or the answer has come to its end.
    pub(crate) async fn fill(&mut self) -> bool {
        debug_assert!(self.buf.len() < HEAD_LIMIT.max(BUFFER_LIMIT), "only an unfinished item is held");
        self.buf.reserve(READ_SIZE);
        match self.half.read_buf(&mut self.buf).await {
            Ok(0) => {
                self.is_closed = true;
                self.is_until_close
            }
            Ok(_) => true,
            Err(_) => false,
        }
    }
}

impl ServerWriter {
    /// Encodes the head of a request.
    pub(crate) fn start(&mut self, head: RequestHead, size: BodySize) -> io::Result<()> {
        self.encode(Message::Item((RequestHeadType::Owned(head), size)))
    }

    /// Encodes a part of a body; `None` is its end.
    pub(crate) fn part(&mut self, part: Option<Bytes>) -> io::Result<()> {
        self.encode(Message::Chunk(part))
    }

    /// Notes that the request was written whole.
    pub(crate) fn finish(&mut self) {
        self.is_whole = true;
    }

    /// Writes what is encoded, and notes once a byte was taken.
    pub(crate) async fn flush(&mut self, is_begun: &Cell<bool>) -> io::Result<()> {
        while !self.out.is_empty() {
            if self.half.write_buf(&mut self.out).await? == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            is_begun.set(true);
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

/// Returns whether the connection options name `close`.
fn is_close(headers: &HeaderMap) -> bool {
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
