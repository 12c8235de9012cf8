//! Selection of the service of a request and of the options of its call.

use {
    crate::{dialect::Dialect, service_selection::ServiceSelection, split::WeightedSplit},
    actix_http::{RequestHead, header},
    hemlockford_core::{
        collections::FastMap,
        config::{Configuration, RouteKind, RouteTable},
        dispatch::CallOptions,
        ids::ServiceId,
    },
    rand::rngs::SmallRng,
    std::{sync::Arc, time::Duration},
};

/// Service and options that the configuration assigns to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SelectedService {
    pub(crate) service: ServiceId,
    /// Maximum time until the caller gets its response.
    pub(crate) timeout: Duration,
    pub(crate) terms: CallOptions,
    /// Kind of the route, if the service was selected by a route.
    pub(crate) kind: Option<RouteKind>,
}

/// A configuration, prepared for selecting services.
#[derive(Debug)]
pub(crate) struct Routing {
    config: Arc<Configuration>,
    table: RouteTable,
    /// Weighted splits by the name of the route.
    splits: FastMap<Box<str>, WeightedSplit>,
}

impl Routing {
    pub(crate) fn new(config: Arc<Configuration>, rng: &mut SmallRng) -> Self {
        let table = RouteTable::new(&config);
        let splits = config.routes.iter().filter(|route| route.targets.len() > 1);
        let splits = splits.map(|route| (route.name.clone(), WeightedSplit::new(&route.targets, rng))).collect();
        Self { config, table, splits }
    }

    pub(crate) fn config(&self) -> &Arc<Configuration> {
        &self.config
    }

    /// Returns whether a configuration is known. Changes of the configuration are numbered from 1.
    pub(crate) fn is_known(&self) -> bool {
        self.config.number > 0
    }

    /// Selects the service of a request.
    pub(crate) fn select(&self, head: &RequestHead, dialect: &Dialect) -> Option<SelectedService> {
        if dialect.selection == ServiceSelection::PathSegment && self.config.routes.is_empty() {
            let path = head.uri.path();
            let service = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or_default();
            let timeout = self.config.services.get(service)?.deadline;
            return Some(SelectedService {
                service: service.into(),
                timeout,
                terms: CallOptions::default(),
                kind: None,
            });
        }
        let host_header = || head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = head.uri.host().or_else(host_header);
        let route = self.table.find(host.unwrap_or_default().trim(), head.uri.path())?;
        let position = self.splits.get(&route.name).map_or(0, WeightedSplit::next_position);
        Some(SelectedService {
            service: route.targets.get(position)?.service.clone(),
            timeout: route.timeout,
            terms: route.options,
            kind: Some(route.kind),
        })
    }
}
