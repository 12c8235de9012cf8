//! Sockets that an instance binds before it starts any task, so that an unusable address fails the start.

use {
    crate::{addresses::Addresses, settings::Settings},
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    std::net::{SocketAddr, TcpListener, UdpSocket},
};

/// Attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 16;

/// Bound sockets of an instance.
pub(crate) struct Sockets {
    pub(crate) callers: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) listen: TcpListener,
    pub(crate) datagrams: UdpSocket,
}

impl Sockets {
    pub(crate) fn bind(settings: &Settings) -> Result<Self> {
        let (listen, datagrams) = bind_tcp_and_udp(settings.listen)?;
        Ok(Self { callers: bind(settings.callers)?, admin: bind(settings.admin)?, listen, datagrams })
    }

    pub(crate) fn addresses(&self, settings: &Settings) -> Result<Addresses> {
        let address = |listener: &TcpListener| listener.local_addr().change_context(ErrorKind::Io);
        Ok(Addresses {
            id: settings.id.clone(),
            callers: address(&self.callers)?,
            admin: address(&self.admin)?,
            listen: address(&self.listen)?,
        })
    }
}

pub(crate) fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .change_context(ErrorKind::Io)
        .attach_with(|| format!("cannot listen on {address}"))?;
    listener.set_nonblocking(true).change_context(ErrorKind::Io)?;
    Ok(listener)
}

/// Binds the same port for TCP and UDP. With port 0, several ports are tried, as the port that was chosen for TCP may
/// be in use for UDP.
pub(crate) fn bind_tcp_and_udp(address: SocketAddr) -> Result<(TcpListener, UdpSocket)> {
    let mut attempts = if address.port() == 0 { BIND_ATTEMPTS } else { 1 };
    loop {
        let listener = bind(address)?;
        let bound = listener.local_addr().change_context(ErrorKind::Io)?;
        attempts -= 1;
        match UdpSocket::bind(bound) {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) if attempts == 0 => {
                return Err(e)
                    .change_context(ErrorKind::Io)
                    .attach_with(|| format!("cannot bind UDP socket to {bound}"));
            }
            Err(_) => {}
        }
    }
}
