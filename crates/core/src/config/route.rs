//! Configuration of a route: which requests go to which services, with which options.

use {
    super::{RouteKind, RouteTarget, Service},
    crate::{collections::FastMap, dispatch::CallOptions, ids::ServiceId},
    std::time::Duration,
};

/// Maximum timeout of a route.
pub(super) const MAX_TIMEOUT: Duration = Duration::from_secs(10 * 60);

/// Default maximum number of servers to which a call may be sent.
pub(super) const DEFAULT_ATTEMPTS: u32 = 2;
/// Default priority, which is the highest.
pub(super) const DEFAULT_PRIORITY: u32 = 0;
pub(super) const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(250);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// A route, section `[route NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host of the requests, in lower case and without a port.
    pub host: Box<str>,
    /// Path prefix of the requests; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Attempts, priority and latency objective of calls.
    pub options: CallOptions,
    /// Services between which requests are split by weight; at least one.
    pub targets: Vec<RouteTarget>,
    /// Whether requests need no API key, if the configuration has customers with keys.
    pub is_anonymous: bool,
    /// Whether the source specifies the targets with the `split` key, even if there is only one.
    pub is_split: bool,
}

/// Returns the default timeout of a route: the longest deadline of its services.
pub(super) fn default_timeout(targets: &[RouteTarget], services: &FastMap<ServiceId, Service>) -> Duration {
    let deadlines = targets.iter().filter_map(|target| services.get(&target.service)).map(|service| service.deadline);
    deadlines.max().unwrap_or(DEFAULT_TIMEOUT).min(MAX_TIMEOUT)
}
