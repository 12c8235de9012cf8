//! Invariants that are checked after every step.

use {
    super::{World, ms},
    hemlockford_core::{collections::FastSet, dispatch::ServerView, ids::ServiceId},
    std::time::Duration,
};

/// Time limit within which every connected entry must apply a departure.
const DEPARTURE_LIMIT: Duration = Duration::from_secs(2);
/// Time without faults after which a machine counts as connected.
const CONNECTED_AFTER: Duration = Duration::from_secs(3);
/// Time after its last acknowledged announcement during which no entry may drop a server.
const MIN_RETENTION: Duration = Duration::from_secs(3);

/// Log and violations of the invariants that are checked after every step.
#[derive(Debug, Default)]
pub struct Checks {
    /// Log lines with time and machine, printed when a test fails.
    pub logs: Vec<(Duration, Box<str>, String)>,
    /// Acknowledged departures: server, incarnation and time.
    pub departures: Vec<(Box<str>, u64, Duration)>,
    /// Whether violations are collected instead of failing the test, for tests that break an invariant on purpose.
    pub collect_violations: bool,
    /// Data centres for which an order was ever sent, whose servers entries may drop.
    pub ordered: FastSet<Box<str>>,
    pub violations: Vec<String>,
}

impl Checks {
    pub fn log(&mut self, now: Duration, machine: &str, line: String) {
        self.logs.push((now, machine.into(), line));
    }
}

impl World {
    pub(super) fn report_violation(&mut self, what: String) {
        if self.checks.collect_violations {
            return self.checks.violations.push(what);
        }
        for (at, machine, line) in &self.checks.logs {
            println!("{at:?} {machine}: {line}");
        }
        panic!("seed {} at {:?}: {what}", self.seed, self.now);
    }

    /// Records an acknowledged departure.
    pub fn departed(&mut self, server: &str, incarnation: u64) {
        self.checks.departures.push((server.into(), incarnation, self.now));
    }

    pub(super) fn check(&mut self) {
        let due: Vec<_> =
            self.checks.departures.iter().filter(|(.., at)| self.now >= *at + DEPARTURE_LIMIT).cloned().collect();
        for (server, incarnation, at) in due {
            let holds = |entry: &&super::Entry| {
                entry.view(&server).is_some_and(|view| self.incarnation_of(view) == Some(incarnation))
            };
            let late: Vec<_> = (0..self.entries.len())
                .filter(|index| self.is_connected(*index) && holds(&&self.entries[*index]))
                .collect();
            for index in late {
                let name = self.entries[index].name.clone();
                self.report_violation(format!("{name} holds {server}, whose departure was acknowledged at {at:?}"));
            }
        }
    }

    /// Returns the incarnation of the server in a view; incarnations of one id have different addresses.
    fn incarnation_of(&self, view: &ServerView) -> Option<u64> {
        let is_meant =
            |server: &&super::Server| server.record.server == view.id && server.record.address == view.address;
        self.servers.iter().rev().find(is_meant).map(|server| server.record.incarnation)
    }

    /// Returns whether an entry has run without faults and is connected to every running replica that is not isolated.
    pub fn is_connected(&self, index: usize) -> bool {
        let entry = &self.entries[index];
        let is_cut = |replica: &super::ReplicaNode| {
            let name = (entry.name.clone(), replica.name.clone());
            replica.replica.is_some()
                && !replica.is_isolated
                && (self.links.cuts.contains(&name) || self.links.cuts.contains(&(name.1, name.0)))
        };
        entry.link.is_some()
            && !entry.is_frozen
            && self.now >= entry.disturbed_at + CONNECTED_AFTER
            && !self.replicas.iter().any(is_cut)
    }

    pub(super) fn set_servers(&mut self, index: usize, service: ServiceId, views: Vec<ServerView>) {
        self.entries[index].updates += 1;
        self.entries[index].seen.extend(views.iter().map(|view| view.id.clone()));
        let before = self.entries[index].servers.insert(service.clone(), views).unwrap_or_default();
        let name = self.entries[index].name.clone();
        for view in before {
            let is_dropped = !self.entries[index].holds(&view.id);
            let is_live = self.servers.iter().any(|server| {
                server.record.server == view.id
                    && server.record.address == view.address
                    && server.is_alive
                    && !server.record.is_draining
                    && !server.is_deregistered
                    && !self.checks.ordered.contains(&server.record.data_centre)
                    && self.now < server.heard_at + MIN_RETENTION
                    && !self.replicas[server.replica].is_isolated
            });
            if is_dropped && is_live {
                self.report_violation(format!("{name} dropped {}, which is live", view.id));
            }
        }
        self.entries[index].servers.retain(|_, views| !views.is_empty());
    }

    /// Returns whether every running entry is ready and uses exactly the servers that are running and not leaving.
    pub fn are_entries_exact(&self) -> bool {
        let live: Vec<_> = self
            .servers
            .iter()
            .filter(|server| server.is_alive && !server.record.is_draining && !server.is_deregistered)
            .collect();
        let running = self.entries.iter().filter(|entry| entry.link.is_some() && !entry.is_frozen);
        running.into_iter().all(|entry| {
            entry.is_ready
                && entry.count() == live.len()
                && live.iter().all(|server| {
                    entry.view(&server.record.server).is_some_and(|view| view.address == server.record.address)
                })
        })
    }

    /// Returns a replica that considers itself the leader and current.
    pub fn leader(&self) -> Option<usize> {
        self.replicas.iter().position(|node| {
            !node.is_frozen && node.replica.as_ref().is_some_and(|replica| replica.is_leader() && replica.is_current())
        })
    }

    /// Starts a fleet with one change and some servers, and runs it until every entry is ready with all of them.
    pub fn settled(seed: u64, replicas: usize, entries: usize, servers: usize) -> Self {
        Self::settled_with_voters(seed, 3, replicas, entries, servers)
    }

    pub fn settled_with_voters(seed: u64, voters: usize, replicas: usize, entries: usize, servers: usize) -> Self {
        let mut world = Self::with_voters(seed, voters, replicas, entries);
        for index in 0..servers {
            world.add_server(&format!("s{index}"), "catalogue", 8_000 + index as u16);
        }
        world.run_until(ms(6_000), |world| world.leader().is_some());
        world.submit(0, &super::text(1));
        world.run_until(ms(12_000), Self::are_entries_exact);
        world.run(ms(6_000));
        world
    }
}
