//! Incoming connections from other instances.

use {
    crate::{
        envelope::Envelope,
        frame::{self, LENGTH_BYTES, MAX_FRAME_BYTES},
        options::NetOptions,
        unreadable_frame::UnreadableFrame,
    },
    bytes::{Buf, BytesMut},
    error_stack::{Report, ResultExt},
    hemlockford_core::errors::{ErrorKind, Result, limit, unavailable},
    serde::de::DeserializeOwned,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
};

/// Maximum memory that is reserved for a frame before its content has arrived, so that a forged length does not cause
/// large allocations.
const MAX_RESERVE_BYTES: usize = 64 * 1024;
/// Minimum memory that is reserved for a read, so that a small frame takes one system call.
const MIN_RESERVE_BYTES: usize = 4 * 1024;
/// Byte that acknowledges a frame.
const ACK: u8 = 1;
/// Time in addition to the idle timeout after which the receiver closes a connection. The sender closes it first, unless
/// it has failed without notice.
const IDLE_MARGIN: Duration = Duration::from_secs(10);

/// Accepts connections from other instances.
#[derive(Debug)]
pub struct StreamListener {
    listener: TcpListener,
    options: NetOptions,
    unreadable: Option<mpsc::UnboundedSender<UnreadableFrame>>,
}

impl StreamListener {
    /// Creates the listener from a bound standard listener.
    pub fn new(listener: std::net::TcpListener, options: NetOptions) -> Result<Self> {
        listener.set_nonblocking(true).change_context(ErrorKind::Io)?;
        let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
        Ok(Self { listener, options, unreadable: None })
    }

    /// Reports the frames that are skipped because their messages cannot be read.
    pub fn with_unreadable(self, tx: mpsc::UnboundedSender<UnreadableFrame>) -> Self {
        Self { unreadable: Some(tx), ..self }
    }

    /// Forwards each message with its length in bytes until the receiver is dropped. A connection is closed when it
    /// sends malformed data. A frame that arrived intact and cannot be read is skipped, because the sender would send
    /// others of its kind on the next connection, which would all be closed with what follows them.
    pub async fn run<M: DeserializeOwned + 'static>(self, tx: mpsc::UnboundedSender<(Envelope<M>, usize)>) {
        let open = Rc::new(Cell::new(0_usize));
        while !tx.is_closed() {
            let Ok((stream, peer)) = self.listener.accept().await else { continue };
            if open.get() >= self.options.max_connections {
                continue;
            }
            open.set(open.get() + 1);
            let (open, tx, options) = (open.clone(), tx.clone(), self.options.clone());
            let unreadable = self.unreadable.clone();
            let report = move |bytes, reason: &Report<ErrorKind>| {
                let frame = UnreadableFrame { peer, bytes, reason: format!("{reason:?}").into() };
                // Without a receiver nobody wants the report.
                let _ = unreadable.as_ref().map(|tx| tx.send(frame));
            };
            actix_rt::spawn(async move {
                // The error is ignored, because the peer reconnects if necessary.
                let _ = read_frames(stream, tx, options, report).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn read_frames<M: DeserializeOwned>(
    mut stream: TcpStream,
    tx: mpsc::UnboundedSender<(Envelope<M>, usize)>,
    options: NetOptions,
    report_unreadable: impl Fn(usize, &Report<ErrorKind>),
) -> Result<()> {
    let mut buf = BytesMut::new();
    loop {
        let mut frames = 0;
        while let Some(length) = complete_frame(&buf)? {
            let bytes = &buf[LENGTH_BYTES..LENGTH_BYTES + length];
            match frame::decode(bytes) {
                Ok(message) => {
                    if tx.send((message, length)).is_err() {
                        return Ok(());
                    }
                }
                Err(reason) if frame::is_intact(bytes) => report_unreadable(length, &reason),
                Err(reason) => return Err(reason),
            }
            buf.advance(LENGTH_BYTES + length);
            frames += 1;
        }
        if frames > 0 && options.ack_timeout.is_some() {
            let acks = vec![ACK; frames];
            let written = actix_rt::time::timeout(options.write_timeout, stream.write_all(&acks));
            written.await.change_context(ErrorKind::Io)?.change_context(ErrorKind::Io)?;
        }
        if buf.is_empty() && buf.capacity() > MAX_RESERVE_BYTES {
            // Releases the memory of a large frame.
            buf = BytesMut::new();
        }
        buf.reserve(missing_bytes(&buf).clamp(MIN_RESERVE_BYTES, MAX_RESERVE_BYTES));
        let read = stream.read_buf(&mut buf);
        let read = match options.idle_timeout {
            Some(idle) => actix_rt::time::timeout(idle + IDLE_MARGIN, read)
                .await
                .map_err(|_| unavailable("connection was idle for too long"))?,
            None => read.await,
        };
        if read.change_context(ErrorKind::Io)? == 0 {
            return Ok(());
        }
    }
}

/// Returns the length of the first frame, if its length prefix has arrived.
fn frame_length(buf: &[u8]) -> Option<usize> {
    let length = buf.first_chunk::<LENGTH_BYTES>()?;
    Some(u32::from_le_bytes(*length) as usize)
}

/// Returns the length of the first frame, if the complete frame has arrived.
fn complete_frame(buf: &[u8]) -> Result<Option<usize>> {
    match frame_length(buf) {
        Some(length) if length > MAX_FRAME_BYTES => {
            Err(limit(format!("frame of {length} bytes is longer than {MAX_FRAME_BYTES}")))
        }
        Some(length) => Ok(Some(length).filter(|length| buf.len() >= LENGTH_BYTES + length)),
        None => Ok(None),
    }
}

/// Returns the number of bytes of the first frame that have not arrived.
fn missing_bytes(buf: &[u8]) -> usize {
    frame_length(buf).map_or(0, |length| (LENGTH_BYTES + length).saturating_sub(buf.len()))
}
