//! Counters of refused calls by customer.

use {
    hemlockford_core::{collections::FastSet, ids::CustomerId, outcome::NotRunReason},
    prometheus::IntCounterVec,
    std::sync::{Arc, Mutex, PoisonError},
};

/// Maximum number of customers with a label of their own, which bounds the memory and the size of the metrics. Calls of
/// further ones are counted together.
const MAX_CUSTOMERS: usize = 128;
/// Label of the customers above the limit. No customer of a configuration can have this name.
const OTHER_CUSTOMERS: &str = "(other)";

/// Counters of refused calls by customer and reason, shared by the workers of an instance.
#[derive(Clone, Debug)]
pub(crate) struct CustomerRefusals {
    counter: IntCounterVec,
    customers: Arc<Mutex<FastSet<CustomerId>>>,
}

impl CustomerRefusals {
    pub(crate) fn new(counter: IntCounterVec) -> Self {
        Self { counter, customers: Arc::default() }
    }

    /// Counts a call that was not run.
    pub(crate) fn record(&self, customer: &CustomerId, reason: NotRunReason) {
        let label = if self.has_label(customer) { customer } else { OTHER_CUSTOMERS };
        self.counter.with_label_values(&[label, &reason.to_string()]).inc();
    }

    /// Returns whether the customer has a label of its own, and assigns one if the limit permits.
    fn has_label(&self, customer: &CustomerId) -> bool {
        // The set is valid after each operation, so that a panic elsewhere does not matter.
        let mut customers = self.customers.lock().unwrap_or_else(PoisonError::into_inner);
        customers.contains(customer) || customers.len() < MAX_CUSTOMERS && customers.insert(customer.clone())
    }
}
