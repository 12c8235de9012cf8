//! The operators' text: services, what each depends on, routes, customers and budgets.
//!
//! The text is the only lever of the operators. It is parsed and checked as a whole; all faults are
//! reported at once, each with its section, key and line.

mod balancing_policy;
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
mod route;
mod route_kind;
mod route_table;
mod route_target;
mod service;
mod write;

pub use {
    balancing_policy::BalancingPolicy, claims::ClaimsConfig, customer::Customer, error::ConfigError, limits::Limits,
    measure::MeasureConfig, model::Configuration, objective::Objective, route::Route, route_kind::RouteKind,
    route_table::RouteTable, route_target::RouteTarget, service::Service,
};

/// Longest permitted chain of dependencies, counted in services.
pub const MAX_DEPTH: usize = 24;

/// Largest text that is read, in bytes.
pub const MAX_CONFIG_BYTES: usize = 1 << 20;
