//! Parts of received messages that exceed a limit.

use derive_more::Display;

/// A part of a message whose size is limited.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BoundedPart {
    /// Name of a server, in bytes.
    #[display("server-name")]
    ServerName,
    /// Name of a service, in bytes.
    #[display("service-name")]
    ServiceName,
    /// Name of an instance, in bytes.
    #[display("instance-name")]
    InstanceName,
    /// Name of a data centre, in bytes.
    #[display("data-centre-name")]
    DataCentreName,
    /// Number of items in a list.
    #[display("list")]
    List,
    /// Configuration text or update, in bytes.
    #[display("configuration")]
    Configuration,
}

/// A part of a received message that exceeds a limit. It is dropped, or the whole message if the rest would be wrong
/// without it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{part} of {size} exceeds the limit of {limit}{}", if *is_message_dropped { ", message dropped" } else { "" })]
pub struct OutOfBounds {
    /// The part.
    pub part: BoundedPart,
    /// Its size.
    pub size: usize,
    /// The limit.
    pub limit: usize,
    /// Whether the whole message was dropped.
    pub is_message_dropped: bool,
}
