//! What entries and coordinators tell each other about slots.

use {
    super::NameHash,
    crate::ids::Incarnation,
    serde::{Deserialize, Serialize},
};

/// A message between two instances about permits. It fits a datagram: at most
/// [`MAX_RECORDS`](super::MAX_RECORDS) permits, [`MAX_SERVICES`](super::MAX_SERVICES) services without permits
/// and [`MAX_CUSTOMERS`](super::MAX_CUSTOMERS) customers each way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Renews leases and acknowledges; nothing else has changed.
    Renew(SlotHeader),
    /// Carries what has changed.
    Update(SlotHeader, Vec<SlotReport>, Vec<SlotGrant>),
}

impl SlotMessage {
    /// Returns the part that every message has.
    pub fn header(&self) -> &SlotHeader {
        match self {
            Self::Renew(header) | Self::Update(header, ..) => header,
        }
    }
}

/// The part that every slot message has. One message renews the leases of all services at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotHeader {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Hash of the incarnation of the receiver that the sender knows; 0 when it knows none.
    pub session: u32,
    /// Number that rises with every message to this receiver.
    pub sequence: u64,
    /// Highest number taken from the receiver; the receiver's leases count from when it sent that message.
    pub ack: u64,
    /// Number that rises whenever the sender has taken back every permit of the receiver.
    pub epoch: u32,
    /// The receiver's epoch under which the sender's reports stand.
    pub echo: u32,
    /// Whether the sender needs an acknowledgement soon.
    pub wants_ack: bool,
}

/// What an entry tells a coordinator about one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReport {
    /// NameHash of the service.
    pub service: NameHash,
    /// Number that rises whenever the entry reports all it holds anew.
    pub full_report: u32,
    /// Whether nothing that the entry holds is left to be reported.
    pub complete: bool,
    /// Whether the coordinator has taken over what the entry holds.
    pub adopted: bool,
    /// Permits that the entry needs now for waiting calls.
    pub need: u32,
    /// Calls that the entry has in flight.
    pub in_flight: u32,
    /// Calls by customer, while calls have to wait for long.
    pub demand: Vec<CustomerDemand>,
    /// Permits held by server, where that has changed.
    pub holdings: Vec<Holding>,
}

/// Calls of one customer at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerDemand {
    /// NameHash of the customer.
    pub customer: NameHash,
    /// Calls that wait.
    pub waiting: u32,
    /// Calls in flight.
    pub in_flight: u32,
}

/// Permits for one server, the greater of what may be used and what is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// NameHash of the server.
    pub server: NameHash,
    /// Permits held.
    pub held: u32,
    /// Whether the entry wants no permits for the server, for example because its calls fail there.
    pub refused: bool,
    /// Calls in flight.
    pub in_flight: u32,
}

/// What a coordinator tells an entry about one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// NameHash of the service.
    pub service: NameHash,
    /// The entry's report that this answers.
    pub full_report: u32,
    /// Whether the entry has to report all it holds anew.
    pub resync: bool,
    /// Whether permits are divided by customer, so that the entry has to list its customers.
    pub overload: bool,
    /// Idle permits that the entry is asked to give back.
    pub recall: u32,
    /// Permits that the entry may use from now on, where that has changed.
    pub permits: Vec<Permit>,
    /// Shares of the entry's customers, under overload.
    pub shares: Vec<CustomerShare>,
}

/// Permits that an entry may use for one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// NameHash of the server.
    pub server: NameHash,
    /// Calls that the entry may have in flight there.
    pub count: u32,
    /// Messages since the one that first carried this. A repeated permit must not undo what the entry has
    /// given back since it applied the first copy.
    pub age: u32,
}

/// Share of one customer of the permits of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerShare {
    /// NameHash of the customer.
    pub customer: NameHash,
    /// Share in tenths of a permit.
    pub tenths: u32,
}
