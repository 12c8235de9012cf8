//! Frames that arrived intact and cannot be read.

use std::net::SocketAddr;

/// A frame that arrived intact and whose message cannot be read, for example because another version of the program has
/// kinds of messages that this one does not know. It is skipped; the connection stays open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableFrame {
    /// Address of the sender's side of the connection.
    pub peer: SocketAddr,
    /// Length of the frame in bytes.
    pub bytes: usize,
    /// Why it cannot be read.
    pub reason: Box<str>,
}
