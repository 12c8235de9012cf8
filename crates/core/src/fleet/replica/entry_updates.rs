//! Updates that a replica sends to entries.

use {
    super::{Replica, ReplicaAction},
    crate::{
        fleet::{FleetLogEvent, FleetMessage, Poll, PollResponse, Servers, record::is_server_name},
        ids::{Incarnation, InstanceId, ServerId},
    },
    std::time::{Duration, Instant},
};

/// Minimum time between two directory updates to entries, so that changes are batched. Departures are sent immediately.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Every n-th poll of an entry is answered with the names of other replicas.
const REPLICA_NAMES_INTERVAL: u64 = 8;
/// Maximum number of departures in a full directory; the latest are included. Entries remove these servers immediately,
/// but keep other servers that the directory lacks for some time or until a directory is complete.
const MAX_DEPARTED: usize = 256;

impl Replica {
    pub(super) fn handle_poll(
        &mut self,
        now: Instant,
        from: InstanceId,
        incarnation: Incarnation,
        poll: Poll,
        out: &mut Vec<ReplicaAction>,
    ) {
        let is_current = self.is_current() && !self.subscribers.is_full_for(&from);
        let is_complete = is_current && self.is_directory_complete();
        let (change, revision) = (self.ledger.change_number(), self.directory.revision());
        let known =
            poll.known.filter(|known| known.incarnation == self.options.incarnation && known.revision <= revision);
        let mut include_names = poll.is_probe || poll.sequence.is_multiple_of(REPLICA_NAMES_INTERVAL);
        let (mut install, mut should_send_full, mut is_subscribed) = (None, false, false);
        let mut is_new_subscriber = false;
        if !poll.is_probe
            && let Some((subscriber, is_new)) = self.subscribers.record_poll(now, &from, incarnation, &poll, known)
        {
            include_names |= is_new;
            is_new_subscriber = is_new;
            is_subscribed = true;
            if poll.change < change {
                self.recent_configs.record(change, self.ledger.config_text());
                let update = self.recent_configs.update_from(poll.change);
                install = update.filter(|update| subscriber.should_install(now, update)).cloned();
            }
            // Additional servers of an entry are only removed by a full update from a complete directory.
            let needs_full = match known {
                Some(known) => !known.is_exact && is_complete || !self.directory.has_changes_since(known.revision),
                None => true,
            };
            should_send_full = needs_full && is_current && subscriber.should_send_full(now);
        }
        if is_new_subscriber {
            self.announce_level(now, false, out);
        }
        if !poll.is_probe {
            self.relays.record(now, &from, poll.relay, true);
            self.compare_suspects(now, from.clone(), poll.suspects, out);
        }
        if is_current {
            self.depart_leaving(now, poll.leaving, out);
        }
        let response = PollResponse {
            echo: poll.sequence,
            is_current,
            is_complete,
            change,
            revision,
            entries: self.entries(now),
            position: self.position(now, &from),
            data_centre: self.options.data_centre.clone(),
            replicas: if include_names { self.replica_names(now) } else { Vec::new() },
            relays: if include_names { self.relays.sample(poll.sequence / REPLICA_NAMES_INTERVAL) } else { Vec::new() },
        };
        out.push(ReplicaAction::Send { to: from.clone(), message: FleetMessage::PollResponse(response) });
        if !is_subscribed {
            let departed = self.recent_departures.get(now);
            if !departed.is_empty() {
                let message = FleetMessage::Servers(self.departures_update(departed));
                out.push(ReplicaAction::Send { to: from, message });
            }
            return;
        }
        if let Some(update) = install {
            out.push(ReplicaAction::Send { to: from.clone(), message: FleetMessage::Install(update) });
        }
        let servers = match known {
            _ if should_send_full => Some(self.full_update(now, poll.sequence)),
            Some(known) if known.revision < revision => self.delta_update(now, known.revision),
            _ => None,
        };
        if let Some(servers) = servers {
            self.send_servers(from, servers, out);
        }
    }

    /// Sends entries a new change, and the changes of the directory unless an update was sent a short time ago.
    pub(super) fn publish_to_entries(&mut self, now: Instant, out: &mut Vec<ReplicaAction>) {
        let change = self.ledger.change_number();
        if change > self.published_change {
            self.published_change = change;
            out.push(ReplicaAction::Log(FleetLogEvent::ChangeCommitted(change)));
            self.recent_configs.record(change, self.ledger.config_text());
            for (to, subscriber) in self.subscribers.iter_mut() {
                let Some(update) = self.recent_configs.update_from(subscriber.expected_change()) else { continue };
                if subscriber.should_install(now, update) {
                    let message = FleetMessage::Install(update.clone());
                    out.push(ReplicaAction::Send { to: to.clone(), message });
                }
            }
        }
        let revision = self.directory.revision();
        let is_due = self.publish_immediately || now.saturating_duration_since(self.published_at) >= PUBLISH_INTERVAL;
        if revision == self.published_revision || !is_due {
            return;
        }
        (self.published_revision, self.published_at, self.publish_immediately) = (revision, now, false);
        let outdated =
            self.subscribers.iter_mut().filter_map(|(to, subscriber)| Some((to.clone(), subscriber.revision?)));
        let outdated: Vec<_> = outdated.filter(|(_, known)| *known < revision).collect();
        let mut previous: Option<(u64, Servers)> = None;
        for (to, known) in outdated {
            let delta = match previous.take() {
                Some((from, delta)) if from == known => Some(delta),
                _ => self.delta_update(now, known),
            };
            if let Some(delta) = delta {
                previous = Some((known, delta.clone()));
                self.send_servers(to, delta, out);
            }
        }
    }

    fn send_servers(&mut self, to: InstanceId, servers: Servers, out: &mut Vec<ReplicaAction>) {
        self.subscribers.set_revision(&to, servers.to);
        out.push(ReplicaAction::Send { to, message: FleetMessage::Servers(servers) });
    }

    fn full_update(&self, now: Instant, echo: u64) -> Servers {
        let departures = self.ledger.departures().into_iter();
        let departed = departures.filter(|(server, _)| is_server_name(server)).take(MAX_DEPARTED);
        Servers {
            from: None,
            to: self.directory.revision(),
            echo: Some(echo),
            is_current: self.is_current(),
            is_complete: self.is_directory_complete(),
            usable: self.directory.usable_servers(now, self.max_record_age()),
            removed: Vec::new(),
            departed: departed.map(|(server, incarnation)| (server.clone(), incarnation)).collect(),
        }
    }

    /// Returns the time without an announcement after which a server is not sent to entries. While the directory is
    /// incomplete, this replica may have been frozen and not know yet which servers have left.
    fn max_record_age(&self) -> Duration {
        if self.is_directory_complete() { Duration::MAX } else { self.options.server_timeout }
    }

    /// Returns an update that contains only departures.
    fn departures_update(&self, departed: Vec<(ServerId, u64)>) -> Servers {
        let revision = self.directory.revision();
        Servers {
            from: Some(revision),
            to: revision,
            echo: None,
            is_current: self.is_current(),
            is_complete: self.is_directory_complete(),
            usable: Vec::new(),
            removed: Vec::new(),
            departed,
        }
    }

    fn delta_update(&self, now: Instant, from: u64) -> Option<Servers> {
        let (usable, removed) = self.directory.changes_since(now, from, self.max_record_age())?;
        let departed = |server: &ServerId| Some((server.clone(), self.ledger.departed_incarnation(server)?));
        Some(Servers {
            from: Some(from),
            to: self.directory.revision(),
            echo: None,
            is_current: self.is_current(),
            is_complete: self.is_directory_complete(),
            departed: removed.iter().filter_map(departed).collect(),
            usable,
            removed,
        })
    }
}
