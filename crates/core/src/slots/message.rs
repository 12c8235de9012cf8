//! Messages between entries and coordinators.

use {
    super::NameHash,
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// A message between two instances about permits. It fits in a datagram: it contains at most
/// [`MAX_RECORDS`](super::MAX_RECORDS) permits, [`MAX_SERVICES`](super::MAX_SERVICES) services without permits
/// and [`MAX_CUSTOMERS`](super::MAX_CUSTOMERS) customers each in its reports and in its grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Renews leases and acknowledges messages, without any changes.
    Renew(SlotHeader),
    /// Carries changed reports and grants.
    Update(SlotHeader, Vec<SlotReport>, Vec<SlotGrant>),
}

impl SlotMessage {
    /// Returns the header of the message.
    pub fn header(&self) -> &SlotHeader {
        match self {
            Self::Renew(header) | Self::Update(header, ..) => header,
        }
    }
}

/// Header of every slot message. One message renews the leases of all services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHeader {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Hash of the receiver's incarnation as known to the sender; 0 if unknown.
    pub session: u32,
    /// Sequence number, which increases with every message to this receiver.
    pub sequence: u64,
    /// Highest sequence number received from the receiver. The receiver's leases start when it sent that message.
    pub ack: u64,
    /// Number that increases whenever the sender revokes all permits of the receiver.
    pub epoch: u32,
    /// Epoch of the receiver to which the sender's reports belong.
    pub echo: u32,
    /// Whether the sender requests a prompt acknowledgement.
    pub wants_ack: bool,
}

/// Report of an entry to the coordinator of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// Hash of the service name.
    pub service: NameHash,
    /// Number of the entry's current full report; it increases whenever the entry starts to report all holdings again.
    pub full_report: u32,
    /// Whether the full report is complete, with no holdings left to report.
    pub complete: bool,
    /// Whether the entry knows that the coordinator has adopted its permits.
    pub adopted: bool,
    /// Number of permits that the entry needs for waiting calls.
    pub need: u32,
    /// Number of calls that the entry has in flight.
    pub in_flight: u32,
    /// Calls by customer, while there is a standing queue.
    pub demand: Vec<CustomerDemand>,
    /// Changed numbers of permits held by server.
    pub holdings: Vec<Holding>,
}

/// Calls of one customer at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerDemand {
    /// Hash of the customer name.
    pub customer: NameHash,
    /// Number of waiting calls.
    pub waiting: u32,
    /// Number of calls in flight.
    pub in_flight: u32,
}

/// Permits that an entry holds for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Hash of the server name.
    pub server: NameHash,
    /// Number of permits held: the greater of those granted and those in use.
    pub held: u32,
    /// Whether the entry refuses permits for the server, for example because its calls fail there.
    pub refused: bool,
    /// Number of calls in flight.
    pub in_flight: u32,
}

/// Grant of the coordinator of a service to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Hash of the service name.
    pub service: NameHash,
    /// Number of the entry's full report that the grant is based on.
    pub full_report: u32,
    /// Whether the entry must send a full report.
    pub resync: bool,
    /// Whether permits are divided by customer, so that the entry must report its demand by customer.
    pub overload: bool,
    /// Number of idle permits that the entry should return.
    pub recall: u32,
    /// Changed numbers of permits by server.
    pub permits: Vec<Permit>,
    /// Shares of the entry's customers under overload.
    pub shares: Vec<CustomerShare>,
}

/// Number of permits that an entry may use for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Hash of the server name.
    pub server: NameHash,
    /// Maximum number of calls that the entry may have in flight at the server.
    pub count: u32,
    /// Number of messages since the one that first carried this grant. A retransmitted grant must not restore permits
    /// that the entry has returned since it applied the first copy.
    pub age: u32,
}

/// Share of one customer in the permits of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerShare {
    /// Hash of the customer name.
    pub customer: NameHash,
    /// Share in tenths of a permit.
    pub tenths: u32,
}
