//! Identifiers of the things the system talks about.

/// Name of a server, unique among all servers.
pub type ServerId = Box<str>;
/// Name of a service in the operators' text.
pub type ServiceId = Box<str>;
/// Name of a customer who shares services with other customers.
pub type CustomerId = Box<str>;
/// Name of a machine that runs hemlockford.
pub type InstanceId = Box<str>;
/// Name of a data centre.
pub type DataCentreId = Box<str>;
/// Number that rises with every start of a process; messages of an older one are dropped.
pub type Incarnation = u64;
/// Number of a call, unique within one incarnation of an instance.
pub type CallId = u64;
/// Number of a change of the operators' text.
pub type ChangeNumber = u64;
/// Consensus term.
pub type Term = u64;
/// Position in the replicated log; the first entry has index 1.
pub type LogIndex = u64;
