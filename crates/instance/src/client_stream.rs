//! Stream of an admin connection that tells the budget of the process about its progress.

use {
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

/// An accepted connection.
pub(crate) struct ClientStream {
    io: TcpStream,
    client: Rc<ClientGuard>,
    /// Whether data was read since the reader was last made to wait.
    has_read: bool,
}

impl ClientStream {
    pub(crate) fn new(io: TcpStream, client: Rc<ClientGuard>) -> Self {
        Self { io, client, has_read: false }
    }

    pub(crate) fn client(&self) -> &Rc<ClientGuard> {
        &self.client
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
        let before = buf.filled().len();
        let result = ready!(Pin::new(&mut self.io).poll_read(cx, buf));
        let length = buf.filled().len() - before;
        if length > 0 {
            self.has_read = true;
            if self.client.state() == ClientState::Idle {
                self.client.set_state(ClientState::Head);
            }
            self.client.moved(length);
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.client.moved(written);
        if written == buf.len() && self.client.state() == ClientState::Response {
            self.client.set_state(ClientState::Idle);
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
