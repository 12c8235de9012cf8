//! What handlers of the admin listener know of the connection of a request.

use {
    socket2::SockRef,
    std::{
        cell::Cell,
        io::{self, ErrorKind},
        mem::MaybeUninit,
        net::SocketAddr,
        rc::Rc,
        time::Instant,
    },
    tokio::net::TcpStream,
};

/// An accepted connection of the admin listener.
pub(crate) struct AdminConnection {
    io: Rc<TcpStream>,
    accepted_at: Instant,
    requests: Cell<u64>,
}

impl AdminConnection {
    pub(crate) fn new(io: Rc<TcpStream>, accepted_at: Instant) -> Self {
        Self { io, accepted_at, requests: Cell::new(0) }
    }

    /// Counts a request.
    pub(crate) fn begin_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Returns when the connection was accepted, if the current request is the first one. Later ones may have been sent at
    /// any time.
    pub(crate) fn accepted_for_request(&self) -> Option<Instant> {
        (self.requests.get() == 1).then_some(self.accepted_at)
    }

    /// Returns the address that the client connected to.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Returns whether the client has closed the connection, or its sending side.
    pub(crate) fn is_closed(&self) -> bool {
        match SockRef::from(&*self.io).peek(&mut [MaybeUninit::uninit()]) {
            Ok(length) => length == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }
}
