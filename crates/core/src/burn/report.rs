//! Call counts that instances exchange.

use {
    super::{BurnSummary, WindowCounts},
    crate::{
        config::Objective,
        ids::{CustomerId, ServiceId},
        units::Share,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Serialized form of an [`Objective`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedObjective {
    /// Minimum share of good calls.
    pub share: Share,
    /// Latency in milliseconds within which a complete response counts as good.
    pub latency_ms: u64,
}

impl From<Objective> for ReportedObjective {
    fn from(objective: Objective) -> Self {
        Self { share: objective.share, latency_ms: objective.latency.as_millis() as u64 }
    }
}

/// Call counts of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Objective of the service.
    pub objective: ReportedObjective,
    /// Calls of all customers.
    pub all: WindowCounts,
    /// Calls of each customer. Customers without bad calls are included, because rates can only be computed from the
    /// merged counts of all instances.
    pub customers: BTreeMap<CustomerId, WindowCounts>,
}

/// Call counts of one instance, or the merged counts of several.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceCounts>,
}

impl BurnReport {
    /// Adds the counts of another instance. If the objectives differ, this report keeps its own; they differ for the
    /// few seconds that a configuration change takes to reach every instance.
    pub fn merge(&mut self, other: &Self) {
        for (name, theirs) in &other.services {
            let Some(own) = self.services.get_mut(name) else {
                self.services.insert(name.clone(), theirs.clone());
                continue;
            };
            own.all.add(&theirs.all);
            for (customer, counts) in &theirs.customers {
                own.customers.entry(customer.clone()).or_default().add(counts);
            }
        }
    }

    /// Computes burn rates, remaining budgets and alerts.
    pub fn summary(&self) -> BurnSummary {
        BurnSummary::new(self)
    }
}
