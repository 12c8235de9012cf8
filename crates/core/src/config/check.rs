//! Checks that concern more than one key of a text.

use {
    super::{MAX_DEPTH, graph::Graph, parse::Parsed},
    crate::{collections::FastSet, ids::ServiceId},
    std::time::Duration,
};

/// Adds the faults of the text as a whole.
pub(super) fn check(parsed: &mut Parsed) {
    check_number(parsed);
    check_names(parsed);
    check_shares(parsed);
    let acyclic = check_depth(parsed);
    check_deadlines(parsed, &acyclic);
}

fn check_number(parsed: &mut Parsed) {
    let is_missing = parsed.locator.line("change", "number") == 0;
    if is_missing {
        parsed.fault("change", "number", "missing: each change needs a number above that of the one before");
    }
}

fn check_names(parsed: &mut Parsed) {
    let mut faults = Vec::new();
    for (name, service) in &parsed.text.services {
        for dependency in &service.dependencies {
            if !parsed.text.services.contains_key(dependency) {
                faults.push((section(name), "depends".into(), format!("no service named '{dependency}'")));
            }
        }
        for customer in service.customer_weights.keys() {
            if !parsed.text.customers.contains_key(customer) {
                faults.push((section(name), format!("share.{customer}"), format!("no customer named '{customer}'")));
            }
        }
    }
    for (section, key, message) in faults {
        parsed.fault(&section, &key, message);
    }
}

fn check_shares(parsed: &mut Parsed) {
    let services = parsed.text.services.iter();
    let empty = services.filter(|(_, service)| {
        !service.customer_weights.is_empty() && service.customer_weights.values().all(|s| *s == 0)
    });
    let empty: Vec<_> = empty.map(|(name, _)| section(name)).collect();
    for section in empty {
        parsed.fault(&section, "", "the shares of its customers add up to nothing");
    }
}

/// Checks for cycles and for chains that are too deep; returns the services that neither are in a cycle nor
/// depend on one.
fn check_depth(parsed: &mut Parsed) -> FastSet<ServiceId> {
    let graph = Graph::new(&parsed.text);
    let depths = graph.depths();
    for cycle in graph.cycles(&depths) {
        let message = format!("cycle of dependencies: {}", cycle.join(" -> "));
        parsed.fault(&section(&cycle[0]), "depends", message);
    }
    let mut acyclic = FastSet::default();
    for (name, depth) in graph.names.into_iter().zip(depths) {
        let Some(depth) = depth else { continue };
        if depth > MAX_DEPTH {
            let message = format!("chain of {depth} services is deeper than {MAX_DEPTH}");
            parsed.fault(&section(&name), "depends", message);
        }
        acyclic.insert(name);
    }
    acyclic
}

/// Checks deadlines; along a cycle no deadline could be right.
fn check_deadlines(parsed: &mut Parsed, acyclic: &FastSet<ServiceId>) {
    let mut faults = Vec::new();
    for (name, service) in parsed.text.services.iter().filter(|(name, _)| acyclic.contains(*name)) {
        for dependency in &service.dependencies {
            let Some(other) = parsed.text.services.get(dependency) else { continue };
            if service.deadline <= other.deadline {
                let message = format!(
                    "{} is not longer than the {} of '{dependency}', on which it depends",
                    with_unit(service.deadline),
                    with_unit(other.deadline)
                );
                faults.push((section(name), message));
            }
        }
    }
    for (section, message) in faults {
        parsed.fault(&section, "deadline", message);
    }
}

/// Writes a duration in milliseconds, or in microseconds where it would lose some.
fn with_unit(duration: Duration) -> String {
    match duration.as_micros() {
        micros if micros.is_multiple_of(1_000) => format!("{} ms", micros / 1_000),
        micros => format!("{micros} us"),
    }
}

fn section(service: &str) -> String {
    format!("service {service}")
}
