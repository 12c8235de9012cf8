//! Outgoing messages over TCP.

use {
    crate::{
        envelope::Envelope,
        frame::{self, LENGTH_BYTES},
        link::{Link, QueuedBytes},
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

/// Size in bytes above which a frame is subject to the limit for all links. Smaller frames are limited by the queues only,
/// so that a heartbeat is not dropped because large messages are queued for other peers.
const LARGE_FRAME_BYTES: usize = 64 * 1024;

/// Outgoing connections to the other instances.
#[derive(Debug)]
pub struct StreamLinks {
    links: RefCell<FastMap<InstanceId, LinkHandle>>,
    /// Whether links are opened on demand to any address.
    allows_any_address: bool,
    options: NetOptions,
    queued: Rc<Cell<usize>>,
    timeouts: Rc<Cell<u64>>,
}

/// Sender of a link.
#[derive(Clone, Debug)]
struct LinkHandle {
    tx: mpsc::Sender<Vec<u8>>,
    queued: QueuedBytes,
}

impl LinkHandle {
    fn open(address: SocketAddr, links: &StreamLinks) -> Self {
        let (tx, rx) = mpsc::channel(links.options.max_queued_messages);
        let queued = QueuedBytes { total: links.queued.clone(), ..QueuedBytes::default() };
        let (options, timeouts) = (links.options.clone(), links.timeouts.clone());
        actix_rt::spawn(Link { address, rx, options, queued: queued.clone(), timeouts }.run());
        Self { tx, queued }
    }
}

impl StreamLinks {
    /// Creates links to a fixed set of peers. Starts one task per peer on the current thread, which connects when there
    /// is a message to send.
    pub fn start(peers: impl IntoIterator<Item = (InstanceId, SocketAddr)>, options: &NetOptions) -> Self {
        let links = Self { allows_any_address: false, ..Self::on_demand(options) };
        let open = |(id, address)| (id, LinkHandle::open(address, &links));
        *links.links.borrow_mut() = peers.into_iter().map(open).collect();
        links
    }

    /// Creates links on demand to instances that are identified by their addresses (`ip:port`). The task of a link is
    /// started on the current thread with the first message, and ends when it has been idle for
    /// `NetOptions::idle_timeout`.
    pub fn on_demand(options: &NetOptions) -> Self {
        Self {
            links: RefCell::default(),
            allows_any_address: true,
            options: options.clone(),
            queued: Rc::default(),
            timeouts: Rc::default(),
        }
    }

    /// Queues a message and returns its length in bytes, or 0 if the peer is unknown or a queue limit is exceeded.
    pub fn send<M: Serialize>(&self, to: &str, envelope: &Envelope<M>) -> Result<usize> {
        let Some(mut link) = self.get_or_open(to) else { return Ok(0) };
        let frame = frame::encode_frame(envelope)?;
        let length = frame.len();
        let exceeds = |queued: &Cell<usize>, limit| queued.get() > 0 && queued.get() + length > limit;
        let exceeds_total = length > LARGE_FRAME_BYTES && exceeds(&self.queued, self.options.max_total_queued_bytes);
        if exceeds_total || exceeds(&link.queued.per_link, self.options.max_queued_bytes) {
            return Ok(0);
        }
        let mut sent = link.tx.try_send(frame);
        if let Err(TrySendError::Closed(frame)) = sent {
            // The link ended because it was idle.
            self.links.borrow_mut().remove(to);
            let Some(opened) = self.get_or_open(to) else { return Ok(0) };
            link = opened;
            sent = link.tx.try_send(frame);
        }
        Ok(sent.map_or(0, |()| {
            link.queued.add(length);
            length - LENGTH_BYTES
        }))
    }

    /// Returns the link to a peer; opens it if necessary and possible.
    fn get_or_open(&self, to: &str) -> Option<LinkHandle> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(to) {
            return Some(link.clone());
        }
        let address = to.parse().ok().filter(|_| self.allows_any_address)?;
        links.retain(|_, link| !link.tx.is_closed());
        if links.len() >= self.options.max_links {
            return None;
        }
        let link = LinkHandle::open(address, self);
        links.insert(to.into(), link.clone());
        Some(link)
    }

    /// Returns the number of connections closed since the last call because a frame was not acknowledged in time.
    ///
    /// ```
    /// use hemlockford_net::{NetOptions, StreamLinks};
    /// assert_eq!(StreamLinks::on_demand(&NetOptions::fleet()).take_timeouts(), 0);
    /// ```
    pub fn take_timeouts(&self) -> u64 {
        self.timeouts.take()
    }

    /// Returns the number of links whose tasks are running.
    pub fn len(&self) -> usize {
        self.links.borrow().values().filter(|link| !link.tx.is_closed()).count()
    }

    /// Returns whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
