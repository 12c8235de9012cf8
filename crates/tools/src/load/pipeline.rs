//! Connections on which the load generator sends requests before it has the answers to earlier ones.

use {
    actix_codec::{Decoder, Encoder},
    actix_http::{
        RequestHead, RequestHeadType, ResponseHead, Version,
        body::BodySize,
        h1::{ClientCodec, Message, MessageType},
        header::{self, HeaderValue},
    },
    bytes::{Bytes, BytesMut},
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        io,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        io::AsyncReadExt,
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::oneshot,
    },
};

/// A complete answer.
pub(super) struct Answer {
    pub(super) head: ResponseHead,
    pub(super) body: Vec<Bytes>,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MissingAnswer {
    /// An answer before it announced the end of the connection, so that it was not read.
    Unread,
    /// The connection ended without such an announcement.
    Lost,
}

type Waiter = oneshot::Sender<Result<Answer, MissingAnswer>>;

/// A connection with requests in progress.
pub(super) struct PipelinedConnection {
    half: OwnedWriteHalf,
    /// Requests without an answer, in the order in which they were sent.
    waiting: Rc<RefCell<VecDeque<Waiter>>>,
    is_closed: Rc<Cell<bool>>,
}

impl PipelinedConnection {
    /// Opens a connection and starts to read its answers.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let io = TcpStream::connect(address).await?;
        io.set_nodelay(true)?;
        let (read, half) = io.into_split();
        let connection = Self { half, waiting: Rc::default(), is_closed: Rc::default() };
        actix_rt::spawn(read_answers(read, connection.waiting.clone(), connection.is_closed.clone()));
        Ok(connection)
    }

    /// Returns whether another request can be sent while at most `limit` have no answer.
    pub(super) fn has_room(&self, limit: usize) -> bool {
        !self.is_closed.get() && self.waiting.borrow().len() < limit
    }

    /// Sends a request without a body. Returns the channel to its answer, or an error if nothing can be sent any more.
    pub(super) fn send(&self, head: RequestHead) -> io::Result<oneshot::Receiver<Result<Answer, MissingAnswer>>> {
        let mut out = BytesMut::new();
        ClientCodec::default().encode(Message::Item((RequestHeadType::Owned(head), BodySize::None)), &mut out)?;
        // A short head fits into the buffer of the socket unless the other side has stopped reading.
        if self.is_closed.get() || self.half.try_write(&out)? < out.len() {
            self.is_closed.set(true);
            return Err(io::ErrorKind::WriteZero.into());
        }
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push_back(tx);
        Ok(rx)
    }
}

/// Reads answers in the order of the requests until the connection ends.
async fn read_answers(mut half: OwnedReadHalf, waiting: Rc<RefCell<VecDeque<Waiter>>>, is_closed: Rc<Cell<bool>>) {
    let (mut buf, mut reason) = (BytesMut::new(), MissingAnswer::Lost);
    while let Some((answer, keep_alive)) = read_answer(&mut half, &mut buf).await {
        // An answer without a request ends the connection.
        let Some(waiter) = waiting.borrow_mut().pop_front() else { break };
        // The call may have been given up.
        let _ = waiter.send(Ok(answer));
        if !keep_alive {
            reason = MissingAnswer::Unread;
            break;
        }
    }
    is_closed.set(true);
    for waiter in waiting.take() {
        let _ = waiter.send(Err(reason));
    }
}

/// Reads one answer and returns whether the connection stays open; `None` if the connection ended first.
async fn read_answer(half: &mut OwnedReadHalf, buf: &mut BytesMut) -> Option<(Answer, bool)> {
    let mut codec = ClientCodec::default();
    let head = loop {
        match codec.decode(buf).ok()? {
            Some(head) if head.status.is_informational() => {}
            Some(head) => break head,
            None => fill(half, buf).await?,
        }
    };
    // A codec that has encoded no request does not know whether the connection stays open.
    let is_close = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    let keep_alive = head.version == Version::HTTP_11 && !head.headers.get_all(header::CONNECTION).any(is_close);
    let mut body = Vec::new();
    match codec.message_type() {
        MessageType::None => return Some((Answer { head, body }, keep_alive)),
        MessageType::Payload => {}
        // The end could not be distinguished from a truncation.
        MessageType::Stream => return None,
    }
    let mut codec = codec.into_payload_codec();
    loop {
        match codec.decode(buf).ok()? {
            Some(Some(part)) => body.push(part),
            Some(None) => return Some((Answer { head, body }, keep_alive)),
            None => fill(half, buf).await?,
        }
    }
}

async fn fill(half: &mut OwnedReadHalf, buf: &mut BytesMut) -> Option<()> {
    matches!(half.read_buf(buf).await, Ok(read) if read > 0).then_some(())
}
