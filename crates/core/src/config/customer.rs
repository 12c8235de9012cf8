//! A customer who shares services with others.

/// One customer, section `[customer NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Share of a contended service relative to other customers.
    pub weight: u32,
}

impl Default for Customer {
    fn default() -> Self {
        Self { weight: 1 }
    }
}
