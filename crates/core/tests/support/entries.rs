//! Stopping of entries, and updates of their servers and peers.

use {
    super::{Cluster, SERVICE, cluster::FAR_FUTURE},
    hemlockford_core::dispatch::{DispatchEvent, ServerState, ServerView},
    std::time::Duration,
};

impl Cluster {
    /// Kills an entry; its calls at the servers end immediately.
    pub fn kill(&mut self, entry: usize) {
        self.entries[entry] = None;
        self.end_probes(entry);
        let lost: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, record)| record.entry == entry && record.ended_at.is_none())
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            for server in 0..self.servers.len() {
                if self.servers[server].remove(call) {
                    self.start_queued_calls(server);
                }
            }
            self.calls.remove(&call);
        }
    }

    pub fn set_peers(&mut self, entry: usize, peers: &[usize]) {
        let peers = peers.iter().map(|peer| Self::name(*peer)).collect();
        self.handle(entry, DispatchEvent::Peers(peers));
    }

    pub fn send_server_list(&mut self, entry: usize) {
        let views = (0..self.servers.len()).map(|server| self.view(server)).collect();
        self.handle(entry, DispatchEvent::Servers(SERVICE.into(), views));
    }

    pub fn view(&self, server: usize) -> ServerView {
        ServerView {
            id: self.servers[server].id.clone(),
            incarnation: 1,
            address: ([127, 0, 0, 1], 9_000 + server as u16).into(),
            data_centre: "".into(),
            slots: self.servers[server].slots as u32,
            connections: 250,
            state: ServerState::Ready,
            lease_end: self.base + FAR_FUTURE,
            warm_at: self.base,
            ready_since: self.base.checked_sub(Duration::from_secs(60)).unwrap_or(self.base),
        }
    }
}
