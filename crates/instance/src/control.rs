//! The task that owns servers and the text.

use {
    hemlockford_core::{
        collections::FastMap,
        dispatch::{DispatchEvent, ServerState, ServerView},
        ids::{ServerId, ServiceId},
        registry::{Announcement, SERVER_LEASE},
        text::{Fault, Text},
    },
    std::{sync::Arc, time::Instant},
    tokio::sync::{mpsc, oneshot, watch},
};

/// A message to the control task.
pub(crate) enum ControlMessage {
    Announce(Announcement),
    Submit(Box<str>, oneshot::Sender<Result<u64, Vec<Fault>>>),
}

/// Keeps servers and the text, and tells the dispatcher and the workers.
pub(crate) struct ControlTask {
    pub(crate) rx: mpsc::UnboundedReceiver<ControlMessage>,
    pub(crate) dispatcher: mpsc::UnboundedSender<DispatchEvent>,
    pub(crate) text: watch::Sender<Arc<Text>>,
    pub(crate) servers: FastMap<ServiceId, FastMap<ServerId, ServerView>>,
}

impl ControlTask {
    pub(crate) async fn run(mut self) {
        while let Some(message) = self.rx.recv().await {
            match message {
                ControlMessage::Announce(announcement) => self.announce(announcement),
                ControlMessage::Submit(source, reply) => {
                    let _ = reply.send(self.submit(&source));
                }
            }
        }
    }

    fn announce(&mut self, announcement: Announcement) {
        let now = Instant::now();
        let servers = self.servers.entry(announcement.service.clone()).or_default();
        let known = servers.get(&announcement.server);
        let ready_since = known.filter(|known| known.state == ServerState::Ready).map(|known| known.ready_since);
        let view = ServerView {
            id: announcement.server.clone(),
            address: announcement.address,
            data_centre: announcement.data_centre,
            slots: announcement.slots,
            connections: announcement.connections,
            state: announcement.state,
            lease_end: now + SERVER_LEASE,
            ready_since: ready_since.unwrap_or(now),
        };
        servers.insert(announcement.server, view);
        let views = servers.values().cloned().collect();
        let _ = self.dispatcher.send(DispatchEvent::Servers(announcement.service, views));
    }

    fn submit(&mut self, source: &str) -> Result<u64, Vec<Fault>> {
        let text = Arc::new(Text::parse(source)?);
        let _ = self.dispatcher.send(DispatchEvent::Configure(text.clone()));
        let number = text.number;
        self.text.send_replace(text);
        Ok(number)
    }
}
