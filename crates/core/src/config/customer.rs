//! Configuration of a customer.

use {super::ApiKey, crate::units::Decimal};

/// A customer, section `[customer NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Weight of the customer, relative to other customers, when a service is overloaded.
    pub weight: u32,
    /// API keys of the customer; `None` if customers are not recognized by keys.
    pub keys: Option<Box<[ApiKey]>>,
    /// Priority of its calls, which precedes the one of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Calls per second that all entries together admit; 0 for any number.
    pub rate: Option<Decimal>,
    /// Calls that may be admitted at once in addition to the rate.
    pub burst: Option<Decimal>,
}

impl Default for Customer {
    fn default() -> Self {
        Self { weight: 1, keys: None, priority: None, rate: None, burst: None }
    }
}

impl Customer {
    /// Returns the limit on the rate of its calls per second, if there is one.
    ///
    /// ```
    /// use hemlockford_core::{config::Customer, units::Decimal};
    /// assert_eq!(Customer { rate: Decimal::new(0.0), ..Customer::default() }.rate_limit(), None);
    /// assert_eq!(Customer { rate: Decimal::new(5.0), ..Customer::default() }.rate_limit(), Some(5.0));
    /// ```
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate.map(Decimal::value).filter(|rate| *rate > 0.0)
    }
}
