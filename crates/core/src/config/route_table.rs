//! Lookup of the route of a request.

use {
    super::{Configuration, Route},
    crate::collections::FastMap,
    std::borrow::Cow,
};

/// Routes of one configuration, indexed by host and prefix. The time of a lookup does not depend on the number of
/// routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    hosts: FastMap<Box<str>, HostRoutes>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Indices of the routes by prefix.
    prefixes: FastMap<Box<str>, usize>,
    /// Length of the longest prefix in bytes. Longer parts of a path are not looked up, which bounds the cost of a path
    /// with many slashes.
    max_prefix_bytes: usize,
}

impl RouteTable {
    /// Creates the table of a configuration.
    pub fn new(config: &Configuration) -> Self {
        let mut hosts: FastMap<Box<str>, HostRoutes> = FastMap::default();
        for (position, route) in config.routes.iter().enumerate() {
            let host = hosts.entry(route.host.clone()).or_default();
            host.prefixes.entry(route.prefix.clone()).or_insert(position);
            host.max_prefix_bytes = host.max_prefix_bytes.max(route.prefix.len());
        }
        Self { routes: config.routes.clone(), hosts }
    }

    /// Returns the route of a host with the longest matching path prefix. The host may be in any case and may have a port.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::config::{Route, RouteKind, RouteTable, Configuration},
    ///     std::time::Duration,
    /// };
    /// let route = |name: &str, prefix: &str| Route {
    ///     name: name.into(),
    ///     host: "shop.example".into(),
    ///     prefix: prefix.into(),
    ///     kind: RouteKind::Idempotent,
    ///     timeout: Duration::from_secs(1),
    ///     options: Default::default(),
    ///     targets: Vec::new(),
    ///     is_anonymous: false,
    ///     is_split: false,
    /// };
    /// let routes = vec![route("all", "/"), route("kits", "/kits/")];
    /// let table = RouteTable::new(&Configuration { routes, ..Configuration::default() });
    /// let name = |host, path| table.find(host, path).map(|route| &*route.name);
    /// assert_eq!(name("Shop.Example:8080", "/kits/7"), Some("kits"));
    /// assert_eq!(name("shop.example", "/kits"), Some("all"));
    /// assert_eq!(name("other.example", "/kits/7"), None);
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host);
        let is_upper = |byte: u8| byte.is_ascii_uppercase();
        let host = if host.bytes().any(is_upper) { Cow::Owned(host.to_ascii_lowercase()) } else { Cow::Borrowed(host) };
        let routes = self.hosts.get(&*host)?;
        let bytes = path.as_bytes();
        let mut end = bytes.len().min(routes.max_prefix_bytes);
        // A slash is never part of a multi-byte character, so slicing after it is on a character boundary.
        while let Some(slash) = bytes[..end].iter().rposition(|byte| *byte == b'/') {
            if let Some(position) = routes.prefixes.get(&path[..=slash]) {
                return self.routes.get(*position);
            }
            end = slash;
        }
        None
    }
}

/// Removes the port of a host. Colons within the brackets of an IPv6 address do not start a port.
fn without_port(host: &str) -> &str {
    match host.rfind(':') {
        Some(colon) if host[colon + 1..].bytes().all(|byte| byte.is_ascii_digit()) => &host[..colon],
        _ => host,
    }
}
