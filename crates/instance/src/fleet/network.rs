//! Sending and receiving of messages between instances of a fleet.

use {
    crate::counters::Counters,
    hemlockford_core::{
        collections::FastSet,
        errors::{ErrorKind, Result},
        fleet::FleetMessage,
        ids::{Incarnation, InstanceId},
    },
    hemlockford_net::{DatagramSocket, Envelope, NetOptions, StreamLinks, StreamListener, UnreadableFrame},
    slog::{Logger, warn},
    std::net::{SocketAddr, TcpListener, UdpSocket},
    tokio::sync::mpsc,
};

/// Maximum number of connections from other instances. With 300 entries and 7 replicas, each replica has about 50.
const MAX_CONNECTIONS: usize = 1_024;

/// Maximum number of instances whose first unreadable message is logged.
const MAX_LOGGED_PEERS: usize = 256;

/// Maximum number of malformed datagrams that are logged; all are counted.
const MAX_LOGGED_DATAGRAMS: usize = 16;

/// Sends messages to other instances. The name of an instance is its address.
pub(super) struct Network {
    id: InstanceId,
    incarnation: Incarnation,
    socket: DatagramSocket,
    links: StreamLinks,
    counters: Counters,
}

impl Network {
    /// Starts the tasks that receive messages on these sockets and pass them to `received`.
    pub(super) fn start(
        (listen, datagrams): (TcpListener, UdpSocket),
        (id, incarnation): (InstanceId, Incarnation),
        counters: Counters,
        received: mpsc::UnboundedSender<(Envelope<FleetMessage>, usize)>,
        log: Logger,
    ) -> Result<Self> {
        let options = NetOptions { max_connections: MAX_CONNECTIONS, ..NetOptions::fleet() };
        let socket = DatagramSocket::new(datagrams)?;
        let (unreadable_tx, unreadable_rx) = mpsc::unbounded_channel();
        let listener = StreamListener::new(listen, options.clone())?.with_unreadable(unreadable_tx);
        actix_rt::spawn(listener.run(received.clone()));
        actix_rt::spawn(report_unreadable(unreadable_rx, counters.clone(), log.clone()));
        actix_rt::spawn(receive(socket.clone(), received, counters.clone(), log));
        Ok(Self { id, incarnation, socket, links: StreamLinks::on_demand(&options), counters })
    }

    /// Sends a message, as a datagram if it fits into one. The message may be lost in either case.
    pub(super) fn send(&self, to: &str, message: FleetMessage) {
        let is_small = message.fits_datagram();
        let envelope = Envelope { from: self.id.clone(), incarnation: self.incarnation, message };
        let Ok(address) = to.parse::<SocketAddr>() else { return };
        let sent = if is_small { self.socket.send(address, &envelope) } else { self.links.send(to, &envelope) };
        self.counters.link_timeouts.inc_by(self.links.take_timeouts());
        self.counters.count_message(if is_small { "udp" } else { "tcp" }, "sent", "fleet", sent.unwrap_or_default());
    }
}

/// Counts the messages that cannot be read, and logs the first one from each instance.
async fn report_unreadable(mut unreadable: mpsc::UnboundedReceiver<UnreadableFrame>, counters: Counters, log: Logger) {
    let mut logged = FastSet::default();
    while let Some(UnreadableFrame { peer, bytes, reason }) = unreadable.recv().await {
        counters.unreadable_messages.inc();
        if logged.len() < MAX_LOGGED_PEERS && logged.insert(peer.ip()) {
            warn!(log, "message from another instance cannot be read and is skipped; is its version another one?";
                "peer" => %peer, "bytes" => bytes, "reason" => &*reason);
        }
    }
}

async fn receive(
    socket: DatagramSocket,
    received: mpsc::UnboundedSender<(Envelope<FleetMessage>, usize)>,
    counters: Counters,
    log: Logger,
) {
    let mut logged = 0;
    while !received.is_closed() {
        match socket.receive().await {
            // Without a receiver the process is stopping.
            Ok(message) => drop(received.send(message)),
            Err(report) if *report.current_context() == ErrorKind::Corrupt => {
                counters.malformed_datagrams.inc();
                if logged < MAX_LOGGED_DATAGRAMS {
                    logged += 1;
                    warn!(log, "datagram cannot be read and is dropped"; "reason" => format!("{report:?}"));
                }
            }
            // The socket reports here that an earlier datagram went to an instance that is down; it remains usable.
            Err(_) => actix_rt::task::yield_now().await,
        }
    }
}
