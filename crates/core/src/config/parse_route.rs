//! Parser for the route sections of a configuration.

use {
    super::{
        Route, RouteKind, RouteTarget,
        parse::ParseState,
        route::{DEFAULT_ATTEMPTS, DEFAULT_OBJECTIVE, DEFAULT_PRIORITY, MAX_TIMEOUT, default_timeout},
    },
    crate::{
        collections::{FastMap, FastSet},
        dispatch::CallOptions,
        units::parse_duration,
    },
    ini::Properties,
    std::time::Duration,
};

const ROUTE_KEYS: [&str; 10] =
    ["host", "prefix", "kind", "timeout", "objective", "priority", "attempts", "anonymous", "service", "split"];

/// Parser of route sections. It is used after all service sections have been parsed.
pub(super) struct RouteParser<'a> {
    parsed: &'a mut ParseState,
    /// Names of routes by host and prefix.
    names: FastMap<(Box<str>, Box<str>), Box<str>>,
}

impl<'a> RouteParser<'a> {
    pub(super) fn new(parsed: &'a mut ParseState) -> Self {
        Self { parsed, names: FastMap::default() }
    }

    /// Parses one route. A route without a valid host, prefix, kind or target is omitted.
    pub(super) fn parse_section(&mut self, section: &str, name: &str, properties: &Properties) {
        for (key, _) in properties.iter().filter(|(key, _)| !ROUTE_KEYS.contains(key)) {
            self.parsed.error(section, key, "unknown key");
        }
        let location = (section, properties);
        let host = self.required(location, "host", parse_host, "a host without a port");
        let prefix = self.required(location, "prefix", parse_prefix, "a path that begins and ends with /");
        let kind = self.required(location, "kind", RouteKind::parse, "one of idempotent, download, once, upload");
        let targets = self.parse_targets(section, properties);
        let mut timeout = default_timeout(targets.as_deref().unwrap_or_default(), &self.parsed.config.services);
        let options = self.parse_options(section, properties, &mut timeout);
        let is_anonymous = self.parse_anonymous(section, properties);
        if let (Some(host), Some(prefix)) = (&host, &prefix) {
            self.check_unique(section, name, host, prefix);
        }
        if let (Some(host), Some(prefix), Some(kind), Some(targets)) = (host, prefix, kind, targets) {
            let is_split = properties.contains_key("split");
            let name = name.into();
            let route = Route { name, host, prefix, kind, timeout, options, targets, is_anonymous, is_split };
            self.parsed.config.routes.push(route);
        }
    }

    /// Returns the value of a required key.
    fn required<T>(
        &mut self,
        (section, properties): (&str, &Properties),
        key: &str,
        parse: impl Fn(&str) -> Option<T>,
        expected: &str,
    ) -> Option<T> {
        let value = properties.get(key);
        let parsed = value.and_then(parse);
        if parsed.is_none() {
            let missing = if value.is_none() { "missing: " } else { "" };
            self.parsed.error(section, key, format!("{missing}expected {expected}"));
        }
        parsed
    }

    fn parse_options(&mut self, section: &str, properties: &Properties, timeout: &mut Duration) -> CallOptions {
        let mut options =
            CallOptions { attempts: DEFAULT_ATTEMPTS, priority: DEFAULT_PRIORITY, objective: DEFAULT_OBJECTIVE };
        for (key, value) in properties.iter() {
            let location = (section, key);
            match key {
                "timeout" => {
                    let value = parse_positive(value).filter(|timeout| *timeout <= MAX_TIMEOUT);
                    self.parsed.set(location, timeout, value, "a duration above zero and of at most 10m");
                }
                "objective" => {
                    self.parsed.set(
                        location,
                        &mut options.objective,
                        parse_positive(value),
                        "a duration such as 250ms",
                    );
                }
                "priority" => self.parsed.set(location, &mut options.priority, value.parse().ok(), "a whole number"),
                "attempts" => {
                    let value = value.parse().ok().filter(|attempts| *attempts > 0);
                    self.parsed.set(location, &mut options.attempts, value, "a whole number above 0");
                }
                _ => {}
            }
        }
        options
    }

    fn parse_anonymous(&mut self, section: &str, properties: &Properties) -> bool {
        match properties.get("anonymous") {
            None | Some("no") => false,
            Some("yes") => true,
            Some(_) => {
                self.parsed.error(section, "anonymous", "expected yes or no");
                false
            }
        }
    }

    fn parse_targets(&mut self, section: &str, properties: &Properties) -> Option<Vec<RouteTarget>> {
        let (key, targets) = match (properties.get("service"), properties.get("split")) {
            (Some(service), None) => ("service", vec![RouteTarget { service: service.into(), weight: 1 }]),
            (None, Some(split)) => match parse_weights(split) {
                Some(targets) => ("split", targets),
                None => {
                    self.parsed.error(section, "split", "expected services with whole weights such as a:90, b:10");
                    return None;
                }
            },
            (Some(_), Some(_)) => {
                self.parsed.error(section, "split", "expected either a service or a split, not both");
                return None;
            }
            (None, None) => {
                self.parsed.error(section, "service", "missing: expected a service or a split");
                return None;
            }
        };
        let mut named = FastSet::default();
        for target in &targets {
            let name = &target.service;
            if !named.insert(name) {
                self.parsed.error(section, key, format!("service '{name}' is named twice"));
            } else if !self.parsed.config.services.contains_key(name) {
                self.parsed.error(section, key, format!("no service named '{name}'"));
            }
        }
        if targets.iter().all(|target| target.weight == 0) {
            self.parsed.error(section, key, "the weights of its services add up to nothing");
        }
        Some(targets)
    }

    /// Checks that no earlier route matches the same requests.
    fn check_unique(&mut self, section: &str, name: &str, host: &str, prefix: &str) {
        let first = self.names.entry((host.into(), prefix.into())).or_insert_with(|| name.into());
        self.parsed.route_lookups += 1;
        // A repeated section is reported separately.
        if **first != *name {
            self.parsed.error(section, "prefix", format!("the same host and prefix as those of route '{first}'"));
        }
    }
}

fn parse_weights(text: &str) -> Option<Vec<RouteTarget>> {
    let target = |part: &str| {
        let (service, weight) = part.split_once(':')?;
        Some(RouteTarget { service: service.trim().into(), weight: weight.trim().parse().ok()? })
    };
    text.split(',').map(target).collect()
}

fn parse_host(text: &str) -> Option<Box<str>> {
    let host = text.to_ascii_lowercase();
    is_dotted_name(&host).then(|| host.into())
}

fn parse_prefix(text: &str) -> Option<Box<str>> {
    (is_path(text) && text.ends_with('/') && !text.contains('?')).then(|| text.into())
}

fn parse_positive(text: &str) -> Option<Duration> {
    parse_duration(text).filter(|duration| !duration.is_zero())
}

/// Returns whether the text is an absolute URI path, with or without a query.
pub(super) fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@%/?".contains(&b))
}

/// Returns whether the text is a valid name that may contain dots. Names of only dots are invalid because they are
/// relative segments in a path.
pub(super) fn is_dotted_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '.' | '-' | '_');
    name.chars().all(is_allowed) && name.chars().any(|c| c != '.')
}
