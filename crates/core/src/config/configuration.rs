//! The validated configuration.

use {
    super::{
        ClaimsConfig, ConfigError, Customer, Limits, MeasureConfig, Route, Service, TextLine, check, parse, text_lines,
        write,
    },
    crate::{
        collections::FastMap,
        ids::{ChangeNumber, CustomerId, ServiceId},
    },
};

/// A configuration that passed all checks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Number of the configuration change, assigned by the operator.
    pub number: ChangeNumber,
    /// Customers by name; all other customers have the default values.
    pub customers: FastMap<CustomerId, Customer>,
    /// Services by name.
    pub services: FastMap<ServiceId, Service>,
    /// Routes in the order of the source. Without routes, the first segment of the request path names the service.
    pub routes: Vec<Route>,
    /// Limits for requests and connections of callers.
    pub limits: Limits,
    /// Budget for load measurement.
    pub measure: MeasureConfig,
    /// Configuration of claims of idempotency keys.
    pub claims: ClaimsConfig,
}

impl Configuration {
    /// Returns the names of the services in a text that was checked before, without parsing the rest.
    ///
    /// ```
    /// use hemlockford_core::config::Configuration;
    /// let text = "[change]\nnumber = 7\n[service b]\ndeadline = 2s\n [ service  a ] \n[route service]\n";
    /// assert_eq!(Configuration::service_names(text).collect::<Vec<_>>(), ["b", "a"]);
    /// ```
    pub fn service_names(text: &str) -> impl Iterator<Item = &str> {
        text_lines(text).filter_map(|line| match line {
            TextLine::Section { kind: "service", name } => Some(name),
            _ => None,
        })
    }

    /// Parses and checks a configuration; returns all errors if there are any.
    ///
    /// ```
    /// use hemlockford_core::config::Configuration;
    /// let config = Configuration::parse("[change]\nnumber = 1\n[service catalogue]\n").unwrap();
    /// assert_eq!(config.number, 1);
    /// let errors = Configuration::parse("[change]\nnumber = 0\n").unwrap_err();
    /// assert_eq!(errors[0].line, 2);
    /// ```
    pub fn parse(source: &str) -> Result<Self, Vec<ConfigError>> {
        Self::parse_counted(source).0
    }

    /// Like [`Configuration::parse`], but also returns the total number of lines read and of lookups of lines and
    /// routes. The number grows linearly with the source, which shows without time measurements that no step compares
    /// each line with all others.
    ///
    /// ```
    /// use hemlockford_core::config::Configuration;
    /// let (config, steps) = Configuration::parse_counted("[change]\nnumber = 1\n");
    /// assert!(config.is_ok() && steps >= 2);
    /// ```
    pub fn parse_counted(source: &str) -> (Result<Self, Vec<ConfigError>>, usize) {
        let mut parsed = parse::Parser::new(source).parse();
        check::check(&mut parsed);
        let steps = parsed.line_index.steps() + parsed.route_lookups;
        if parsed.errors.is_empty() {
            return (Ok(parsed.config), steps);
        }
        parsed.errors.sort_by(|a, b| (a.line, &a.section, &a.key).cmp(&(b.line, &b.section, &b.key)));
        (Err(parsed.errors), steps)
    }

    /// Formats the configuration in INI format. Parsing the result yields an equal configuration, provided that its names
    /// and values are valid and its durations are whole microseconds.
    ///
    /// ```
    /// use hemlockford_core::config::{Service, Configuration};
    /// let mut config = Configuration { number: 1, ..Configuration::default() };
    /// config.services.insert("catalogue".into(), Service { queue_limit: 50, ..Service::default() });
    /// assert_eq!(config.to_ini(), "[change]\nnumber = 1\n\n[service catalogue]\nqueue = 50\n");
    /// assert_eq!(Configuration::parse(&config.to_ini()), Ok(config));
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

    /// Returns whether requests must carry the API key of a customer, except on anonymous routes.
    ///
    /// ```
    /// use hemlockford_core::config::Configuration;
    /// let config = Configuration::parse("[change]\nnumber = 1\n[customer a]\nkeys = k1 k2\n").unwrap();
    /// assert!(config.requires_keys());
    /// ```
    pub fn requires_keys(&self) -> bool {
        self.customers.values().any(|customer| customer.keys.is_some())
    }

    /// Returns whether any service depends on this one.
    pub fn is_dependency(&self, service: &str) -> bool {
        self.services.values().any(|other| other.dependencies.iter().any(|name| &**name == service))
    }
}
