//! Options of the transports.

use std::time::Duration;

/// Options of the transports.
#[derive(Clone, Debug)]
pub struct NetOptions {
    /// Time allowed for opening a connection to another instance.
    pub connect_timeout: Duration,
    /// Time allowed for writing one frame; a peer that reads no more is disconnected.
    pub write_timeout: Duration,
    /// Time within which the receiver acknowledges a frame; after it the connection is closed, and the next message
    /// opens another one. Some networks drop a connection without a reset. A large frame has more time, as it takes
    /// longer to arrive. `None`: frames are not acknowledged. All instances of a system must agree on it.
    pub ack_timeout: Option<Duration>,
    /// Time after which a connection that carries nothing is closed. `None`: never.
    pub idle_timeout: Option<Duration>,
    /// Shortest wait between two attempts to connect.
    pub backoff_min: Duration,
    /// Longest wait between two attempts to connect.
    pub backoff_max: Duration,
    /// Messages that wait for one peer; the oldest wait is bounded, further messages are dropped.
    pub max_queued_messages: usize,
    /// Bytes of the messages that wait for one peer; further messages are dropped. One message may wait whatever its
    /// size.
    pub max_queued_bytes: usize,
    /// Bytes of the messages that wait for all peers together; further messages above 64 KB are dropped.
    pub max_total_queued_bytes: usize,
    /// Connections accepted from other instances at a time.
    pub max_connections: usize,
    /// Connections to other instances at a time, where they are opened to any address.
    pub max_links: usize,
}

impl Default for NetOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            write_timeout: Duration::from_secs(2),
            ack_timeout: None,
            idle_timeout: None,
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(1),
            max_queued_messages: 64,
            max_queued_bytes: 4 * 1024 * 1024,
            max_total_queued_bytes: 32 * 1024 * 1024,
            max_connections: 64,
            max_links: 1_024,
        }
    }
}

impl NetOptions {
    /// Options for instances that come and go on a network that may drop connections without notice.
    ///
    /// ```
    /// use hemlockford_net::NetOptions;
    /// assert!(NetOptions::fleet().ack_timeout.is_some());
    /// ```
    pub fn fleet() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            ack_timeout: Some(Duration::from_secs(1)),
            idle_timeout: Some(Duration::from_secs(30)),
            ..Self::default()
        }
    }
}
