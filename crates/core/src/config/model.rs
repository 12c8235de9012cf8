//! The checked text.

use {
    super::{ClaimsConfig, ConfigError, Customer, Limits, MeasureConfig, Route, Service, check, parse, write},
    crate::{
        collections::FastMap,
        ids::{ChangeNumber, CustomerId, ServiceId},
    },
};

/// A text that passed every check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Number of the change, chosen by the operator.
    pub number: ChangeNumber,
    /// Customers by name; others get the default.
    pub customers: FastMap<CustomerId, Customer>,
    /// Services by name.
    pub services: FastMap<ServiceId, Service>,
    /// Routes in the order of the text; without any, the first segment of the path names the service.
    pub routes: Vec<Route>,
    /// Bounds on what callers may send.
    pub limits: Limits,
    /// Budget for measuring load.
    pub measure: MeasureConfig,
    /// Settings of claims.
    pub claims: ClaimsConfig,
}

impl Configuration {
    /// Parses and checks a text; returns every fault that was found.
    ///
    /// ```
    /// use hemlockford_core::config::Configuration;
    /// let text = Configuration::parse("[change]\nnumber = 1\n[service catalogue]\n").unwrap();
    /// assert_eq!(text.number, 1);
    /// let faults = Configuration::parse("[change]\nnumber = 0\n").unwrap_err();
    /// assert_eq!(faults[0].line, 2);
    /// ```
    pub fn parse(source: &str) -> Result<Self, Vec<ConfigError>> {
        Self::parse_counted(source).0
    }

    /// Does the same and also returns the number of lines read and of look-ups of lines and routes. It grows in
    /// proportion to the text, which shows without a clock that no step compares each line with all others.
    ///
    /// ```
    /// use hemlockford_core::config::Configuration;
    /// let (text, steps) = Configuration::parse_counted("[change]\nnumber = 1\n");
    /// assert!(text.is_ok() && steps >= 2);
    /// ```
    pub fn parse_counted(source: &str) -> (Result<Self, Vec<ConfigError>>, usize) {
        let mut parsed = parse::Parser::new(source).parse();
        check::check(&mut parsed);
        let steps = parsed.locator.steps() + parsed.route_look_ups;
        if parsed.faults.is_empty() {
            return (Ok(parsed.text), steps);
        }
        parsed.faults.sort_by(|a, b| (a.line, &a.section, &a.key).cmp(&(b.line, &b.section, &b.key)));
        (Err(parsed.faults), steps)
    }

    /// Writes the source of a text. Parsing it gives an equal text, if this one could come from a source: its
    /// names and values are permitted ones and its durations are whole microseconds.
    ///
    /// ```
    /// use hemlockford_core::config::{Service, Configuration};
    /// let mut text = Configuration { number: 1, ..Configuration::default() };
    /// text.services.insert("catalogue".into(), Service { queue_limit: 50, ..Service::default() });
    /// assert_eq!(text.to_ini(), "[change]\nnumber = 1\n\n[service catalogue]\nqueue = 50\n");
    /// assert_eq!(Configuration::parse(&text.to_ini()), Ok(text));
    /// ```
    pub fn to_ini(&self) -> String {
        write::write(self)
    }

    /// Returns the weight of a customer at a service.
    pub fn customer_weight(&self, service: &str, customer: &str) -> u32 {
        let share = self.services.get(service).and_then(|service| service.customer_weights.get(customer));
        let own = self.customers.get(customer).map(|customer| customer.weight);
        share.copied().or(own).unwrap_or(Customer::default().weight)
    }

    /// Returns whether another service depends on this one.
    pub fn is_dependency(&self, service: &str) -> bool {
        self.services.values().any(|other| other.dependencies.iter().any(|name| &**name == service))
    }
}
