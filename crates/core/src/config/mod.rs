//! The configuration of the system: services and their dependencies, routes, customers and budgets.
//!
//! The configuration is written by the operators in INI format. It is parsed and checked as a whole; all errors are
//! reported together, each with its section, key and line.

mod api_key;
mod balancing_policy;
mod check;
mod checked_config;
mod claims;
mod config_error;
mod configuration;
mod customer;
mod dependency_graph;
mod level;
mod limits;
mod line_index;
mod measure;
mod normalized_source;
mod objective;
mod parse;
mod parse_route;
mod route;
mod route_kind;
mod route_table;
mod route_target;
mod service;
mod text_lines;
mod warm_up;
mod write;

pub(crate) use text_lines::{TextLine, text_lines};
pub use {
    api_key::ApiKey,
    balancing_policy::BalancingPolicy,
    checked_config::CheckedConfig,
    claims::ClaimsConfig,
    config_error::ConfigError,
    configuration::Configuration,
    customer::Customer,
    level::{FORMER_LEVEL, LEVEL, required_level},
    limits::Limits,
    measure::MeasureConfig,
    objective::Objective,
    route::Route,
    route_kind::RouteKind,
    route_table::RouteTable,
    route_target::RouteTarget,
    service::Service,
    warm_up::WarmUp,
};

/// Maximum number of services in a chain of dependencies.
pub const MAX_DEPENDENCY_DEPTH: usize = 24;

/// Size of a configuration in bytes from which on it is parsed and formatted on another thread than that of the control
/// plane. A shorter one takes a few milliseconds.
pub const LONG_CONFIG_BYTES: usize = 16 * 1_024;

/// Maximum size of a configuration in bytes.
pub const MAX_CONFIG_BYTES: usize = 1 << 20;
