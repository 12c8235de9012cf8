//! Messages over TCP.

use {
    crate::{
        envelope::Envelope,
        frame::{self, MAX_FRAME_BYTES},
        link::Link,
        options::NetOptions,
    },
    error_stack::ResultExt,
    hemlockford_core::{
        collections::FastMap,
        errors::{ErrorKind, Result},
        ids::InstanceId,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    tokio::{
        io::AsyncReadExt,
        net::{TcpListener, TcpStream},
        sync::mpsc,
    },
};

/// Bytes that are reserved for a frame before its content has arrived, so that a forged length does not
/// allocate memory.
const READ_STEP_BYTES: usize = 64 * 1024;

/// Outgoing connections to the other instances.
#[derive(Debug)]
pub struct StreamLinks {
    links: FastMap<InstanceId, mpsc::Sender<Vec<u8>>>,
    /// Options of links that are opened on demand; without them only the peers of the start are known.
    on_demand: Option<NetOptions>,
}

impl StreamLinks {
    /// Starts one task for each peer on the current thread; it connects when there is something to send.
    pub fn start(peers: impl IntoIterator<Item = (InstanceId, SocketAddr)>, options: &NetOptions) -> Self {
        let start = |(id, address)| {
            let (tx, rx) = mpsc::channel(options.queue);
            actix_rt::spawn(Link { address, rx, options: options.clone() }.run());
            (id, tx)
        };
        Self { links: peers.into_iter().map(start).collect(), on_demand: None }
    }

    /// Makes links to peers whose names are their addresses.
    pub fn on_demand(options: &NetOptions) -> Self {
        Self { links: FastMap::default(), on_demand: Some(options.clone()) }
    }

    /// Sends to a peer whose name is its address.
    pub fn send_on_demand<M: Serialize>(&mut self, to: &str, envelope: &Envelope<M>) -> Result<usize> {
        if let (Some(options), false, Ok(address)) = (&self.on_demand, self.links.contains_key(to), to.parse()) {
            let (tx, rx) = mpsc::channel(options.queue);
            actix_rt::spawn(Link { address, rx, options: options.clone() }.run());
            self.links.insert(to.into(), tx);
        }
        self.send(to, envelope)
    }

    /// Queues a message and returns its length in bytes, or 0 where the peer is unknown or its queue
    /// is full.
    pub fn send<M: Serialize>(&self, to: &str, envelope: &Envelope<M>) -> Result<usize> {
        let Some(link) = self.links.get(to) else { return Ok(0) };
        let bytes = frame::encode(envelope, MAX_FRAME_BYTES)?;
        let length = bytes.len();
        Ok(link.try_send(bytes).map_or(0, |()| length))
    }
}

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
            let (open, tx) = (open.clone(), tx.clone());
            actix_rt::spawn(async move {
                // Whatever ended the connection, the peer opens another one.
                let _ = read_frames(stream, tx).await;
                open.set(open.get() - 1);
            });
        }
    }
}

async fn read_frames<M: DeserializeOwned>(
    mut stream: TcpStream,
    tx: mpsc::UnboundedSender<(Envelope<M>, usize)>,
) -> Result<()> {
    loop {
        let length = stream.read_u32_le().await.change_context(ErrorKind::Io)? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(hemlockford_core::errors::limit(format!("frame of {length} bytes")));
        }
        let mut bytes = Vec::with_capacity(length.min(READ_STEP_BYTES));
        let mut body = (&mut stream).take(length as u64);
        body.read_to_end(&mut bytes).await.change_context(ErrorKind::Io)?;
        if bytes.len() < length || tx.send((frame::decode(&bytes)?, length)).is_err() {
            return Ok(());
        }
    }
}
