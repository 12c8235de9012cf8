//! Checks that concern more than one key of a configuration.

use {
    super::{MAX_DEPENDENCY_DEPTH, dependency_graph::DependencyGraph, parse::ParseState},
    crate::{
        collections::{FastMap, FastSet},
        ids::ServiceId,
    },
    std::time::Duration,
};

/// Checks the configuration as a whole and adds the errors that it finds.
pub(super) fn check(parsed: &mut ParseState) {
    check_number(parsed);
    check_names(parsed);
    check_shares(parsed);
    check_keys(parsed);
    let acyclic = check_depth(parsed);
    check_deadlines(parsed, &acyclic);
}

fn check_number(parsed: &mut ParseState) {
    let is_missing = parsed.line_index.line("change", "number") == 0;
    if is_missing {
        parsed.error("change", "number", "missing: each change needs a number above that of the one before");
    }
}

fn check_names(parsed: &mut ParseState) {
    let mut errors = Vec::new();
    for (name, service) in &parsed.config.services {
        for dependency in &service.dependencies {
            if !parsed.config.services.contains_key(dependency) {
                errors.push((section(name), "depends".into(), format!("no service named '{dependency}'")));
            }
        }
        for customer in service.customer_weights.keys() {
            if !parsed.config.customers.contains_key(customer) {
                errors.push((section(name), format!("share.{customer}"), format!("no customer named '{customer}'")));
            }
        }
    }
    for (section, key, message) in errors {
        parsed.error(&section, &key, message);
    }
}

fn check_shares(parsed: &mut ParseState) {
    let services = parsed.config.services.iter();
    let empty = services.filter(|(_, service)| {
        !service.customer_weights.is_empty() && service.customer_weights.values().all(|s| *s == 0)
    });
    let empty: Vec<_> = empty.map(|(name, _)| section(name)).collect();
    for section in empty {
        parsed.error(&section, "", "the shares of its customers add up to nothing");
    }
}

/// Checks that each API key belongs to one customer. The messages name the customers and not the key.
fn check_keys(parsed: &mut ParseState) {
    let mut customers: Vec<_> = parsed.config.customers.iter().collect();
    customers.sort_unstable_by_key(|(name, _)| *name);
    let mut owners = FastMap::default();
    let mut errors = Vec::new();
    for (name, customer) in customers {
        for key in customer.keys.iter().flatten() {
            match owners.insert(key, name) {
                Some(other) if other == name => errors.push((name.clone(), "a key is listed twice".into())),
                Some(other) => errors.push((name.clone(), format!("a key also belongs to customer '{other}'"))),
                None => {}
            }
        }
    }
    for (name, message) in errors {
        parsed.error(&format!("customer {name}"), "keys", message);
    }
}

/// Checks for dependency cycles and for chains that are too deep. Returns the services that are neither part of a cycle
/// nor depend on one.
fn check_depth(parsed: &mut ParseState) -> FastSet<ServiceId> {
    let graph = DependencyGraph::new(&parsed.config);
    let depths = graph.depths();
    for cycle in graph.cycles(&depths) {
        let message = format!("cycle of dependencies: {}", cycle.join(" -> "));
        parsed.error(&section(&cycle[0]), "depends", message);
    }
    let mut acyclic = FastSet::default();
    for (name, depth) in graph.names.into_iter().zip(depths) {
        let Some(depth) = depth else { continue };
        if depth > MAX_DEPENDENCY_DEPTH {
            let message = format!("chain of {depth} services is deeper than {MAX_DEPENDENCY_DEPTH}");
            parsed.error(&section(&name), "depends", message);
        }
        acyclic.insert(name);
    }
    acyclic
}

/// Checks that each deadline is longer than those of the dependencies. Cycles are skipped, because no deadlines along a
/// cycle could be valid.
fn check_deadlines(parsed: &mut ParseState, acyclic: &FastSet<ServiceId>) {
    let mut errors = Vec::new();
    for (name, service) in parsed.config.services.iter().filter(|(name, _)| acyclic.contains(*name)) {
        for dependency in &service.dependencies {
            let Some(other) = parsed.config.services.get(dependency) else { continue };
            if service.deadline <= other.deadline {
                let message = format!(
                    "{} is not longer than the {} of '{dependency}', on which it depends",
                    with_unit(service.deadline),
                    with_unit(other.deadline)
                );
                errors.push((section(name), message));
            }
        }
    }
    for (section, message) in errors {
        parsed.error(&section, "deadline", message);
    }
}

/// Formats a duration in milliseconds, or in microseconds if it is not a whole number of milliseconds.
fn with_unit(duration: Duration) -> String {
    match duration.as_micros() {
        micros if micros.is_multiple_of(1_000) => format!("{} ms", micros / 1_000),
        micros => format!("{micros} us"),
    }
}

fn section(service: &str) -> String {
    format!("service {service}")
}
