//! Stream of an admin connection that tells the budget of the process about its progress and its unread answers.

use {
    crate::answer_gate::AnswerGate,
    hemlockford_proxy::{ClientGuard, ClientState},
    std::{
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Maximum size of one read. It may hold a hundred short requests, each of which takes about 1 KB when it is decoded.
const READ_BYTES: usize = 2 * 1_024;

/// An accepted connection.
pub(crate) struct ClientStream {
    io: TcpStream,
    client: Rc<ClientGuard>,
    gate: Rc<AnswerGate>,
    /// Unread bytes of answers as the budget knows them.
    unread: usize,
    /// Whether data was read since the reader was last made to wait.
    has_read: bool,
}

impl ClientStream {
    pub(crate) fn new(io: TcpStream, client: Rc<ClientGuard>) -> Self {
        Self { io, client, gate: Rc::default(), unread: 0, has_read: false }
    }

    pub(crate) fn client(&self) -> &Rc<ClientGuard> {
        &self.client
    }

    pub(crate) fn gate(&self) -> &Rc<AnswerGate> {
        &self.gate
    }

    fn set_unread(&mut self, unread: usize) {
        let before = std::mem::replace(&mut self.unread, unread);
        self.client.hold(before, unread);
    }
}

impl AsyncRead for ClientStream {
    /// Makes the reader wait after each read. The HTTP service would otherwise read all that has arrived before its
    /// handler takes any of it, and a body in chunks of one byte takes 32 bytes and more for each in its queue.
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.has_read) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if !self.gate.may_read(cx) {
            return Poll::Pending;
        }
        let size = buf.remaining().min(READ_BYTES);
        let length = loop {
            ready!(self.io.poll_read_ready(cx))?;
            match self.io.try_read(buf.initialize_unfilled_to(size)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break result?,
            }
        };
        buf.advance(length);
        if length > 0 {
            self.has_read = true;
            if self.client.state() == ClientState::Idle {
                self.client.set_state(ClientState::Head);
            }
            self.client.moved(length);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.set_unread(buf.len());
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.set_unread(buf.len() - written);
        self.client.moved(written);
        if self.unread == 0 {
            self.gate.open();
            if self.client.state() == ClientState::Response {
                self.client.set_state(ClientState::Idle);
            }
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
