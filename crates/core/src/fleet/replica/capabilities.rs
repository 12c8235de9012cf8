//! Which configurations and commands the instances of the fleet read.

use {
    super::{Replica, ReplicaAction},
    crate::{
        collections::FastMap,
        config::{FORMER_LEVEL, LEVEL, required_level},
        fleet::{FleetLogEvent, FleetMessage},
        ids::{ChangeNumber, Incarnation, InstanceId},
    },
    std::time::{Duration, Instant},
};

/// Maximum number of instances whose statements are kept: the entries that one replica serves and the replicas.
const MAX_STATEMENTS: usize = 2_048;
/// Time after which the statement of an instance is dropped that is neither a known replica nor polls this one.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(10);

/// Number of batches with which a new level is sent again. If its only datagram is lost, the leader would go by the level
/// before until the next status request, which cannot be answered if this replica is cut off meanwhile.
const REPETITIONS: u32 = 4;

/// What an instance stated.
#[derive(Clone, Copy, Debug)]
struct Statement {
    incarnation: Incarnation,
    level: u32,
    stated_at: Instant,
}

/// Statements of the other instances, and what was made of them.
#[derive(Debug, Default)]
pub(super) struct Capabilities {
    statements: FastMap<InstanceId, Statement>,
    /// Level that this replica last stated to the others.
    announced: Option<u32>,
    /// Number of batches with which that level is still sent again.
    repetitions: u32,
    /// Instances that were logged as missing.
    logged: Option<Box<str>>,
    /// The change whose text was last looked through, and the level that it needs.
    checked: (ChangeNumber, u32),
}

impl Capabilities {
    pub(super) fn record(&mut self, now: Instant, from: InstanceId, incarnation: Incarnation, level: u32) {
        let known = self.statements.get(&from);
        let is_outdated = known.is_some_and(|known| incarnation < known.incarnation);
        if !is_outdated && (known.is_some() || self.statements.len() < MAX_STATEMENTS) {
            self.statements.insert(from, Statement { incarnation, level, stated_at: now });
        }
    }

    /// Returns the level that a process of an instance stated.
    fn level(&self, name: &InstanceId, incarnation: Incarnation) -> u32 {
        let stated = self.statements.get(name).filter(|statement| statement.incarnation == incarnation);
        stated.map_or(FORMER_LEVEL, |statement| statement.level)
    }

    fn remove_inactive(&mut self, now: Instant, is_known: impl Fn(&InstanceId) -> bool) {
        let is_recent = |statement: &Statement| now.saturating_duration_since(statement.stated_at) < STATEMENT_LIFETIME;
        self.statements.retain(|name, statement| is_recent(statement) || is_known(name));
    }
}

impl Replica {
    pub(super) fn remove_inactive_statements(&mut self, now: Instant) {
        let (peers, subscribers) = (&self.peers, &self.subscribers);
        self.capabilities.remove_inactive(now, |name| peers.contains(name) || subscribers.contains(name));
    }

    /// Returns the lowest level of this replica and the entries that poll it.
    pub(super) fn own_level(&self, now: Instant) -> u32 {
        let entries = self.subscribers.live(now);
        entries.map(|(name, incarnation)| self.capabilities.level(name, incarnation)).fold(LEVEL, u32::min)
    }

    /// Tells the other replicas the level of this one and its entries if it has changed. A level below that of this
    /// version is repeated with each batch, as the leader may not go by a higher one if a message is lost; another one is
    /// repeated a few times.
    pub(super) fn announce_level(&mut self, now: Instant, is_batch: bool, out: &mut Vec<ReplicaAction>) {
        let level = self.own_level(now);
        if self.capabilities.announced != Some(level) || level < LEVEL {
            self.capabilities.repetitions = REPETITIONS + 1;
        }
        let is_repeated = is_batch && self.capabilities.repetitions > 0;
        if is_repeated {
            self.capabilities.repetitions -= 1;
        }
        if self.capabilities.announced != Some(level) || is_repeated {
            self.capabilities.announced = Some(level);
            let message = FleetMessage::Capabilities { level };
            out.extend(self.peers.names().map(|to| ReplicaAction::Send { to: to.clone(), message: message.clone() }));
        }
    }

    /// Returns whether the leader may propose what only instances of a level read. If not, those that do not state the
    /// level are logged, and the replicas among them are asked for their status, with which they state it.
    pub(super) fn may_propose(&mut self, now: Instant, level: u32, out: &mut Vec<ReplicaAction>) -> bool {
        if level <= FORMER_LEVEL || self.ledger_level() >= level {
            return true;
        }
        let missing = self.missing(now, level);
        if missing.is_empty() {
            if self.capabilities.logged.take().is_some() {
                out.push(ReplicaAction::Log(FleetLogEvent::CapabilitiesComplete));
            }
            return true;
        }
        let instances: Box<str> = missing.join(", ").into();
        if self.capabilities.logged.as_ref() != Some(&instances) {
            self.capabilities.logged = Some(instances.clone());
            out.push(ReplicaAction::Log(FleetLogEvent::CapabilitiesMissing { level, instances }));
        }
        for name in missing.into_iter().filter(|name| self.peers.contains(name)).collect::<Vec<_>>() {
            self.send_status_request(now, name, false, out);
        }
        false
    }

    /// Returns the level that an instance needs to read what is in the ledger. All that were there when it was recorded
    /// read it.
    fn ledger_level(&mut self) -> u32 {
        if self.ledger.has_evacuations() {
            return LEVEL;
        }
        let number = self.ledger.change_number();
        if self.capabilities.checked.0 != number {
            self.capabilities.checked = (number, required_level(self.ledger.config_text()));
        }
        self.capabilities.checked.1
    }

    /// Returns the instances that do not state a level: voters, other replicas that were heard, and entries that poll
    /// this replica. A replica states the level of the entries that poll it too.
    fn missing(&self, now: Instant, level: u32) -> Vec<InstanceId> {
        let is_missing =
            |name: &InstanceId, incarnation: Incarnation| self.capabilities.level(name, incarnation) < level;
        let voters = self.consensus.voters().filter(|name| **name != self.options.id);
        let replicas = voters.chain(self.peers.heard()).map(|name| (name, self.peers.incarnation(name)));
        let instances = replicas.chain(self.subscribers.live(now));
        let missing = instances.filter(|(name, incarnation)| is_missing(name, *incarnation));
        let mut missing: Vec<_> = missing.map(|(name, _)| name.clone()).collect();
        missing.sort_unstable();
        missing.dedup();
        missing
    }
}
