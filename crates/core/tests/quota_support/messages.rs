//! Exchange of messages between entries and replicas.

use {
    super::{World, world::Event},
    hemlockford_core::quota::{CreditRequest, CreditResponse},
    rand::RngExt,
    std::time::Duration,
};

/// Time after which an entry asks another replica for the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(250);

impl World {
    pub(super) fn send_request(&mut self, index: usize, request: CreditRequest) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let since = *entry.unanswered_since.get_or_insert(now);
        if now.duration_since(since) >= LEADER_TIMEOUT {
            (entry.leader, entry.unanswered_since) = (None, Some(now));
        }
        let replica = entry.leader.unwrap_or_else(|| self.rng.random_range(0..self.replicas.len()));
        self.deliver_request(index, replica, &request);
    }

    fn deliver_request(&mut self, index: usize, replica: usize, request: &CreditRequest) {
        self.count(postcard::to_stdvec(request).map_or(0, |bytes| bytes.len()));
        if !self.has_path(index, replica) {
            return;
        }
        let incarnation = self.entries[index].incarnation;
        for delay in self.network.deliver(&mut self.rng) {
            let request = request.clone();
            self.schedule(self.now + delay, Event::Request { replica, entry: index, incarnation, request });
        }
    }

    fn has_path(&self, entry: usize, replica: usize) -> bool {
        let entry = &self.entries[entry];
        !entry.is_cut && entry.side.is_none_or(|side| side == self.replicas[replica].side)
    }

    pub(super) fn answer(&mut self, replica: usize, entry: usize, incarnation: u64, request: &CreditRequest) {
        let now = self.now;
        if !self.replicas[replica].is_alive || !self.has_path(entry, replica) {
            return;
        }
        if let Some(until) = self.replicas[replica].frozen_until.filter(|until| now < *until) {
            let request = request.clone();
            return self.schedule(until, Event::Request { replica, entry, incarnation, request });
        }
        let name = self.entries[entry].name.clone();
        let state = &mut self.replicas[replica];
        let response = match &mut state.pool {
            Some(pool) => pool.handle(now, &name, incarnation, request),
            None => {
                let leader = state.leader.map(|leader| format!("r{leader}").into());
                Some(CreditResponse { echo: request.number, leader, session: 0, entries: 0, customers: Vec::new() })
            }
        };
        let Some(response) = response else { return };
        self.count(postcard::to_stdvec(&response).map_or(0, |bytes| bytes.len()));
        for delay in self.network.deliver(&mut self.rng) {
            let response = response.clone();
            self.schedule(now + delay, Event::Response { entry, incarnation, replica, response });
        }
    }

    pub(super) fn receive(&mut self, index: usize, incarnation: u64, replica: usize, response: CreditResponse) {
        if let Some(at) = self.thawed_at(index) {
            return self.schedule(at, Event::Response { entry: index, incarnation, replica, response });
        }
        if !self.has_path(index, replica) {
            return;
        }
        let now = self.now;
        let from = self.replicas[replica].name.clone();
        let entry = &mut self.entries[index];
        let Some(holder) = entry.holder.as_mut().filter(|_| entry.incarnation == incarnation) else { return };
        if response.session == 0 {
            let names = self.replicas.iter().map(|replica| &replica.name);
            entry.leader = names.enumerate().find(|(_, name)| Some(*name) == response.leader.as_ref()).map(|(i, _)| i);
        } else {
            (entry.leader, entry.unanswered_since) = (Some(replica), None);
        }
        holder.receive(now, &from, &response, &mut Vec::new());
        self.admit_waiting(index);
        self.plan_wake(index);
    }
}
