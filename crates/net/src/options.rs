//! Options of the transports.

use std::time::Duration;

/// Options of the transports.
#[derive(Clone, Debug)]
pub struct NetOptions {
    /// Timeout for opening a connection to another instance.
    pub connect_timeout: Duration,
    /// Timeout for writing one frame; a peer that stops reading is disconnected.
    pub write_timeout: Duration,
    /// Timeout for the acknowledgement of a frame. When it expires, the connection is closed and the next message opens
    /// a new one, because some networks drop connections without a reset. Large frames have a longer timeout, as they
    /// take longer to arrive. `None` disables acknowledgements. All instances of a system must agree on whether frames
    /// are acknowledged.
    pub ack_timeout: Option<Duration>,
    /// Time after which a connection without unacknowledged frames is closed if nothing is sent; `None` for never. A
    /// connection that has gone silent is used for at most this time and the timeout for an acknowledgement.
    pub idle_timeout: Option<Duration>,
    /// Minimum delay between two connection attempts.
    pub backoff_min: Duration,
    /// Maximum delay between two connection attempts.
    pub backoff_max: Duration,
    /// Maximum number of queued messages for one peer; further messages are dropped.
    pub max_queued_messages: usize,
    /// Maximum size of the queued messages for one peer, in bytes; further messages are dropped. A single message may be
    /// queued regardless of its size.
    pub max_queued_bytes: usize,
    /// Maximum size of the queued messages for all peers together, in bytes; further messages above 64 KB are dropped.
    pub max_total_queued_bytes: usize,
    /// Maximum number of simultaneous connections from other instances.
    pub max_connections: usize,
    /// Maximum number of simultaneous connections to other instances, if links are opened on demand.
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
    /// Options for instances that may join and leave at any time, on a network that may drop connections without notice.
    ///
    /// ```
    /// use hemlockford_net::NetOptions;
    /// assert!(NetOptions::fleet().ack_timeout.is_some());
    /// ```
    pub fn fleet() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            ack_timeout: Some(Duration::from_secs(1)),
            // Together with `ack_timeout` below 3 s, the time after which machines whose connections have gone silent
            // must again put a change in force in time. A change passes several links, whose delays would add up.
            idle_timeout: Some(Duration::from_secs(1)),
            ..Self::default()
        }
    }
}
