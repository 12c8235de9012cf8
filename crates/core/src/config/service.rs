//! Configuration of a service.

use {
    super::{BalancingPolicy, Objective, WarmUp},
    crate::{
        collections::FastMap,
        ids::{CustomerId, ServiceId},
        units::Share,
    },
    std::time::Duration,
};

const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
const DEFAULT_RETRY_BUDGET: Share = Share::from_millionths(100_000);
/// Default maximum number of calls of one customer that may wait at one entry.
const DEFAULT_QUEUE_LIMIT: usize = 200;
const DEFAULT_HEALTH_PATH: &str = "/probe";
/// Number of connections that the users' servers accept.
const DEFAULT_MAX_CONNECTIONS: u32 = 250;

/// A service, section `[service NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Services that the servers of this service call.
    pub dependencies: Vec<ServiceId>,
    /// Time within which a call must complete if the caller does not specify a deadline.
    pub deadline: Duration,
    /// Service-level objective.
    pub objective: Objective,
    /// Load-balancing policy.
    pub policy: BalancingPolicy,
    /// Maximum share of calls that may be retried.
    pub retry_budget: Share,
    /// Maximum number of calls of one customer that may wait at one entry.
    pub queue_limit: usize,
    /// Path of health checks.
    pub health_path: Box<str>,
    /// Maximum number of connections to a server from all entries together.
    pub max_connections: u32,
    /// Warm-up of its servers, if it is specified.
    pub warm_up: Option<WarmUp>,
    /// Weights of customers at this service, which override the weights of the customers.
    pub customer_weights: FastMap<CustomerId, u32>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            dependencies: Vec::new(),
            deadline: DEFAULT_DEADLINE,
            objective: Objective::default(),
            policy: BalancingPolicy::default(),
            retry_budget: DEFAULT_RETRY_BUDGET,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            health_path: DEFAULT_HEALTH_PATH.into(),
            max_connections: DEFAULT_MAX_CONNECTIONS,
            warm_up: None,
            customer_weights: FastMap::default(),
        }
    }
}
