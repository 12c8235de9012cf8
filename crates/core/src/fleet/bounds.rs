//! Size limits of received messages.
//!
//! A list item that exceeds a limit is dropped, not the message that carries it. Otherwise a single item in the state of
//! the sender would make the receiver ignore every message with that state.

use {
    super::{BoundedPart, FleetLogEvent, FleetMessage, MAX_NAME_BYTES, OutOfBounds, ReplicaName, Reply, Request},
    crate::{
        config::MAX_CONFIG_BYTES, dispatch::RelayAddress, ids::InstanceId, quarantine::MAX_RECORDS,
        quota::MAX_LISTED_CUSTOMERS,
    },
};

/// Maximum number of leaving servers in one poll.
pub(super) const MAX_LEAVING: usize = 16;
/// Maximum number of replicas in one message.
pub(super) const MAX_REPLICAS: usize = 64;
/// Maximum number of entries that take relayed calls in a message.
const MAX_RELAYS: usize = 16;
/// Maximum number of crashes of one suspected request in a message.
const MAX_CRASHES: usize = 16;
/// Maximum number of servers in one message: a full directory of records of minimum length.
const MAX_SERVERS: usize = 16 * 1024;

/// Limits one received message.
#[derive(Debug, Default)]
pub(super) struct Bounds {
    /// The first part that exceeded a limit.
    first: Option<OutOfBounds>,
    /// Number of parts that exceeded a limit.
    count: usize,
    must_drop: bool,
}

impl Bounds {
    /// Removes the parts of a message that exceed a limit. Returns no message if it must be dropped, and the event to
    /// log if there was such a part.
    pub(super) fn apply(from: &InstanceId, mut message: FleetMessage) -> (Option<FleetMessage>, Option<FleetLogEvent>) {
        let mut bounds = Self::default();
        bounds.limit(&mut message);
        let event = bounds.first.map(|first| FleetLogEvent::OutOfBounds {
            from: from.clone(),
            first: OutOfBounds { is_message_dropped: bounds.must_drop, ..first },
            count: bounds.count,
        });
        ((!bounds.must_drop).then_some(message), event)
    }

    fn limit(&mut self, message: &mut FleetMessage) {
        match message {
            FleetMessage::Poll(poll) => {
                self.retain(&mut poll.leaving, MAX_LEAVING, |(server, _)| server_name(server));
            }
            FleetMessage::Consensus(_) | FleetMessage::Outdated(_) | FleetMessage::Capabilities { .. } => {}
            FleetMessage::PollResponse(response) => {
                self.replicas(&mut response.replicas);
                self.data_centre(&mut response.data_centre);
                self.relays(&mut response.relays);
            }
            FleetMessage::Install(update) => self.require(BoundedPart::Configuration, update.size(), MAX_CONFIG_BYTES),
            FleetMessage::Servers(servers) => {
                // A part of a list must not be taken for all of it.
                for length in [servers.usable.len(), servers.removed.len(), servers.departed.len()] {
                    self.require(BoundedPart::List, length, MAX_SERVERS);
                }
                self.retain(&mut servers.usable, MAX_SERVERS, |usable| {
                    server_name(&usable.server).or_else(|| name(BoundedPart::ServiceName, &usable.service))
                });
                self.retain(&mut servers.removed, MAX_SERVERS, |server| server_name(server));
                self.retain(&mut servers.departed, MAX_SERVERS, |(server, _)| server_name(server));
            }
            FleetMessage::StatusRequest(request) => self.data_centre(&mut request.data_centre),
            FleetMessage::StatusResponse(response) => {
                self.replicas(&mut response.replicas);
                self.data_centre(&mut response.data_centre);
                let records = response.records.as_ref().map_or(0, Vec::len);
                self.require(BoundedPart::List, records, MAX_SERVERS);
            }
            FleetMessage::Suspects(suspects) => {
                self.retain(&mut suspects.records, MAX_RECORDS, |record| {
                    out_of_bounds(BoundedPart::List, record.crashes.len(), MAX_CRASHES)
                });
            }
            FleetMessage::CreditRequest(request) => {
                self.retain(&mut request.customers, MAX_LISTED_CUSTOMERS, |_| None);
            }
            FleetMessage::CreditResponse(response) => {
                self.leader(&mut response.leader);
                self.retain(&mut response.customers, MAX_LISTED_CUSTOMERS, |_| None);
            }
            // Each record is validated when it is applied.
            FleetMessage::Records(records) => {
                self.require(BoundedPart::List, records.changed.len(), MAX_SERVERS);
                self.retain(&mut records.renewed, MAX_SERVERS, |renewal| server_name(&renewal.server));
                self.relays(&mut records.relays);
            }
            FleetMessage::RecordRequest(servers) => self.retain(servers, MAX_SERVERS, |server| server_name(server)),
            FleetMessage::Request { request, .. } => match request {
                Request::Submit { text, .. } => self.require(BoundedPart::Configuration, text.len(), MAX_CONFIG_BYTES),
                Request::Depart { server, .. } => self.require(BoundedPart::ServerName, server.len(), MAX_NAME_BYTES),
                Request::Read => {}
                Request::Evacuate { data_centre, .. } => {
                    self.require(BoundedPart::DataCentreName, data_centre.len(), MAX_NAME_BYTES);
                }
            },
            FleetMessage::Reply { reply, .. } => {
                if let Reply::Current { text, .. } = reply {
                    self.require(BoundedPart::Configuration, text.len(), MAX_CONFIG_BYTES);
                }
            }
        }
    }

    fn replicas(&mut self, names: &mut Vec<ReplicaName>) {
        self.retain(names, MAX_REPLICAS, |replica| {
            name(BoundedPart::InstanceName, &replica.id)
                .or_else(|| name(BoundedPart::DataCentreName, &replica.data_centre))
        });
    }

    fn relays(&mut self, relays: &mut Vec<RelayAddress>) {
        self.retain(relays, MAX_RELAYS, |relay| name(BoundedPart::InstanceName, &relay.entry));
    }

    fn leader(&mut self, leader: &mut Option<InstanceId>) {
        if let Some(found) = leader.as_deref().and_then(|leader| name(BoundedPart::InstanceName, leader)) {
            self.record(found);
            *leader = None;
        }
    }

    fn data_centre(&mut self, data_centre: &mut Box<str>) {
        if let Some(found) = name(BoundedPart::DataCentreName, data_centre) {
            self.record(found);
            *data_centre = Box::default();
        }
    }

    /// Removes the items of a list that exceed a limit, and those beyond the maximum number.
    fn retain<T>(&mut self, items: &mut Vec<T>, max: usize, check: impl Fn(&T) -> Option<OutOfBounds>) {
        if let Some(found) = out_of_bounds(BoundedPart::List, items.len(), max) {
            self.record(found);
            items.truncate(max);
        }
        items.retain(|item| match check(item) {
            Some(found) => {
                self.record(found);
                false
            }
            None => true,
        });
    }

    /// Drops the message if a part exceeds its limit.
    fn require(&mut self, part: BoundedPart, size: usize, limit: usize) {
        if let Some(found) = out_of_bounds(part, size, limit) {
            self.record(found);
            self.must_drop = true;
        }
    }

    fn record(&mut self, found: OutOfBounds) {
        self.first.get_or_insert(found);
        self.count += 1;
    }
}

fn server_name(server: &str) -> Option<OutOfBounds> {
    name(BoundedPart::ServerName, server)
}

fn name(part: BoundedPart, name: &str) -> Option<OutOfBounds> {
    out_of_bounds(part, name.len(), MAX_NAME_BYTES)
}

fn out_of_bounds(part: BoundedPart, size: usize, limit: usize) -> Option<OutOfBounds> {
    (size > limit).then_some(OutOfBounds { part, size, limit, is_message_dropped: false })
}
