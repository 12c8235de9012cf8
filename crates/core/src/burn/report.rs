//! Counts that instances exchange.

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

/// Objective in the form in which reports carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedObjective {
    /// Share of calls that must be good.
    pub share: Share,
    /// Latency in milliseconds within which a whole answer counts as good.
    pub latency_ms: u64,
}

impl From<Objective> for ReportedObjective {
    fn from(objective: Objective) -> Self {
        Self { share: objective.share, latency_ms: objective.latency.as_millis() as u64 }
    }
}

/// Counts of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Objective of the service.
    pub objective: ReportedObjective,
    /// Calls of all customers.
    pub all: WindowCounts,
    /// Calls of each customer. Customers without a bad call are included, because rates can be worked out
    /// only once the counts of all instances are added up.
    pub customers: BTreeMap<CustomerId, WindowCounts>,
}

/// Counts of one instance, or of several added up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceCounts>,
}

impl BurnReport {
    /// Adds the counts of another instance. Where objectives differ, as they do for the seconds that a
    /// change takes to reach every instance, the own one stays.
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

    /// Works out burn rates, budgets and alerts.
    pub fn summary(&self) -> BurnSummary {
        BurnSummary::new(self)
    }
}
