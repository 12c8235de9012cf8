//! A service that a route sends requests to.

use crate::ids::ServiceId;

/// A service that a route sends requests to, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the other targets of the route.
    pub weight: u32,
}
