//! Identifier types.

/// Name of a server, unique among all servers.
pub type ServerId = Box<str>;
/// Name of a service in the configuration.
pub type ServiceId = Box<str>;
/// Name of a customer; services are shared between customers.
pub type CustomerId = Box<str>;
/// Name of an instance of hemlockford.
pub type InstanceId = Box<str>;
/// Name of a data centre.
pub type DataCentreId = Box<str>;
/// Number that increases with every start of a process; messages of an earlier process are dropped.
pub type Incarnation = u64;
/// Number of a call, unique within an incarnation of an instance.
pub type CallId = u64;
/// Number of a configuration change.
pub type ChangeNumber = u64;
/// Consensus term.
pub type Term = u64;
/// Position in the replicated log; the first entry has index 1.
pub type LogIndex = u64;
