//! A route: which requests go to which services, and on what terms.

use {
    super::{RouteKind, Target},
    crate::dispatch::CallTerms,
    std::time::Duration,
};

/// One route, section `[route NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Box<str>,
    /// Host that requests name, in lower case and without a port.
    pub host: Box<str>,
    /// Beginning of the path; it begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Attempts, rank and objective of its calls.
    pub terms: CallTerms,
    /// Services that requests are split among by weight; at least one.
    pub targets: Vec<Target>,
    /// Whether the text gives the targets as a split, even if there is only one.
    pub is_split: bool,
}
