//! Selection of the service of a request and of the options of its call.

use {
    crate::{
        credentials::{Credentials, Identity, UnknownKey},
        dialect::Dialect,
        service_selection::ServiceSelection,
        split::WeightedSplit,
    },
    actix_http::{RequestHead, header},
    hemlockford_core::{
        collections::FastMap,
        config::{Configuration, Route, RouteKind, RouteTable},
        dispatch::CallOptions,
        ids::ServiceId,
    },
    rand::rngs::SmallRng,
    std::{sync::Arc, time::Duration},
};

/// Highest priority that is told apart from lower ones when the priorities of customer and route are combined.
const MAX_RANKED_PRIORITY: u32 = u16::MAX as u32;

/// Service and options that the configuration assigns to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SelectedService {
    pub(crate) service: ServiceId,
    /// Maximum time until the caller gets its response.
    pub(crate) timeout: Duration,
    pub(crate) terms: CallOptions,
    /// Kind of the route, if the service was selected by a route.
    pub(crate) kind: Option<RouteKind>,
    pub(crate) identity: Identity,
}

/// Why no service is selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectionError {
    UnknownKey,
    UnknownService,
}

/// Returns the rank of a call of a customer: the priority of the customer decides, and that of the route between calls of
/// equally ranked customers.
fn rank(customer: u32, route: u32) -> u32 {
    let clamp = |priority: u32| priority.min(MAX_RANKED_PRIORITY);
    clamp(customer) << u16::BITS | clamp(route)
}

/// A configuration, prepared for selecting services.
#[derive(Debug)]
pub(crate) struct Routing {
    config: Arc<Configuration>,
    table: RouteTable,
    /// The keys of customers, if requests need keys.
    credentials: Option<Credentials>,
    /// Weighted splits by the name of the route.
    splits: FastMap<Box<str>, WeightedSplit>,
}

impl Routing {
    pub(crate) fn new(config: Arc<Configuration>, rng: &mut SmallRng) -> Self {
        let table = RouteTable::new(&config);
        let credentials = Credentials::new(&config);
        let splits = config.routes.iter().filter(|route| route.targets.len() > 1);
        let splits = splits.map(|route| (route.name.clone(), WeightedSplit::new(&route.targets, rng))).collect();
        Self { config, table, credentials, splits }
    }

    pub(crate) fn config(&self) -> &Arc<Configuration> {
        &self.config
    }

    /// Returns whether a configuration is known. Changes of the configuration are numbered from 1.
    pub(crate) fn is_known(&self) -> bool {
        self.config.number > 0
    }

    /// Determines on whose behalf a request is made.
    pub(crate) fn authenticate(&self, head: &RequestHead, dialect: &Dialect) -> Result<Identity, UnknownKey> {
        let Some(credentials) = &self.credentials else { return Ok(Identity::Unchecked) };
        let is_anonymous = !self.selects_by_path(dialect) && self.route(head).is_some_and(|route| route.is_anonymous);
        credentials.authenticate(&head.headers, dialect.credential_header.as_ref(), is_anonymous)
    }

    /// Returns whether requests need a key, except on anonymous routes.
    pub(crate) fn requires_keys(&self) -> bool {
        self.credentials.is_some()
    }

    /// Selects the service of a request. A path without a route is unknown whatever the key. A request without a valid key
    /// does not count in the split of a route.
    pub(crate) fn select(&self, head: &RequestHead, dialect: &Dialect) -> Result<SelectedService, SelectionError> {
        if !self.selects_by_path(dialect) && self.route(head).is_none() {
            return Err(SelectionError::UnknownService);
        }
        let identity = self.authenticate(head, dialect).map_err(|UnknownKey| SelectionError::UnknownKey)?;
        let mut selected = self.select_for(identity, head, dialect).ok_or(SelectionError::UnknownService)?;
        if let Some(priority) = selected.identity.holder().and_then(|holder| holder.priority) {
            selected.terms.priority = rank(priority, selected.terms.priority);
        }
        Ok(selected)
    }

    fn select_for(&self, identity: Identity, head: &RequestHead, dialect: &Dialect) -> Option<SelectedService> {
        if self.selects_by_path(dialect) {
            let path = head.uri.path();
            let service = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or_default();
            let timeout = self.config.services.get(service)?.deadline;
            let terms = CallOptions::default();
            return Some(SelectedService { service: service.into(), timeout, terms, kind: None, identity });
        }
        let route = self.route(head)?;
        let position = self.splits.get(&route.name).map_or(0, WeightedSplit::next_position);
        Some(SelectedService {
            service: route.targets.get(position)?.service.clone(),
            timeout: route.timeout,
            terms: route.options,
            kind: Some(route.kind),
            identity,
        })
    }

    fn selects_by_path(&self, dialect: &Dialect) -> bool {
        dialect.selection == ServiceSelection::PathSegment && self.config.routes.is_empty()
    }

    /// Returns the route of a request.
    fn route(&self, head: &RequestHead) -> Option<&Route> {
        let host_header = || head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = head.uri.host().or_else(host_header);
        self.table.find(host.unwrap_or_default().trim(), head.uri.path())
    }
}
