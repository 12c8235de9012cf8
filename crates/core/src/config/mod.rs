//! The operators' text: services, what each depends on, routes, customers and budgets.
//!
//! The text is the only lever of the operators. It is parsed and checked as a whole; all faults are
//! reported at once, each with its section, key and line.

mod check;
mod claims;
mod customer;
mod error;
mod graph;
mod limits;
mod lines;
mod locator;
mod measure;
mod model;
mod objective;
mod parse;
mod parse_route;
mod policy;
mod route;
mod route_kind;
mod route_table;
mod service;
mod target;
mod write;

pub use {
    claims::ClaimsConfig, customer::Customer, error::ConfigError, limits::Limits, measure::MeasureConfig,
    model::Configuration, objective::Objective, policy::Policy, route::Route, route_kind::RouteKind,
    route_table::RouteTable, service::Service, target::Target,
};

/// Longest permitted chain of dependencies, counted in services.
pub const MAX_DEPTH: usize = 24;

/// Largest text that is read, in bytes.
pub const MAX_CONFIG_BYTES: usize = 1 << 20;
