//! Outgoing connection to another instance.

use {
    crate::{
        backoff::Backoff, frame::MAX_FRAME_BYTES, options::NetOptions, unacknowledged_frames::UnacknowledgedFrames,
    },
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::mpsc,
    },
};

/// Maximum number of acknowledgements that are read at once.
const MAX_ACKS_PER_READ: usize = 64;

/// Size of the queued frames of one link and of all links, in bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueuedBytes {
    pub(crate) per_link: Rc<Cell<usize>>,
    pub(crate) total: Rc<Cell<usize>>,
}

impl QueuedBytes {
    pub(crate) fn add(&self, bytes: usize) {
        self.per_link.set(self.per_link.get() + bytes);
        self.total.set(self.total.get() + bytes);
    }

    pub(crate) fn remove(&self, bytes: usize) {
        self.per_link.set(self.per_link.get() - bytes);
        self.total.set(self.total.get() - bytes);
    }
}

/// Writes the messages to one peer. It connects when there is a message to send. While the peer is unreachable, queued
/// messages are dropped, because a new message is more useful than an old one.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) rx: mpsc::Receiver<Vec<u8>>,
    pub(crate) options: NetOptions,
    pub(crate) queued: QueuedBytes,
    /// Number of connections of all links that were closed because a frame was not acknowledged in time.
    pub(crate) timeouts: Rc<Cell<u64>>,
}

/// An open connection.
struct Connection {
    stream: TcpStream,
    unacknowledged: UnacknowledgedFrames,
}

enum Event {
    Frame(Option<Vec<u8>>),
    /// The peer acknowledged a number of frames, or closed the connection if the number is 0.
    Acknowledged(usize),
    /// A frame was not acknowledged in time, or the link was idle for too long.
    TimedOut,
}

impl Link {
    /// Runs until the sender is dropped or the link has been idle for the idle timeout.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(self.options.backoff_min, self.options.backoff_max);
        let mut connection = None;
        let mut retry_at = Instant::now();
        let mut last_used = retry_at;
        loop {
            let event = match self.next_event(&mut connection, last_used).await {
                // A frame may have arrived at the same time.
                Event::TimedOut if self.is_idle(&connection, last_used) => match self.rx.try_recv() {
                    Ok(frame) => Event::Frame(Some(frame)),
                    Err(_) => return,
                },
                event => event,
            };
            match event {
                Event::Frame(Some(frame)) => {
                    last_used = Instant::now();
                    if connection.is_none() && last_used >= retry_at {
                        connection = self.connect().await;
                        match connection {
                            Some(_) => backoff.reset(),
                            None => retry_at = Instant::now() + backoff.next_delay(),
                        }
                    }
                    if let Some(mut open) = connection.take() {
                        connection = self.write(&mut open, &frame).await.then_some(open);
                    }
                    self.queued.remove(frame.len());
                }
                Event::Frame(None) => return,
                Event::Acknowledged(count) => {
                    last_used = Instant::now();
                    connection = connection.filter(|_| count > 0);
                    if let Some(open) = &mut connection
                        && !open.unacknowledged.acknowledge(count)
                    {
                        connection = None;
                    }
                }
                Event::TimedOut => {
                    self.timeouts.set(self.timeouts.get() + 1);
                    connection = None;
                }
            }
        }
    }

    async fn next_event(&mut self, connection: &mut Option<Connection>, last_used: Instant) -> Event {
        let idle_at = self.options.idle_timeout.map(|idle| last_used + idle);
        let Some(Connection { stream, unacknowledged }) = connection else {
            return tokio::select! {
                frame = self.rx.recv() => Event::Frame(frame),
                () = sleep_until(idle_at) => Event::TimedOut,
            };
        };
        // A connection with unacknowledged frames is in use.
        let timeout_at = unacknowledged.deadline().or(idle_at);
        // Unacknowledged frames may still take memory in the send buffer of the operating system.
        let has_room = unacknowledged.bytes() < MAX_FRAME_BYTES;
        let mut acks = [0; MAX_ACKS_PER_READ];
        tokio::select! {
            frame = self.rx.recv(), if has_room => Event::Frame(frame),
            read = stream.read(&mut acks), if self.options.ack_timeout.is_some() => {
                Event::Acknowledged(read.unwrap_or(0))
            }
            () = sleep_until(timeout_at) => Event::TimedOut,
        }
    }

    fn is_idle(&self, connection: &Option<Connection>, last_used: Instant) -> bool {
        let is_in_use = connection.as_ref().is_some_and(|open| open.unacknowledged.deadline().is_some());
        !is_in_use && self.options.idle_timeout.is_some_and(|idle| Instant::now() >= last_used + idle)
    }

    async fn connect(&self) -> Option<Connection> {
        let connect = TcpStream::connect(self.address);
        let stream = actix_rt::time::timeout(self.options.connect_timeout, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, unacknowledged: UnacknowledgedFrames::default() })
    }

    /// Writes a frame; returns whether the connection remains usable.
    async fn write(&self, connection: &mut Connection, frame: &[u8]) -> bool {
        let ack_timeout = self.options.ack_timeout.map(|ack| connection.unacknowledged.ack_timeout(frame.len(), ack));
        let write = connection.stream.write_all(frame);
        let timeout: Duration = ack_timeout.unwrap_or(self.options.write_timeout);
        let is_written = matches!(actix_rt::time::timeout(timeout, write).await, Ok(Ok(())));
        if let Some(ack_timeout) = ack_timeout {
            connection.unacknowledged.push(frame.len(), Instant::now() + ack_timeout);
        }
        is_written
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => actix_rt::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}
