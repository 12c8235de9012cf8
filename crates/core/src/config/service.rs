//! A service and what it depends on.

use {
    super::{BalancingPolicy, Objective},
    crate::{
        collections::FastMap,
        ids::{CustomerId, ServiceId},
        units::Share,
    },
    std::time::Duration,
};

const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
const DEFAULT_RETRY_BUDGET: Share = Share::from_millionths(100_000);
const DEFAULT_QUEUE_LIMIT: usize = 200;
const DEFAULT_HEALTH_PATH: &str = "/probe";
/// The users' servers accept 250 connections.
const DEFAULT_MAX_CONNECTIONS: u32 = 250;

/// One service, section `[service NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Services that its servers call.
    pub dependencies: Vec<ServiceId>,
    /// Time within which a call must be answered when the caller states none.
    pub deadline: Duration,
    /// Service-level objective.
    pub objective: Objective,
    /// How a server is chosen.
    pub policy: BalancingPolicy,
    /// Share of calls that may be retried.
    pub retry_budget: Share,
    /// Calls of one customer that may wait at one entry.
    pub queue_limit: usize,
    /// Path on which servers answer health checks.
    pub health_path: Box<str>,
    /// Connections that a server accepts from all entries together.
    pub max_connections: u32,
    /// Weights of customers that differ from the customer's own.
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
            customer_weights: FastMap::default(),
        }
    }
}
