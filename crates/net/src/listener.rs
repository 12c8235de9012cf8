//! Incoming connections of the other instances.

use {
    crate::{
        envelope::Envelope,
        frame::{self, LENGTH_BYTES, MAX_FRAME_BYTES},
        options::NetOptions,
    },
    bytes::{Buf, BytesMut},
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, limit, unavailable},
    serde::de::DeserializeOwned,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
};

/// Bytes that are reserved for a frame before its content has arrived, so that a forged length does not
/// allocate memory.
const READ_STEP_BYTES: usize = 64 * 1024;
/// Bytes that are read at least, so that small frames take one system call each.
const READ_BYTES: usize = 4 * 1024;
/// The byte that acknowledges a frame.
const ACK: u8 = 1;
/// Time beyond the idle time after which the receiver gives a connection up. The sender closes first, unless it is
/// gone without notice.
const IDLE_MARGIN: Duration = Duration::from_secs(10);

/// Accepts connections of the other instances.
#[derive(Debug)]
pub struct StreamListener {
    listener: TcpListener,
    options: NetOptions,
}

impl StreamListener {
    /// Takes over a bound listener.
    pub fn new(listener: std::net::TcpListener, options: NetOptions) -> Result<Self> {
        listener.set_nonblocking(true).change_context(ErrorKind::Io)?;
        Ok(Self { listener: TcpListener::from_std(listener).change_context(ErrorKind::Io)?, options })
    }

    /// Passes every message on with its length in bytes, until the receiver is dropped. A connection
    /// that sends anything malformed is closed.
    pub async fn run<M: DeserializeOwned + 'static>(self, tx: mpsc::UnboundedSender<(Envelope<M>, usize)>) {
        let open = Rc::new(Cell::new(0_usize));
        while !tx.is_closed() {
            let Ok((stream, _)) = self.listener.accept().await else { continue };
            if open.get() >= self.options.max_connections {
                continue;
            }
            open.set(open.get() + 1);
            let (open, tx, options) = (open.clone(), tx.clone(), self.options.clone());
            actix_rt::spawn(async move {
                // Whatever ended the connection, the peer opens another one.
                let _ = read_frames(stream, tx, options).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn read_frames<M: DeserializeOwned>(
    mut stream: TcpStream,
    tx: mpsc::UnboundedSender<(Envelope<M>, usize)>,
    options: NetOptions,
) -> Result<()> {
    let mut buf = BytesMut::new();
    loop {
        let mut frames = 0;
        while let Some(length) = whole_frame(&buf)? {
            let message = frame::decode(&buf[LENGTH_BYTES..LENGTH_BYTES + length])?;
            if tx.send((message, length)).is_err() {
                return Ok(());
            }
            buf.advance(LENGTH_BYTES + length);
            frames += 1;
        }
        if frames > 0 && options.ack_timeout.is_some() {
            let acks = vec![ACK; frames];
            let written = actix_rt::time::timeout(options.write_timeout, stream.write_all(&acks));
            written.await.change_context(ErrorKind::Io)?.change_context(ErrorKind::Io)?;
        }
        if buf.is_empty() && buf.capacity() > READ_STEP_BYTES {
            // The memory of a large frame is given back.
            buf = BytesMut::new();
        }
        buf.reserve(missing(&buf).clamp(READ_BYTES, READ_STEP_BYTES));
        let read = stream.read_buf(&mut buf);
        let read = match options.idle_timeout {
            Some(idle) => actix_rt::time::timeout(idle + IDLE_MARGIN, read)
                .await
                .map_err(|_| unavailable("the connection carried nothing for long"))?,
            None => read.await,
        };
        if read.change_context(ErrorKind::Io)? == 0 {
            return Ok(());
        }
    }
}

/// Length of the first frame, if its length has arrived.
fn first_length(buf: &[u8]) -> Option<usize> {
    let length = buf.first_chunk::<LENGTH_BYTES>()?;
    Some(u32::from_le_bytes(*length) as usize)
}

/// Length of the first frame, if the whole frame has arrived.
fn whole_frame(buf: &[u8]) -> Result<Option<usize>> {
    match first_length(buf) {
        Some(length) if length > MAX_FRAME_BYTES => Err(limit(format!("frame of {length} bytes"))),
        Some(length) => Ok(Some(length).filter(|length| buf.len() >= LENGTH_BYTES + length)),
        None => Ok(None),
    }
}

/// Bytes of the first frame that have not arrived.
fn missing(buf: &[u8]) -> usize {
    first_length(buf).map_or(0, |length| (LENGTH_BYTES + length).saturating_sub(buf.len()))
}
