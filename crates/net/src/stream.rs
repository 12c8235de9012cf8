//! Outgoing messages over TCP.

use {
    crate::{
        envelope::Envelope,
        frame::{self, LENGTH_BYTES},
        link::{Link, Waiting},
        options::NetOptions,
    },
    hemlockford_core::{collections::FastMap, errors::Result, ids::InstanceId},
    serde::Serialize,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::mpsc::{self, error::TrySendError},
};

/// Bytes from which a frame counts against the memory of all links. Smaller ones are bounded by the queues, and a
/// heartbeat is not dropped because large messages wait for other peers.
const LARGE_BYTES: usize = 64 * 1024;

/// Outgoing connections to the other instances.
#[derive(Debug)]
pub struct StreamLinks {
    links: RefCell<FastMap<InstanceId, Handle>>,
    /// Whether a link is opened to any address that a message is sent to.
    is_open: bool,
    options: NetOptions,
    waiting: Rc<Cell<usize>>,
}

/// The sending end of a link.
#[derive(Clone, Debug)]
struct Handle {
    tx: mpsc::Sender<Vec<u8>>,
    waiting: Waiting,
}

impl Handle {
    fn open(address: SocketAddr, options: &NetOptions, all: &Rc<Cell<usize>>) -> Self {
        let (tx, rx) = mpsc::channel(options.max_queued_messages);
        let waiting = Waiting { all: all.clone(), ..Waiting::default() };
        actix_rt::spawn(Link { address, rx, options: options.clone(), waiting: waiting.clone() }.run());
        Self { tx, waiting }
    }
}

impl StreamLinks {
    /// Starts one task for each peer on the current thread; it connects when there is something to send.
    pub fn start(peers: impl IntoIterator<Item = (InstanceId, SocketAddr)>, options: &NetOptions) -> Self {
        let links = Self { is_open: false, ..Self::on_demand(options) };
        let open = |(id, address)| (id, Handle::open(address, options, &links.waiting));
        *links.links.borrow_mut() = peers.into_iter().map(open).collect();
        links
    }

    /// Links to instances that are named by their addresses (`ip:port`). Each is opened with the first message on the
    /// current thread, and dropped when it was idle for `NetOptions::idle_timeout`.
    pub fn on_demand(options: &NetOptions) -> Self {
        let (links, waiting) = (RefCell::default(), Rc::default());
        Self { links, is_open: true, options: options.clone(), waiting }
    }

    /// Queues a message and returns its length in bytes, or 0 where the peer is unknown or its queue
    /// is full.
    pub fn send<M: Serialize>(&self, to: &str, envelope: &Envelope<M>) -> Result<usize> {
        let Some(mut link) = self.link(to) else { return Ok(0) };
        let frame = frame::encode_frame(envelope)?;
        let length = frame.len();
        let is_over = |waiting: &Cell<usize>, bound| waiting.get() > 0 && waiting.get() + length > bound;
        let is_over_total = length > LARGE_BYTES && is_over(&self.waiting, self.options.max_total_queued_bytes);
        if is_over_total || is_over(&link.waiting.link, self.options.max_queued_bytes) {
            return Ok(0);
        }
        let mut sent = link.tx.try_send(frame);
        if let Err(TrySendError::Closed(frame)) = sent {
            // The link was idle for long and has ended.
            self.links.borrow_mut().remove(to);
            let Some(opened) = self.link(to) else { return Ok(0) };
            link = opened;
            sent = link.tx.try_send(frame);
        }
        Ok(sent.map_or(0, |()| {
            link.waiting.add(length);
            length - LENGTH_BYTES
        }))
    }

    /// The link to a peer, opened if need be.
    fn link(&self, to: &str) -> Option<Handle> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(to) {
            return Some(link.clone());
        }
        let address = to.parse().ok().filter(|_| self.is_open)?;
        links.retain(|_, link| !link.tx.is_closed());
        if links.len() >= self.options.max_links {
            return None;
        }
        let link = Handle::open(address, &self.options, &self.waiting);
        links.insert(to.into(), link.clone());
        Some(link)
    }

    /// Links that are open or may be opened.
    pub fn len(&self) -> usize {
        self.links.borrow().values().filter(|link| !link.tx.is_closed()).count()
    }

    /// Whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
