//! Call counters of one instance.

use {
    super::{
        BurnReport, MAX_CUSTOMERS, MAX_CUSTOMERS_TOTAL, OTHER_CUSTOMERS, ServiceCounts, Window, WindowCounts,
        series::Series,
    },
    crate::{
        collections::{FastMap, FastSet},
        config::{Configuration, Objective},
        ids::{CustomerId, ServiceId},
    },
    std::time::{Duration, Instant},
};

#[derive(Clone, Debug)]
struct ServiceSeries {
    objective: Objective,
    all: Series,
    customers: FastMap<CustomerId, Series>,
}

/// Counts the good and bad calls of one instance by service and customer.
///
/// ```
/// use {
///     hemlockford_core::{burn::{BurnCounter, Window}, config::Configuration},
///     std::time::{Duration, Instant},
/// };
/// let now = Instant::now();
/// let mut burn = BurnCounter::new(now);
/// burn.configure(&Configuration::parse("[change]\nnumber = 1\n[service catalogue]\nobjective = 99% in 250ms\n").unwrap());
/// burn.record(now, "catalogue", "kovar", Duration::from_millis(20), true);
/// burn.record(now, "catalogue", "kovar", Duration::from_millis(900), true);
/// let report = burn.report(now);
/// assert_eq!(report.services["catalogue"].all.get(Window::FiveMinutes).bad(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct BurnCounter {
    start: Instant,
    services: FastMap<ServiceId, ServiceSeries>,
    /// Customers of the configuration. They are always counted by name, however many other names callers send.
    configured_customers: FastSet<CustomerId>,
    /// Number of customer series over all services.
    customer_series: usize,
}

impl BurnCounter {
    /// Creates a counter without any services.
    pub fn new(now: Instant) -> Self {
        Self { start: now, services: FastMap::default(), configured_customers: FastSet::default(), customer_series: 0 }
    }

    /// Applies the services and objectives of a configuration. Services that remain keep their counts; calls
    /// counted under an earlier objective are not evaluated again.
    pub fn configure(&mut self, config: &Configuration) {
        self.services.retain(|service, _| config.services.contains_key(service));
        for (name, service) in &config.services {
            let objective = service.objective.clone();
            let make =
                || ServiceSeries { objective: objective.clone(), all: Series::new(), customers: FastMap::default() };
            self.services.entry(name.clone()).or_insert_with(make).objective = objective.clone();
        }
        self.configured_customers = config.customers.keys().cloned().collect();
        self.customer_series = self.services.values().map(|service| service.customers.len()).sum();
    }

    /// Counts a call. It meets the objective if the caller got the complete response (`good`) within the latency
    /// of the objective. Calls to services that are not configured are ignored.
    pub fn record(&mut self, now: Instant, service: &str, customer: &str, latency: Duration, good: bool) {
        let age = self.age(now);
        let Some(service) = self.services.get_mut(service) else { return };
        let good = good && latency <= service.objective.latency;
        service.all.add(age, good);
        let has_room = service.customers.len() < MAX_CUSTOMERS && self.customer_series < MAX_CUSTOMERS_TOTAL;
        let customer =
            if has_room || service.customers.contains_key(customer) || self.configured_customers.contains(customer) {
                customer
            } else {
                OTHER_CUSTOMERS
            };
        if let Some(series) = service.customers.get_mut(customer) {
            return series.add(age, good);
        }
        let mut series = Series::new();
        series.add(age, good);
        service.customers.insert(customer.into(), series);
        self.customer_series += 1;
    }

    /// Returns the counts of all services and customers in each window.
    pub fn report(&self, now: Instant) -> BurnReport {
        let age = self.age(now);
        let counts = |series: &Series| WindowCounts::new(|window| series.sum(age, window));
        let services = self.services.iter().map(|(name, service)| {
            let customers = service.customers.iter().map(|(name, series)| (name.clone(), counts(series)));
            // Customers without calls in the longest window do not contribute to any window.
            let customers = customers.filter(|(_, counts)| counts.get(Window::ThreeDays).total > 0).collect();
            let counts =
                ServiceCounts { objective: service.objective.clone().into(), all: counts(&service.all), customers };
            (name.clone(), counts)
        });
        BurnReport { services: services.collect() }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.start)
    }
}
