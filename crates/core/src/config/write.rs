//! Writer for configurations in INI format.

use {
    super::{
        ApiKey, ClaimsConfig, Configuration, Customer, Limits, MeasureConfig, Route, Service,
        route::{DEFAULT_ATTEMPTS, DEFAULT_OBJECTIVE, DEFAULT_PRIORITY, default_timeout},
    },
    crate::{collections::FastMap, units::format_duration},
    std::fmt::{Display, Write},
};

/// Writes all values that differ from the defaults, with customers and services in the order of their names.
pub(super) fn write(config: &Configuration) -> String {
    let mut writer = Writer { source: String::new() };
    writer.header("change");
    writer.line("number", config.number);
    for (name, customer) in by_name(&config.customers) {
        writer.header(format_args!("customer {name}"));
        writer.customer(customer);
    }
    for (name, service) in by_name(&config.services) {
        writer.header(format_args!("service {name}"));
        writer.service(service);
    }
    for route in &config.routes {
        writer.header(format_args!("route {}", route.name));
        writer.route(route, config);
    }
    writer.limits(&config.limits);
    writer.measure(&config.measure);
    writer.claims(&config.claims);
    writer.source
}

struct Writer {
    source: String,
}

impl Writer {
    fn header(&mut self, section: impl Display) {
        let gap = if self.source.is_empty() { "" } else { "\n" };
        self.push(format_args!("{gap}[{section}]\n"));
    }

    fn line(&mut self, key: impl Display, value: impl Display) {
        self.push(format_args!("{key} = {value}\n"));
    }

    fn push(&mut self, text: impl Display) {
        write!(self.source, "{text}").expect("writing to a string never fails");
    }

    /// Writes a value unless it is the default.
    fn value<T: Display + PartialEq>(&mut self, key: &str, value: T, default: T) {
        if value != default {
            self.line(key, value);
        }
    }

    fn optional<T: Display>(&mut self, key: &str, value: Option<T>) {
        if let Some(value) = value {
            self.line(key, value);
        }
    }

    fn customer(&mut self, customer: &Customer) {
        self.value("weight", customer.weight, Customer::default().weight);
        if let Some(keys) = &customer.keys {
            self.line("keys", keys.iter().map(ApiKey::as_str).collect::<Vec<_>>().join(" "));
        }
        self.optional("priority", customer.priority);
        self.optional("rate", customer.rate);
        self.optional("burst", customer.burst);
    }

    fn service(&mut self, service: &Service) {
        let default = Service::default();
        if !service.dependencies.is_empty() {
            self.line("depends", service.dependencies.join(", "));
        }
        self.value("deadline", format_duration(service.deadline), format_duration(default.deadline));
        self.value("objective", &service.objective, &default.objective);
        self.value("policy", service.policy, default.policy);
        self.value("retry-budget", service.retry_budget, default.retry_budget);
        self.value("queue", service.queue_limit, default.queue_limit);
        self.value("health", &service.health_path, &default.health_path);
        self.value("connections", service.max_connections, default.max_connections);
        if let Some(warm_up) = service.warm_up {
            self.line("warm-up", format_duration(warm_up.duration));
            self.line("warm-up-rate", warm_up.rate);
        }
        for (customer, share) in by_name(&service.customer_weights) {
            self.line(format_args!("share.{customer}"), share);
        }
    }

    fn route(&mut self, route: &Route, config: &Configuration) {
        self.line("host", &route.host);
        self.line("prefix", &route.prefix);
        self.line("kind", route.kind);
        let timeout = default_timeout(&route.targets, &config.services);
        self.value("timeout", format_duration(route.timeout), format_duration(timeout));
        self.value("objective", format_duration(route.options.objective), format_duration(DEFAULT_OBJECTIVE));
        self.value("priority", route.options.priority, DEFAULT_PRIORITY);
        self.value("attempts", route.options.attempts, DEFAULT_ATTEMPTS);
        if route.is_anonymous {
            self.line("anonymous", "yes");
        }
        match &route.targets[..] {
            [target] if !route.is_split => self.line("service", &target.service),
            targets => {
                let targets = targets.iter().map(|target| format!("{}:{}", target.service, target.weight));
                self.line("split", targets.collect::<Vec<_>>().join(", "));
            }
        }
    }

    fn limits(&mut self, limits: &Limits) {
        let default = Limits::default();
        if *limits == default {
            return;
        }
        self.header("limits");
        self.value("header-bytes", limits.header_bytes, default.header_bytes);
        self.value("body-bytes", limits.body_bytes, default.body_bytes);
        self.value("header-timeout", format_duration(limits.header_timeout), format_duration(default.header_timeout));
        self.value("idle-timeout", format_duration(limits.idle_timeout), format_duration(default.idle_timeout));
    }

    fn measure(&mut self, measure: &MeasureConfig) {
        let default = MeasureConfig::default();
        if *measure == default {
            return;
        }
        self.header("measure");
        self.value("server-share", measure.server_share, default.server_share);
        self.value("entry-share", measure.entry_share, default.entry_share);
        self.value("bytes", measure.bytes, default.bytes);
    }

    fn claims(&mut self, claims: &ClaimsConfig) {
        let default = ClaimsConfig::default();
        if *claims != default {
            self.header("claims");
            self.line("retention", format_duration(claims.retention));
        }
    }
}

/// Returns the entries of a map in the order of their names, so that equal configurations have equal sources.
fn by_name<T>(map: &FastMap<Box<str>, T>) -> Vec<(&str, &T)> {
    let mut entries: Vec<_> = map.iter().map(|(name, value)| (&**name, value)).collect();
    entries.sort_unstable_by_key(|(name, _)| *name);
    entries
}
