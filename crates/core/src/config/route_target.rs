//! Target services of a route.

use crate::ids::ServiceId;

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Weight of the service, relative to the other targets of the route.
    pub weight: u32,
}
