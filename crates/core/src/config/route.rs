//! A route: which requests go to which services, and on what terms.

use {
    super::{RouteKind, RouteTarget, Service},
    crate::{collections::FastMap, dispatch::CallOptions, ids::ServiceId},
    std::time::Duration,
};

/// Longest timeout of a route.
pub(super) const MAX_TIMEOUT: Duration = Duration::from_secs(10 * 60);

pub(super) const DEFAULT_ATTEMPTS: u32 = 2;
pub(super) const DEFAULT_PRIORITY: u32 = 0;
pub(super) const DEFAULT_OBJECTIVE: Duration = Duration::from_millis(250);
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// One route, section `[route NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host that requests name, in lower case and without a port.
    pub host: Box<str>,
    /// Beginning of the path; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Attempts, rank and objective of its calls.
    pub options: CallOptions,
    /// Services that requests are split among by weight; at least one.
    pub targets: Vec<RouteTarget>,
    /// Whether the text gives the targets as a split, even if there is only one.
    pub is_split: bool,
}

/// Returns the timeout of a route that gives none: the longest deadline of its services.
pub(super) fn default_timeout(targets: &[RouteTarget], services: &FastMap<ServiceId, Service>) -> Duration {
    let deadlines = targets.iter().filter_map(|target| services.get(&target.service)).map(|service| service.deadline);
    deadlines.max().unwrap_or(DEFAULT_TIMEOUT).min(MAX_TIMEOUT)
}
