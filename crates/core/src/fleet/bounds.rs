//! Size limits of received messages.

use {
    super::{FleetMessage, MAX_NAME_BYTES, ReplicaName, Reply, Request},
    crate::{config::MAX_CONFIG_BYTES, dispatch::RelayAddress, quarantine::MAX_RECORDS},
};

/// Maximum number of leaving servers in one poll.
pub(super) const MAX_LEAVING: usize = 16;
/// Maximum number of replicas in one message.
const MAX_REPLICAS: usize = 64;
/// Maximum number of entries that take relayed calls in a message.
const MAX_RELAYS: usize = 16;
/// Maximum number of crashes of one suspected request in a message.
const MAX_CRASHES: usize = 16;
/// Maximum number of servers in one message: a full directory of records of minimum length.
const MAX_SERVERS: usize = 16 * 1024;

impl FleetMessage {
    /// Returns whether every part of a received message is within its size limit.
    pub(super) fn is_bounded(&self) -> bool {
        let are_names = |names: &[ReplicaName]| {
            names.len() <= MAX_REPLICAS && names.iter().all(|name| is_name(&name.id) && is_name(&name.data_centre))
        };
        match self {
            Self::Poll(poll) => {
                poll.leaving.len() <= MAX_LEAVING && poll.leaving.iter().all(|(server, _)| is_name(server))
            }
            Self::Consensus(_) | Self::Outdated(_) => true,
            Self::PollResponse(response) => {
                are_names(&response.replicas) && is_name(&response.data_centre) && are_relays(&response.relays)
            }
            Self::Install(update) => update.size() <= MAX_CONFIG_BYTES,
            Self::Servers(servers) => {
                let usable = servers.usable.iter();
                usable.len() <= MAX_SERVERS
                    && servers.removed.len() <= MAX_SERVERS
                    && servers.departed.len() <= MAX_SERVERS
                    && usable.into_iter().all(|usable| is_name(&usable.server) && is_name(&usable.service))
                    && servers.removed.iter().all(|server| is_name(server))
                    && servers.departed.iter().all(|(server, _)| is_name(server))
            }
            Self::StatusRequest(request) => is_name(&request.data_centre),
            Self::StatusResponse(response) => {
                are_names(&response.replicas)
                    && is_name(&response.data_centre)
                    && response.records.as_ref().is_none_or(|records| records.len() <= MAX_SERVERS)
            }
            Self::Suspects(suspects) => {
                suspects.records.len() <= MAX_RECORDS
                    && suspects.records.iter().all(|record| record.crashes.len() <= MAX_CRASHES)
            }
            // Each record is validated when it is applied.
            Self::Records(records) => {
                records.changed.len() <= MAX_SERVERS
                    && records.renewed.len() <= MAX_SERVERS
                    && records.renewed.iter().all(|renewal| is_name(&renewal.server))
                    && are_relays(&records.relays)
            }
            Self::RecordRequest(servers) => {
                servers.len() <= MAX_SERVERS && servers.iter().all(|server| is_name(server))
            }
            Self::Request { request, .. } => match request {
                Request::Submit { text, .. } => text.len() <= MAX_CONFIG_BYTES,
                Request::Depart { server, .. } => is_name(server),
                Request::Read => true,
            },
            Self::Reply { reply, .. } => match reply {
                Reply::Current { text, .. } => text.len() <= MAX_CONFIG_BYTES,
                _ => true,
            },
        }
    }
}

fn are_relays(relays: &[RelayAddress]) -> bool {
    relays.len() <= MAX_RELAYS && relays.iter().all(|relay| is_name(&relay.entry))
}

fn is_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}
