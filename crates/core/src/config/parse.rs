//! Parser for configurations in INI format.

use {
    super::{
        ApiKey, BalancingPolicy, ConfigError, Configuration, Customer, MAX_CONFIG_BYTES, Objective, Service, WarmUp,
        line_index::LineIndex,
        normalized_source::NormalizedSource,
        parse_route::{RouteParser, is_dotted_name, is_path},
    },
    crate::units::{Decimal, Share, parse_duration},
    ini::{Ini, ParseOption, Properties},
};

/// Configuration and errors found so far.
pub(super) struct ParseState {
    pub(super) config: Configuration,
    pub(super) errors: Vec<ConfigError>,
    pub(super) line_index: LineIndex,
    /// Number of lookups of routes by host and prefix.
    pub(super) route_lookups: usize,
}

impl ParseState {
    /// Adds an error at the line of a key, or at the section header if the section does not contain the key.
    pub(super) fn error(&mut self, section: &str, key: &str, message: impl Into<Box<str>>) {
        let line = match self.line_index.line(section, key) {
            0 => self.line_index.line(section, ""),
            line => line,
        };
        self.errors.push(ConfigError { line, section: section.into(), key: key.into(), message: message.into() });
    }

    /// Stores a parsed value, or adds an error that states what was expected.
    pub(super) fn set<T>(&mut self, location: (&str, &str), target: &mut T, value: Option<T>, expected: &str) {
        match value {
            Some(value) => *target = value,
            None => self.error(location.0, location.1, format!("expected {expected}")),
        }
    }
}

/// Parser of one configuration source.
pub(super) struct Parser {
    source: Box<str>,
    is_too_long: bool,
    parsed: ParseState,
}

impl Parser {
    pub(super) fn new(source: &str) -> Self {
        let is_too_long = source.len() > MAX_CONFIG_BYTES;
        let NormalizedSource { source, errors } = NormalizedSource::new(if is_too_long { "" } else { source });
        let line_index = LineIndex::new(&source);
        Self {
            source,
            is_too_long,
            parsed: ParseState { config: Configuration::default(), errors, line_index, route_lookups: 0 },
        }
    }

    pub(super) fn parse(mut self) -> ParseState {
        if self.is_too_long {
            self.parsed.error("", "", format!("text is longer than {MAX_CONFIG_BYTES} bytes"));
            return self.parsed;
        }
        // Quotes are disabled because a quoted value could continue on the next line.
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        match Ini::load_from_str_opt(&self.source, options) {
            Ok(ini) => self.parse_sections(&ini),
            Err(e) => self.parsed.errors.push(ConfigError {
                line: e.line,
                section: "".into(),
                key: "".into(),
                message: e.msg.as_ref().into(),
            }),
        }
        for (section, key, line) in self.parsed.line_index.duplicates().to_vec() {
            self.parsed.errors.push(ConfigError { line, section, key, message: "given twice".into() });
        }
        self.parsed
    }

    fn parse_sections(&mut self, ini: &Ini) {
        // Routes are parsed last because their default timeout is the deadline of a service.
        let mut routes = Vec::new();
        for (section, properties) in ini.iter() {
            let Some(section) = section else {
                self.parse_unsectioned(properties);
                continue;
            };
            let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
            match (kind, name.trim()) {
                ("change", "") => self.parse_change(section, properties),
                ("measure", "") => self.parse_measure(section, properties),
                ("claims", "") => self.parse_claims(section, properties),
                ("limits", "") => self.parse_limits(section, properties),
                ("customer", name) if is_name(name) => self.parse_customer(section, name, properties),
                ("service", name) if is_dotted_name(name) => self.parse_service(section, name, properties),
                ("route", name) if is_dotted_name(name) => routes.push((section, name, properties)),
                ("customer", _) => self.parsed.error(section, "", "expected a name of a-z, 0-9, - and _"),
                ("service" | "route", _) => {
                    self.parsed.error(section, "", "expected a name of a-z, 0-9, dots, - and _");
                }
                _ => self.parsed.error(section, "", "unknown section"),
            }
        }
        let mut parser = RouteParser::new(&mut self.parsed);
        for (section, name, properties) in routes {
            parser.parse_section(section, name, properties);
        }
    }

    fn parse_unsectioned(&mut self, properties: &Properties) {
        for (key, _) in properties.iter() {
            self.parsed.error("", key, "key outside of any section");
        }
    }

    fn parse_change(&mut self, section: &str, properties: &Properties) {
        let mut number = 0;
        for (key, value) in properties.iter() {
            match key {
                "number" => {
                    let value = value.parse().ok().filter(|number| *number > 0);
                    self.parsed.set((section, key), &mut number, value, "a whole number above 0");
                }
                _ => self.parsed.error(section, key, "unknown key"),
            }
        }
        self.parsed.config.number = number;
    }

    fn parse_measure(&mut self, section: &str, properties: &Properties) {
        let mut measure = std::mem::take(&mut self.parsed.config.measure);
        for (key, value) in properties.iter() {
            let location = (section, key);
            match key {
                "server-share" => {
                    self.parsed.set(location, &mut measure.server_share, Share::parse(value), "a share such as 0.5%");
                }
                "entry-share" => {
                    self.parsed.set(location, &mut measure.entry_share, Share::parse(value), "a share such as 0.5%");
                }
                "bytes" => self.parsed.set(location, &mut measure.bytes, value.parse().ok(), "bytes a second"),
                _ => self.parsed.error(section, key, "unknown key"),
            }
        }
        self.parsed.config.measure = measure;
    }

    fn parse_claims(&mut self, section: &str, properties: &Properties) {
        let mut claims = std::mem::take(&mut self.parsed.config.claims);
        for (key, value) in properties.iter() {
            match key {
                "retention" => {
                    let value = parse_duration(value).filter(|retention| !retention.is_zero());
                    self.parsed.set((section, key), &mut claims.retention, value, "a duration such as 15m");
                }
                _ => self.parsed.error(section, key, "unknown key"),
            }
        }
        self.parsed.config.claims = claims;
    }

    fn parse_limits(&mut self, section: &str, properties: &Properties) {
        let mut limits = std::mem::take(&mut self.parsed.config.limits);
        for (key, value) in properties.iter() {
            let location = (section, key);
            let duration = || parse_duration(value).filter(|duration| !duration.is_zero());
            match key {
                "header-bytes" => {
                    let value = value.parse().ok().filter(|bytes| *bytes > 0);
                    self.parsed.set(location, &mut limits.header_bytes, value, "a whole number of bytes above 0");
                }
                "body-bytes" => {
                    self.parsed.set(location, &mut limits.body_bytes, value.parse().ok(), "a whole number of bytes");
                }
                "header-timeout" => {
                    self.parsed.set(location, &mut limits.header_timeout, duration(), "a duration such as 5s");
                }
                "idle-timeout" => {
                    self.parsed.set(location, &mut limits.idle_timeout, duration(), "a duration such as 60s");
                }
                _ => self.parsed.error(section, key, "unknown key"),
            }
        }
        self.parsed.config.limits = limits;
    }

    fn parse_customer(&mut self, section: &str, name: &str, properties: &Properties) {
        let mut customer = Customer::default();
        for (key, value) in properties.iter() {
            match key {
                "weight" => {
                    let value = value.parse().ok().filter(|weight| *weight > 0);
                    self.parsed.set((section, key), &mut customer.weight, value, "a whole number above 0");
                }
                "keys" => {
                    // The message must not contain the keys.
                    let keys = value.split_whitespace().map(ApiKey::parse).collect::<Option<_>>().map(Some);
                    let expected = "keys of 1 to 256 letters, digits and -._~+/=, separated by spaces";
                    self.parsed.set((section, key), &mut customer.keys, keys, expected);
                }
                "priority" => {
                    let value = value.parse().ok().map(Some);
                    self.parsed.set((section, key), &mut customer.priority, value, "a whole number");
                }
                "rate" => {
                    let value = Decimal::parse(value).map(Some);
                    self.parsed.set((section, key), &mut customer.rate, value, "a number of calls a second up to 1e9");
                }
                "burst" => {
                    let value = Decimal::parse(value).map(Some);
                    self.parsed.set((section, key), &mut customer.burst, value, "a number of calls up to 1e9");
                }
                _ => self.parsed.error(section, key, "unknown key"),
            }
        }
        self.parsed.config.customers.insert(name.into(), customer);
    }

    fn parse_service(&mut self, section: &str, name: &str, properties: &Properties) {
        let mut service = Service::default();
        for (key, value) in properties.iter() {
            self.parse_service_key((section, key), value, &mut service);
        }
        self.parsed.config.services.insert(name.into(), service);
    }

    fn parse_service_key(&mut self, location: (&str, &str), value: &str, service: &mut Service) {
        let parsed = &mut self.parsed;
        match location.1 {
            "depends" => service.dependencies = value.split(',').map(|name| name.trim().into()).collect(),
            "deadline" => {
                let value = parse_duration(value).filter(|deadline| !deadline.is_zero());
                parsed.set(location, &mut service.deadline, value, "a duration such as 800ms");
            }
            "objective" => {
                let value = Objective::parse(value).filter(|objective| !objective.latency.is_zero());
                parsed.set(location, &mut service.objective, value, "an objective such as 99.9% in 250ms");
            }
            "policy" => {
                let names = BalancingPolicy::ALL.map(|policy| policy.to_string()).join(", ");
                parsed.set(location, &mut service.policy, BalancingPolicy::parse(value), &format!("one of {names}"));
            }
            "retry-budget" => {
                parsed.set(location, &mut service.retry_budget, Share::parse(value), "a share such as 10%");
            }
            "queue" => {
                let value = value.parse().ok().filter(|queue| *queue > 0);
                parsed.set(location, &mut service.queue_limit, value, "a whole number above 0");
            }
            "health" => {
                let value = Some(value).filter(|path| is_path(path)).map(Into::into);
                parsed.set(location, &mut service.health_path, value, "a path such as /probe");
            }
            "connections" => {
                let value = value.parse().ok().filter(|connections| *connections > 0);
                parsed.set(location, &mut service.max_connections, value, "a whole number above 0");
            }
            "warm-up" => {
                let warm_up = service.warm_up.get_or_insert_with(WarmUp::default);
                parsed.set(location, &mut warm_up.duration, parse_duration(value), "a duration such as 3s");
            }
            "warm-up-rate" => {
                let warm_up = service.warm_up.get_or_insert_with(WarmUp::default);
                parsed.set(location, &mut warm_up.rate, Decimal::parse(value), "a number of calls a second up to 1e9");
            }
            key => match key.strip_prefix("share.") {
                Some(customer) => match value.parse() {
                    Ok(share) => {
                        service.customer_weights.insert(customer.into(), share);
                    }
                    Err(_) => parsed.error(location.0, location.1, "expected a whole number"),
                },
                None => parsed.error(location.0, location.1, "unknown key"),
            },
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    !name.is_empty() && name.chars().all(is_allowed)
}
