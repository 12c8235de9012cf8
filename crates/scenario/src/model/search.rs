//! Breadth-first search, which finds a shortest trace to a violation.

use {
    super::{Choice, ModelOptions, Report, World},
    crate::fakes::Violation,
    hemlockford_core::collections::FastMap,
    std::time::Instant,
};

/// Searches until a property is violated, all states are explored, or a bound is reached.
pub fn search(options: ModelOptions) -> Report {
    let started = Instant::now();
    let mut report = Report { bounds: options.bounds, ..Report::default() };
    let first = World::new(options);
    let root = first.fingerprint();
    let mut seen: FastMap<u64, Option<(u64, Choice)>> = [(root, None)].into_iter().collect();
    report.violations.clone_from(&first.history.violations);
    let mut frontier = vec![(root, first.clone())];
    let mut found = None;
    'search: while !frontier.is_empty() && report.violations.is_empty() {
        if report.depth >= options.bounds.steps || seen.len() >= options.bounds.states {
            break;
        }
        report.depth += 1;
        let mut next = Vec::new();
        for (parent, world) in frontier {
            for (choice, mut world) in world.successors() {
                report.transitions += 1;
                let fingerprint = world.fingerprint();
                // A step may violate a property and still lead to a state that is already known.
                if seen.contains_key(&fingerprint) && world.history.violations.is_empty() {
                    continue;
                }
                seen.insert(fingerprint, Some((parent, choice)));
                if options.check_progress && world.is_blocked() {
                    world.history.report(Violation::NoProgressOfMajority);
                }
                if !world.history.violations.is_empty() {
                    report.violations = world.history.violations;
                    found = Some(fingerprint);
                    frontier = Vec::new();
                    break 'search;
                }
                next.push((fingerprint, world));
            }
        }
        frontier = next;
    }
    report.is_complete = frontier.is_empty() && report.violations.is_empty();
    report.states = seen.len();
    let mut path = Vec::new();
    while let Some(Some((parent, choice))) = found.and_then(|at| seen.get(&at)) {
        path.push(*choice);
        found = Some(*parent);
    }
    let mut world = first;
    for choice in path.into_iter().rev() {
        report.trace.push(world.describe(choice));
        world = world.step(choice);
    }
    report.time = started.elapsed();
    report
}
