//! The outgoing connection to one other instance.

use {
    crate::{backoff::Backoff, options::NetOptions},
    std::{net::SocketAddr, time::Instant},
    tokio::{io::AsyncWriteExt, net::TcpStream, sync::mpsc},
};

/// Writes the messages for one peer. It connects when there is something to send; while the peer
/// cannot be reached, what waits is dropped, because an old message is worth less than a new one.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) rx: mpsc::Receiver<Vec<u8>>,
    pub(crate) options: NetOptions,
}

impl Link {
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(self.options.backoff_min, self.options.backoff_max);
        let mut stream = None;
        let mut retry_at = Instant::now();
        while let Some(bytes) = self.rx.recv().await {
            if stream.is_none() && Instant::now() >= retry_at {
                stream = self.connect().await;
                match stream {
                    Some(_) => backoff.reset(),
                    None => retry_at = Instant::now() + backoff.take(),
                }
            }
            if let Some(mut open) = stream.take() {
                stream = self.write(&mut open, &bytes).await.then_some(open);
            }
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let connect = TcpStream::connect(self.address);
        let stream = actix_rt::time::timeout(self.options.connect_timeout, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Writes a frame; returns whether the connection may carry another one.
    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> bool {
        let mut frame = Vec::with_capacity(bytes.len() + 4);
        // Encoding bounds the length far below 4 GiB.
        frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        frame.extend_from_slice(bytes);
        let write = stream.write_all(&frame);
        matches!(actix_rt::time::timeout(self.options.write_timeout, write).await, Ok(Ok(())))
    }
}
