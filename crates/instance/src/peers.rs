//! Sending and receiving of messages between instances.

use {
    crate::{control::ControlMessage, counters::Counters, instance_message::InstanceMessage, settings::Peer},
    hemlockford_core::{
        collections::{FastMap, FastSet},
        control::PeerMessage,
        dispatch::DispatchEvent,
        errors::ErrorKind,
        ids::{Incarnation, InstanceId},
        slots::SlotMessage,
    },
    hemlockford_net::{DatagramSocket, Envelope, StreamLinks},
    std::net::SocketAddr,
    tokio::sync::mpsc,
};

/// Sends messages to other instances over UDP.
#[derive(Clone, Debug)]
pub(crate) struct DatagramSender {
    socket: DatagramSocket,
    addresses: FastMap<InstanceId, SocketAddr>,
    id: InstanceId,
    incarnation: Incarnation,
    counters: Counters,
}

impl DatagramSender {
    pub(crate) fn new(
        socket: DatagramSocket,
        peers: &[Peer],
        id: InstanceId,
        incarnation: Incarnation,
        counters: Counters,
    ) -> Self {
        let addresses = peers.iter().map(|peer| (peer.id.clone(), peer.address)).collect();
        Self { socket, addresses, id, incarnation, counters }
    }

    pub(crate) fn envelope(&self, message: InstanceMessage) -> Envelope<InstanceMessage> {
        Envelope { from: self.id.clone(), incarnation: self.incarnation, message }
    }

    pub(crate) fn send(&self, to: &str, message: InstanceMessage) {
        let Some(address) = self.addresses.get(to) else { return };
        let kind = message_kind(&message);
        // The state machines limit the size of their datagrams; one that is too long is dropped and counted as 0 bytes.
        let bytes = self.socket.send(*address, &self.envelope(message)).unwrap_or_default();
        self.counters.count_message("udp", "sent", kind, bytes);
    }
}

/// Sends messages to other instances over TCP.
pub(crate) struct StreamSender {
    pub(crate) links: StreamLinks,
    pub(crate) datagrams: DatagramSender,
    pub(crate) counters: Counters,
}

impl StreamSender {
    pub(crate) fn send(&self, to: &str, message: InstanceMessage) {
        let kind = message_kind(&message);
        let bytes = self.links.send(to, &self.datagrams.envelope(message)).unwrap_or_default();
        self.counters.count_message("tcp", "sent", kind, bytes);
    }
}

/// Passes received messages to the control task or the dispatcher task.
#[derive(Clone)]
pub(crate) struct Receiver {
    pub(crate) known_instances: FastSet<InstanceId>,
    pub(crate) control: mpsc::UnboundedSender<ControlMessage>,
    pub(crate) dispatcher: mpsc::UnboundedSender<DispatchEvent>,
    pub(crate) counters: Counters,
}

impl Receiver {
    /// Receives datagrams until the control task has ended.
    pub(crate) async fn receive_datagrams(self, socket: DatagramSocket) {
        while !self.control.is_closed() {
            match socket.receive().await {
                Ok((envelope, bytes)) => self.deliver(envelope, bytes, "udp"),
                Err(report) if *report.current_context() == ErrorKind::Corrupt => {
                    self.counters.malformed_datagrams.inc()
                }
                // The socket reports here that an earlier datagram went to a peer that is down; it remains usable.
                Err(_) => actix_rt::task::yield_now().await,
            }
        }
    }

    /// Passes on the messages received over TCP.
    pub(crate) async fn receive_streams(self, mut rx: mpsc::UnboundedReceiver<(Envelope<InstanceMessage>, usize)>) {
        while let Some((envelope, bytes)) = rx.recv().await {
            self.deliver(envelope, bytes, "tcp");
        }
    }

    fn deliver(&self, envelope: Envelope<InstanceMessage>, bytes: usize, transport: &str) {
        let Envelope { from, message, .. } = envelope;
        if !self.known_instances.contains(&from) {
            self.counters.unknown_senders.inc();
            return;
        }
        self.counters.count_message(transport, "received", message_kind(&message), bytes);
        // A closed channel means that the process is stopping.
        match message {
            InstanceMessage::Slots(message) => drop(self.dispatcher.send(DispatchEvent::PeerMessage { from, message })),
            InstanceMessage::Control(message) => drop(self.control.send(ControlMessage::Receive { from, message })),
        }
    }
}

/// Returns the value of the label `kind` for a message.
fn message_kind(message: &InstanceMessage) -> &'static str {
    match message {
        InstanceMessage::Slots(SlotMessage::Renew(_) | SlotMessage::Update(..)) => "slots",
        InstanceMessage::Control(PeerMessage::Heartbeat(_)) => "heartbeat",
        InstanceMessage::Control(PeerMessage::Relay { .. } | PeerMessage::Ask { .. }) => "servers",
        InstanceMessage::Control(PeerMessage::Consensus(_)) => "consensus",
        InstanceMessage::Control(PeerMessage::Request { .. } | PeerMessage::Reply { .. }) => "request",
        InstanceMessage::Control(PeerMessage::Install { .. } | PeerMessage::Fetch { .. }) => "change",
    }
}
