//! Messages in UDP datagrams.

use {
    crate::{
        envelope::Envelope,
        frame::{self, MAX_DATAGRAM_BYTES},
    },
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc},
    tokio::net::UdpSocket,
};

/// A socket for messages in datagrams.
#[derive(Clone, Debug)]
pub struct DatagramSocket {
    socket: Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Takes over a bound socket.
    pub fn new(socket: std::net::UdpSocket) -> Result<Self> {
        socket.set_nonblocking(true).change_context(ErrorKind::Io)?;
        let socket = Arc::new(UdpSocket::from_std(socket).change_context(ErrorKind::Io)?);
        Ok(Self { socket })
    }

    /// Sends a message without waiting and returns its length in bytes. A datagram for which the socket
    /// has no room is dropped, as the network may drop any.
    pub fn send<M: Serialize>(&self, to: SocketAddr, envelope: &Envelope<M>) -> Result<usize> {
        let bytes = frame::encode(envelope, MAX_DATAGRAM_BYTES)?;
        Ok(self.socket.try_send_to(&bytes, to).unwrap_or_default())
    }

    /// Receives the next message with its length in bytes; a malformed datagram is an error that leaves
    /// the socket usable.
    pub async fn receive<M: DeserializeOwned>(&self) -> Result<(Envelope<M>, usize)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, _) = self.socket.recv_from(&mut buf).await.change_context(ErrorKind::Io)?;
        Ok((frame::decode(&buf[..length])?, length))
    }
}
