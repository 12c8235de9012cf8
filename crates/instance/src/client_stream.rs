//! Stream of an admin connection that tells the budget of the process about its progress and its unread answers.

use {
    crate::{admin_connection::AdminConnection, answer_gate::AnswerGate},
    hemlockford_proxy::{ClientGuard, ClientState},
    socket2::SockRef,
    std::{
        io,
        net::Shutdown,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Instant,
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
    io: Rc<TcpStream>,
    connection: Rc<AdminConnection>,
    client: Rc<ClientGuard>,
    gate: Rc<AnswerGate>,
    /// Unread bytes of answers as the budget knows them.
    unread: usize,
    /// Whether data was read since the reader was last made to wait.
    has_read: bool,
}

impl ClientStream {
    pub(crate) fn new(io: TcpStream, accepted_at: Instant, client: Rc<ClientGuard>) -> Self {
        let io = Rc::new(io);
        let connection = Rc::new(AdminConnection::new(io.clone(), accepted_at));
        Self { io, connection, client, gate: Rc::default(), unread: 0, has_read: false }
    }

    pub(crate) fn client(&self) -> &Rc<ClientGuard> {
        &self.client
    }

    pub(crate) fn connection(&self) -> &Rc<AdminConnection> {
        &self.connection
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
        let written = loop {
            ready!(self.io.poll_write_ready(cx))?;
            match self.io.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break result?,
            }
        };
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

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // A TCP socket has no buffer of its own.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match SockRef::from(&*self.io).shutdown(Shutdown::Write) {
            // The client has reset the connection.
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Poll::Ready(Ok(())),
            result => Poll::Ready(result),
        }
    }
}
