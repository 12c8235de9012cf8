//! Checks that concern more than one key of a text.

use {
    super::{MAX_DEPTH, parse::Parsed},
    crate::{collections::FastMap, ids::ServiceId},
};

/// Adds the faults of the text as a whole.
pub(super) fn check(parsed: &mut Parsed) {
    check_number(parsed);
    check_names(parsed);
    check_shares(parsed);
    if check_depth(parsed) {
        check_deadlines(parsed);
    }
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
        for dependency in &service.depends {
            if !parsed.text.services.contains_key(dependency) {
                faults.push((section(name), "depends".into(), format!("no service named '{dependency}'")));
            }
        }
        for customer in service.shares.keys() {
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
    let empty = services.filter(|(_, service)| !service.shares.is_empty() && service.shares.values().all(|s| *s == 0));
    let empty: Vec<_> = empty.map(|(name, _)| section(name)).collect();
    for section in empty {
        parsed.fault(&section, "", "the shares of its customers add up to nothing");
    }
}

/// Checks for cycles and chains that are too deep; returns whether there is no cycle.
fn check_depth(parsed: &mut Parsed) -> bool {
    let mut depths = FastMap::default();
    let mut names: Vec<ServiceId> = parsed.text.services.keys().cloned().collect();
    names.sort();
    for name in &names {
        let mut path = Vec::new();
        if let Err(cycle) = depth(parsed, name, &mut depths, &mut path) {
            let message = format!("cycle of dependencies: {}", cycle.join(" -> "));
            parsed.fault(&section(&cycle[0]), "depends", message);
            return false;
        }
    }
    for name in names {
        let depth = depths[&name];
        if depth > MAX_DEPTH {
            let message = format!("chain of {depth} services is deeper than {MAX_DEPTH}");
            parsed.fault(&section(&name), "depends", message);
        }
    }
    true
}

/// Returns the number of services on the longest chain from `name`, or the cycle that was met.
fn depth(
    parsed: &Parsed,
    name: &ServiceId,
    depths: &mut FastMap<ServiceId, usize>,
    path: &mut Vec<ServiceId>,
) -> Result<usize, Vec<ServiceId>> {
    if let Some(known) = depths.get(name) {
        return Ok(*known);
    }
    if let Some(start) = path.iter().position(|other| other == name) {
        let mut cycle = path[start..].to_vec();
        cycle.push(name.clone());
        return Err(cycle);
    }
    path.push(name.clone());
    let mut deepest = 0;
    if let Some(service) = parsed.text.services.get(name) {
        for dependency in &service.depends {
            deepest = deepest.max(depth(parsed, dependency, depths, path)?);
        }
    }
    path.pop();
    depths.insert(name.clone(), deepest + 1);
    Ok(deepest + 1)
}

fn check_deadlines(parsed: &mut Parsed) {
    let mut faults = Vec::new();
    for (name, service) in &parsed.text.services {
        for dependency in &service.depends {
            let Some(other) = parsed.text.services.get(dependency) else { continue };
            if service.deadline <= other.deadline {
                let message = format!(
                    "{} ms is not longer than the {} ms of '{dependency}', on which it depends",
                    service.deadline.as_millis(),
                    other.deadline.as_millis()
                );
                faults.push((section(name), message));
            }
        }
    }
    for (section, message) in faults {
        parsed.fault(&section, "deadline", message);
    }
}

fn section(service: &str) -> String {
    format!("service {service}")
}
