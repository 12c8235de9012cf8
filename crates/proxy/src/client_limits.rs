//! Limits on what clients make a process hold.

/// Part of the memory of the machine that clients may make a process hold. The process itself, its servers' connections
/// and the fragmentation of the heap take the rest.
const MEMORY_SHARE: usize = 4;
/// Least number of bytes that clients may make a process hold: several of the largest bodies that are kept.
const MIN_BYTES: usize = 4 * 1_024 * 1_024;
/// Connections to the admin listener if the number of descriptors is not known. Each of hundreds of servers keeps one
/// open; the others are for operators and the platform.
const DEFAULT_ADMINS: usize = 2_500;
/// Least number of connections of any kind.
const MIN_CONNECTIONS: usize = 8;

/// Limits on what clients make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes that are held for all clients.
    pub bytes: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other entries that pass calls on.
    pub relays: usize,
    /// Connections to the admin listener.
    pub admins: usize,
    /// Calls in progress, and connections to servers.
    pub calls: usize,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self { bytes: usize::MAX, callers: usize::MAX, relays: usize::MAX, admins: DEFAULT_ADMINS, calls: usize::MAX }
    }
}

impl ClientLimits {
    /// Returns the limits of an entry on a machine with this memory and number of descriptors, as far as they are
    /// known. An eighth of the descriptors is left to the process itself.
    ///
    /// ```
    /// use hemlockford_proxy::ClientLimits;
    /// let limits = ClientLimits::of_entry(Some(112), Some(2_870));
    /// assert_eq!((limits.bytes, limits.callers, limits.calls), (28 << 20, 1_253, 717));
    /// assert_eq!(ClientLimits::of_entry(None, None), ClientLimits::default());
    /// ```
    pub fn of_entry(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let limits = Self::of_memory(memory_mb);
        let Some(descriptors) = descriptors.and_then(|descriptors| usize::try_from(descriptors).ok()) else {
            return limits;
        };
        Self {
            callers: (descriptors / 16 * 7).max(MIN_CONNECTIONS),
            relays: (descriptors / 16).max(MIN_CONNECTIONS),
            admins: (descriptors / 8).clamp(MIN_CONNECTIONS, DEFAULT_ADMINS),
            calls: (descriptors / 4).max(MIN_CONNECTIONS),
            ..limits
        }
    }

    /// Returns the limits of a replica. Half of the descriptors is left to its links and files.
    ///
    /// ```
    /// use hemlockford_proxy::ClientLimits;
    /// assert_eq!(ClientLimits::of_replica(Some(256), Some(1_024)).admins, 512);
    /// ```
    pub fn of_replica(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let limits = Self::of_memory(memory_mb);
        let descriptors = descriptors.and_then(|descriptors| usize::try_from(descriptors).ok());
        let admins = descriptors.map(|descriptors| (descriptors / 2).clamp(MIN_CONNECTIONS, DEFAULT_ADMINS));
        Self { admins: admins.unwrap_or(limits.admins), ..limits }
    }

    fn of_memory(memory_mb: Option<u64>) -> Self {
        let bytes = memory_mb.and_then(|memory| usize::try_from(memory).ok()?.checked_mul(1 << 20));
        let bytes = bytes.map_or(usize::MAX, |bytes| (bytes / MEMORY_SHARE).max(MIN_BYTES));
        Self { bytes, ..Self::default() }
    }
}
