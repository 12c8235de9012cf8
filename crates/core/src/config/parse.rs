//! Reads the INI form of a text.

use {
    super::{
        BalancingPolicy, ConfigError, Configuration, Customer, MAX_CONFIG_BYTES, Objective, Service,
        lines::Lines,
        locator::Locator,
        parse_route::{RouteParser, is_dotted_name, is_path},
    },
    crate::units::{Share, parse_duration},
    ini::{Ini, ParseOption, Properties},
};

/// A text with the faults found so far.
pub(super) struct Parsed {
    pub(super) text: Configuration,
    pub(super) faults: Vec<ConfigError>,
    pub(super) locator: Locator,
    /// Look-ups of routes by host and prefix.
    pub(super) route_look_ups: usize,
}

impl Parsed {
    pub(super) fn fault(&mut self, section: &str, key: &str, message: impl Into<Box<str>>) {
        let line = match self.locator.line(section, key) {
            0 => self.locator.line(section, ""),
            line => line,
        };
        self.faults.push(ConfigError { line, section: section.into(), key: key.into(), message: message.into() });
    }

    /// Stores a parsed value, or records what was expected in its place.
    pub(super) fn set<T>(&mut self, place: (&str, &str), target: &mut T, value: Option<T>, expected: &str) {
        match value {
            Some(value) => *target = value,
            None => self.fault(place.0, place.1, format!("expected {expected}")),
        }
    }
}

/// Parser of one source text.
pub(super) struct Parser {
    source: Box<str>,
    is_too_long: bool,
    parsed: Parsed,
}

impl Parser {
    pub(super) fn new(source: &str) -> Self {
        let is_too_long = source.len() > MAX_CONFIG_BYTES;
        let Lines { text, faults } = Lines::new(if is_too_long { "" } else { source });
        let locator = Locator::new(&text);
        Self {
            source: text,
            is_too_long,
            parsed: Parsed { text: Configuration::default(), faults, locator, route_look_ups: 0 },
        }
    }

    pub(super) fn parse(mut self) -> Parsed {
        if self.is_too_long {
            self.parsed.fault("", "", format!("text is longer than {MAX_CONFIG_BYTES} bytes"));
            return self.parsed;
        }
        // Values are taken as they stand: a quoted one could go on in the next line.
        let options = ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
        match Ini::load_from_str_opt(&self.source, options) {
            Ok(ini) => self.read_sections(&ini),
            Err(e) => self.parsed.faults.push(ConfigError {
                line: e.line,
                section: "".into(),
                key: "".into(),
                message: e.msg.as_ref().into(),
            }),
        }
        for (section, key, line) in self.parsed.locator.duplicates().to_vec() {
            self.parsed.faults.push(ConfigError { line, section, key, message: "given twice".into() });
        }
        self.parsed
    }

    fn read_sections(&mut self, ini: &Ini) {
        // Routes are read last: the default of their timeout is a deadline of a service.
        let mut routes = Vec::new();
        for (section, properties) in ini.iter() {
            let Some(section) = section else {
                self.read_unsectioned(properties);
                continue;
            };
            let (kind, name) = section.split_once(' ').unwrap_or((section, ""));
            match (kind, name.trim()) {
                ("change", "") => self.read_change(section, properties),
                ("measure", "") => self.read_measure(section, properties),
                ("claims", "") => self.read_claims(section, properties),
                ("limits", "") => self.read_limits(section, properties),
                ("customer", name) if is_name(name) => self.read_customer(section, name, properties),
                ("service", name) if is_dotted_name(name) => self.read_service(section, name, properties),
                ("route", name) if is_dotted_name(name) => routes.push((section, name, properties)),
                ("customer", _) => self.parsed.fault(section, "", "expected a name of a-z, 0-9, - and _"),
                ("service" | "route", _) => {
                    self.parsed.fault(section, "", "expected a name of a-z, 0-9, dots, - and _");
                }
                _ => self.parsed.fault(section, "", "unknown section"),
            }
        }
        let mut parser = RouteParser::new(&mut self.parsed);
        for (section, name, properties) in routes {
            parser.read(section, name, properties);
        }
    }

    fn read_unsectioned(&mut self, properties: &Properties) {
        for (key, _) in properties.iter() {
            self.parsed.fault("", key, "key outside of any section");
        }
    }

    fn read_change(&mut self, section: &str, properties: &Properties) {
        let mut number = 0;
        for (key, value) in properties.iter() {
            match key {
                "number" => {
                    let value = value.parse().ok().filter(|number| *number > 0);
                    self.parsed.set((section, key), &mut number, value, "a whole number above 0");
                }
                _ => self.parsed.fault(section, key, "unknown key"),
            }
        }
        self.parsed.text.number = number;
    }

    fn read_measure(&mut self, section: &str, properties: &Properties) {
        let mut measure = std::mem::take(&mut self.parsed.text.measure);
        for (key, value) in properties.iter() {
            let place = (section, key);
            match key {
                "server-share" => {
                    self.parsed.set(place, &mut measure.server_share, Share::parse(value), "a share such as 0.5%");
                }
                "entry-share" => {
                    self.parsed.set(place, &mut measure.entry_share, Share::parse(value), "a share such as 0.5%");
                }
                "bytes" => self.parsed.set(place, &mut measure.bytes, value.parse().ok(), "bytes a second"),
                _ => self.parsed.fault(section, key, "unknown key"),
            }
        }
        self.parsed.text.measure = measure;
    }

    fn read_claims(&mut self, section: &str, properties: &Properties) {
        let mut claims = std::mem::take(&mut self.parsed.text.claims);
        for (key, value) in properties.iter() {
            match key {
                "retention" => {
                    let value = parse_duration(value).filter(|retention| !retention.is_zero());
                    self.parsed.set((section, key), &mut claims.retention, value, "a duration such as 15m");
                }
                _ => self.parsed.fault(section, key, "unknown key"),
            }
        }
        self.parsed.text.claims = claims;
    }

    fn read_limits(&mut self, section: &str, properties: &Properties) {
        let mut limits = std::mem::take(&mut self.parsed.text.limits);
        for (key, value) in properties.iter() {
            let place = (section, key);
            let duration = || parse_duration(value).filter(|duration| !duration.is_zero());
            match key {
                "header-bytes" => {
                    let value = value.parse().ok().filter(|bytes| *bytes > 0);
                    self.parsed.set(place, &mut limits.header_bytes, value, "a whole number of bytes above 0");
                }
                "body-bytes" => {
                    self.parsed.set(place, &mut limits.body_bytes, value.parse().ok(), "a whole number of bytes");
                }
                "header-timeout" => {
                    self.parsed.set(place, &mut limits.header_timeout, duration(), "a duration such as 5s");
                }
                "idle-timeout" => {
                    self.parsed.set(place, &mut limits.idle_timeout, duration(), "a duration such as 60s");
                }
                _ => self.parsed.fault(section, key, "unknown key"),
            }
        }
        self.parsed.text.limits = limits;
    }

    fn read_customer(&mut self, section: &str, name: &str, properties: &Properties) {
        let mut customer = Customer::default();
        for (key, value) in properties.iter() {
            match key {
                "weight" => {
                    let value = value.parse().ok().filter(|weight| *weight > 0);
                    self.parsed.set((section, key), &mut customer.weight, value, "a whole number above 0");
                }
                _ => self.parsed.fault(section, key, "unknown key"),
            }
        }
        self.parsed.text.customers.insert(name.into(), customer);
    }

    fn read_service(&mut self, section: &str, name: &str, properties: &Properties) {
        let mut service = Service::default();
        for (key, value) in properties.iter() {
            self.read_service_key((section, key), value, &mut service);
        }
        self.parsed.text.services.insert(name.into(), service);
    }

    fn read_service_key(&mut self, place: (&str, &str), value: &str, service: &mut Service) {
        let parsed = &mut self.parsed;
        match place.1 {
            "depends" => service.dependencies = value.split(',').map(|name| name.trim().into()).collect(),
            "deadline" => {
                let value = parse_duration(value).filter(|deadline| !deadline.is_zero());
                parsed.set(place, &mut service.deadline, value, "a duration such as 800ms");
            }
            "objective" => {
                let value = Objective::parse(value).filter(|objective| !objective.latency.is_zero());
                parsed.set(place, &mut service.objective, value, "an objective such as 99.9% in 250ms");
            }
            "policy" => {
                let names = BalancingPolicy::ALL.map(|policy| policy.to_string()).join(", ");
                parsed.set(place, &mut service.policy, BalancingPolicy::parse(value), &format!("one of {names}"));
            }
            "retry-budget" => {
                parsed.set(place, &mut service.retry_budget, Share::parse(value), "a share such as 10%");
            }
            "queue" => {
                let value = value.parse().ok().filter(|queue| *queue > 0);
                parsed.set(place, &mut service.queue_limit, value, "a whole number above 0");
            }
            "health" => {
                let value = Some(value).filter(|path| is_path(path)).map(Into::into);
                parsed.set(place, &mut service.health_path, value, "a path such as /probe");
            }
            "connections" => {
                let value = value.parse().ok().filter(|connections| *connections > 0);
                parsed.set(place, &mut service.max_connections, value, "a whole number above 0");
            }
            key => match key.strip_prefix("share.") {
                Some(customer) => match value.parse() {
                    Ok(share) => {
                        service.customer_weights.insert(customer.into(), share);
                    }
                    Err(_) => parsed.fault(place.0, place.1, "expected a whole number"),
                },
                None => parsed.fault(place.0, place.1, "unknown key"),
            },
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_word = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    !name.is_empty() && name.chars().all(is_word)
}
