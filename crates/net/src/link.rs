//! The outgoing connection to one other instance.

use {
    crate::{backoff::Backoff, frame::MAX_FRAME_BYTES, options::NetOptions, unacknowledged::Unacknowledged},
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

/// Acknowledgements that are read at once.
const READ_ACKS: usize = 64;

/// Bytes of the frames that wait, for one link and for all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Waiting {
    pub(crate) link: Rc<Cell<usize>>,
    pub(crate) all: Rc<Cell<usize>>,
}

impl Waiting {
    pub(crate) fn add(&self, bytes: usize) {
        self.link.set(self.link.get() + bytes);
        self.all.set(self.all.get() + bytes);
    }

    pub(crate) fn remove(&self, bytes: usize) {
        self.link.set(self.link.get() - bytes);
        self.all.set(self.all.get() - bytes);
    }
}

/// Writes the messages for one peer. It connects when there is something to send; while the peer
/// cannot be reached, what waits is dropped, because an old message is worth less than a new one.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) rx: mpsc::Receiver<Vec<u8>>,
    pub(crate) options: NetOptions,
    pub(crate) waiting: Waiting,
}

/// An open connection.
struct Connection {
    stream: TcpStream,
    unacknowledged: Unacknowledged,
}

enum Event {
    Frame(Option<Vec<u8>>),
    /// The peer has acknowledged frames; 0 if it has closed the connection.
    Acknowledged(usize),
    /// A frame was not acknowledged in time, or nothing was sent for long.
    Late,
}

impl Link {
    /// Runs until the sender is dropped, or until nothing was sent for the idle time.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(self.options.backoff_min, self.options.backoff_max);
        let mut connection = None;
        let mut retry_at = Instant::now();
        let mut used_at = retry_at;
        loop {
            let event = match self.next(&mut connection, used_at).await {
                // A frame may have come at the same moment.
                Event::Late if self.is_idle(used_at) => match self.rx.try_recv() {
                    Ok(frame) => Event::Frame(Some(frame)),
                    Err(_) => return,
                },
                event => event,
            };
            match event {
                Event::Frame(Some(frame)) => {
                    used_at = Instant::now();
                    if connection.is_none() && used_at >= retry_at {
                        connection = self.connect().await;
                        match connection {
                            Some(_) => backoff.reset(),
                            None => retry_at = Instant::now() + backoff.take(),
                        }
                    }
                    if let Some(mut open) = connection.take() {
                        connection = self.write(&mut open, &frame).await.then_some(open);
                    }
                    self.waiting.remove(frame.len());
                }
                Event::Frame(None) => return,
                Event::Acknowledged(count) => {
                    connection = connection.filter(|_| count > 0);
                    if let Some(open) = &mut connection
                        && !open.unacknowledged.acknowledge(count)
                    {
                        connection = None;
                    }
                }
                Event::Late => connection = None,
            }
        }
    }

    async fn next(&mut self, connection: &mut Option<Connection>, used_at: Instant) -> Event {
        let idle_at = self.options.idle_timeout.map(|idle| used_at + idle);
        let Some(Connection { stream, unacknowledged }) = connection else {
            return tokio::select! {
                frame = self.rx.recv() => Event::Frame(frame),
                () = sleep_until(idle_at) => Event::Late,
            };
        };
        let late_at = unacknowledged.deadline().into_iter().chain(idle_at).min();
        // What is on the way takes memory of the machine, too.
        let has_room = unacknowledged.bytes() < MAX_FRAME_BYTES;
        let mut acks = [0; READ_ACKS];
        tokio::select! {
            frame = self.rx.recv(), if has_room => Event::Frame(frame),
            read = stream.read(&mut acks), if self.options.ack_timeout.is_some() => {
                Event::Acknowledged(read.unwrap_or(0))
            }
            () = sleep_until(late_at) => Event::Late,
        }
    }

    fn is_idle(&self, used_at: Instant) -> bool {
        self.options.idle_timeout.is_some_and(|idle| Instant::now() >= used_at + idle)
    }

    async fn connect(&self) -> Option<Connection> {
        let connect = TcpStream::connect(self.address);
        let stream = actix_rt::time::timeout(self.options.connect_timeout, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, unacknowledged: Unacknowledged::default() })
    }

    /// Writes a frame; returns whether the connection may carry another one.
    async fn write(&self, connection: &mut Connection, frame: &[u8]) -> bool {
        let allowance = self.options.ack_timeout.map(|ack| connection.unacknowledged.allowance(frame.len(), ack));
        let write = connection.stream.write_all(frame);
        let timeout: Duration = allowance.unwrap_or(self.options.write_timeout);
        let is_written = matches!(actix_rt::time::timeout(timeout, write).await, Ok(Ok(())));
        if let Some(allowance) = allowance {
            connection.unacknowledged.push(frame.len(), Instant::now() + allowance);
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
