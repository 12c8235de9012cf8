//! The service of a request and the terms of its call.

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

/// What the text says about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SelectedService {
    pub(crate) service: ServiceId,
    /// Longest time for which the caller is kept waiting.
    pub(crate) timeout: Duration,
    pub(crate) terms: CallOptions,
    /// Kind of the route, if a route selected the service.
    pub(crate) kind: Option<RouteKind>,
}

/// One text, prepared for requests.
#[derive(Debug)]
pub(crate) struct Routing {
    text: Arc<Configuration>,
    table: RouteTable,
    /// Splits by the name of the route.
    splits: FastMap<Box<str>, WeightedSplit>,
}

impl Routing {
    pub(crate) fn new(text: Arc<Configuration>, rng: &mut SmallRng) -> Self {
        let table = RouteTable::new(&text);
        let splits = text.routes.iter().filter(|route| route.targets.len() > 1);
        let splits = splits.map(|route| (route.name.clone(), WeightedSplit::new(&route.targets, rng))).collect();
        Self { text, table, splits }
    }

    pub(crate) fn text(&self) -> &Arc<Configuration> {
        &self.text
    }

    /// Returns whether a text is known; a change has a number from 1.
    pub(crate) fn is_known(&self) -> bool {
        self.text.number > 0
    }

    /// Selects the service of a request.
    pub(crate) fn select(&self, head: &RequestHead, dialect: &Dialect) -> Option<SelectedService> {
        if dialect.selection == ServiceSelection::PathSegment && self.text.routes.is_empty() {
            let path = head.uri.path();
            let service = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or_default();
            let timeout = self.text.services.get(service)?.deadline;
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
