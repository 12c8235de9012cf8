//! Messages over UDP.

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

/// A UDP socket for messages.
#[derive(Clone, Debug)]
pub struct DatagramSocket {
    socket: Arc<UdpSocket>,
}

impl DatagramSocket {
    /// Creates the socket from a bound standard socket.
    pub fn new(socket: std::net::UdpSocket) -> Result<Self> {
        socket.set_nonblocking(true).change_context(ErrorKind::Io)?;
        let socket = Arc::new(UdpSocket::from_std(socket).change_context(ErrorKind::Io)?);
        Ok(Self { socket })
    }

    /// Sends a message without waiting and returns its length in bytes. If the send buffer of the socket is full, the
    /// datagram is dropped and 0 is returned; the network may drop datagrams as well.
    pub fn send<M: Serialize>(&self, to: SocketAddr, envelope: &Envelope<M>) -> Result<usize> {
        let bytes = frame::encode(envelope, MAX_DATAGRAM_BYTES)?;
        Ok(self.socket.try_send_to(&bytes, to).unwrap_or_default())
    }

    /// Receives the next message with its length in bytes. The socket remains usable after an error caused by a
    /// malformed datagram.
    pub async fn receive<M: DeserializeOwned>(&self) -> Result<(Envelope<M>, usize)> {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, peer) = self.socket.recv_from(&mut buf).await.change_context(ErrorKind::Io)?;
        let message =
            frame::decode(&buf[..length]).attach_with(|| format!("datagram of {length} bytes from {peer}"))?;
        Ok((message, length))
    }
}
