//! Configuration of a customer.

/// A customer, section `[customer NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Weight of the customer, relative to other customers, when a service is overloaded.
    pub weight: u32,
}

impl Default for Customer {
    fn default() -> Self {
        Self { weight: 1 }
    }
}
