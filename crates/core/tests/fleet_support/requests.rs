//! Requests of servers and operators.

use {
    super::{
        Server, World, ms,
        server::{ANNOUNCE_INTERVAL, CALL_TIMEOUT},
        world::{Call, Step},
    },
    hemlockford_core::fleet::{Arrival, ReplicaAnswer, ReplicaEvent, check_submission},
    rand::RngExt,
};

impl World {
    /// Adds a server that starts to announce itself.
    pub fn add_server(&mut self, id: &str, service: &str, port: u16) -> usize {
        let index = self.servers.len();
        let address = format!("10.0.0.1:{port}").parse().expect("address");
        let data_centre = format!("d{}", index % 3);
        let incarnation = self.wall_ms();
        self.servers.push(Server::new(id, service, address, &data_centre, incarnation));
        self.servers[index].replica = index % self.replicas.len();
        let start = self.now + ms(self.rng.random_range(0..200));
        self.schedule(start, Step::Announce { server: index, announcement: 0 });
        index
    }

    /// Makes a server announce itself now, and periodically from then on.
    pub fn announce(&mut self, index: usize) {
        let call = self.next_id();
        let wall_ms = self.wall_ms();
        let server = &mut self.servers[index];
        server.record.sequence += 1;
        server.announcement += 1;
        server.call = Some(call);
        let (record, replica, announcement) = (server.record.clone(), server.replica, server.announcement);
        self.calls
            .insert(call, Call { server: index, incarnation: record.incarnation, is_draining: record.is_draining });
        self.schedule(self.now + CALL_TIMEOUT, Step::CallTimeout { server: index, call });
        self.schedule(self.now + ANNOUNCE_INTERVAL, Step::Announce { server: index, announcement });
        if !self.links.cuts.contains(&(record.server.clone(), self.replicas[replica].name.clone())) {
            self.replica_event(replica, ReplicaEvent::Announce { id: call, record, wall_ms });
        }
    }

    /// Makes a server announce to a replica that it is draining.
    pub fn drain(&mut self, index: usize, replica: usize) {
        self.servers[index].record.is_draining = true;
        self.servers[index].replica = replica;
        self.announce(index);
    }

    /// Restarts a server with its old id at another port.
    pub fn restart_server(&mut self, index: usize, port: u16) {
        let (wall_ms, now) = (self.wall_ms(), self.now);
        let server = &mut self.servers[index];
        server.record.incarnation = wall_ms;
        server.record.sequence = 0;
        server.record.is_draining = false;
        server.record.address.set_port(port);
        server.announcement += 1;
        (server.is_alive, server.is_deregistered, server.call) = (true, false, None);
        (server.acknowledged_at, server.acknowledged_by) = (None, None);
        let announcement = server.announcement;
        self.schedule(now, Step::Announce { server: index, announcement });
    }

    pub(super) fn answered(&mut self, replica: usize, id: u64, answer: ReplicaAnswer) {
        if let Some(call) = self.calls.remove(&id) {
            let server = &mut self.servers[call.server];
            if server.call == Some(id) && answer == ReplicaAnswer::Acknowledged {
                server.call = None;
                // Announcements to an isolated replica are not known to the rest of the fleet.
                if !self.replicas[replica].is_isolated {
                    server.heard_at = self.now;
                }
            }
            let is_first = server.acknowledged_at.is_none() && server.record.incarnation == call.incarnation;
            if call.is_draining && is_first && answer == ReplicaAnswer::Acknowledged {
                (server.acknowledged_at, server.acknowledged_by) = (Some(self.now), Some(replica));
                let (name, incarnation) = (server.record.server.clone(), server.record.incarnation);
                self.departed(&name, incarnation);
            }
        }
        let earlier = self.answers.insert(id, (self.now, answer));
        assert!(earlier.is_none(), "seed {}: request {id} was answered twice", self.seed);
    }

    pub fn submit(&mut self, replica: usize, text: &str) -> u64 {
        let id = self.next_id();
        match check_submission(text.into()) {
            Ok(config) => self.replica_event(replica, ReplicaEvent::Submit { id, config }),
            Err(answer) => self.answered(replica, id, answer),
        }
        id
    }

    /// Orders that the servers of a data centre get no calls, or withdraws such an order, on a new connection.
    pub fn evacuate(&mut self, replica: usize, data_centre: &str, is_active: bool) -> u64 {
        let arrival = Arrival::Accepted(self.at());
        self.evacuate_with(replica, data_centre, is_active, arrival)
    }

    pub fn evacuate_with(&mut self, replica: usize, data_centre: &str, is_active: bool, arrival: Arrival) -> u64 {
        let (id, wall_ms) = (self.next_id(), self.wall_ms());
        self.checks.ordered.insert(data_centre.into());
        let event = ReplicaEvent::Evacuate { id, data_centre: data_centre.into(), is_active, arrival, wall_ms };
        self.replica_event(replica, event);
        id
    }

    pub fn read(&mut self, replica: usize) -> u64 {
        let id = self.next_id();
        self.replica_event(replica, ReplicaEvent::Read { id });
        id
    }

    pub fn deregister(&mut self, replica: usize, server: &str, incarnation: Option<u64>) -> u64 {
        let (id, wall_ms) = (self.next_id(), self.wall_ms());
        self.replica_event(replica, ReplicaEvent::Depart { id, server: server.into(), incarnation, wall_ms });
        id
    }
}
