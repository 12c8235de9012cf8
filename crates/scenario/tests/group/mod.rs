//! Groups used as the initial state of tests.

use {
    hemlockford_scenario::group::{Group, GroupOptions},
    std::time::Duration,
};

pub const SECOND: Duration = Duration::from_secs(1);
/// Time limit for a group to reach its target number of voters and for every replica to have the whole log.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(6);

/// Creates a group of founders, and waits for it to converge if the target number of voters equals the founders.
pub fn formed_group(founders: usize, options: GroupOptions) -> Group {
    let mut group = Group::new(options);
    let seeds: Vec<_> = (0..founders).collect();
    for _ in 0..founders {
        group.add(&seeds, true);
    }
    if options.voters == founders {
        converge(&mut group, CONVERGENCE_LIMIT);
    }
    group
}

/// Runs a group for 500 ms, and then without proposals until it has converged.
pub fn converge(group: &mut Group, limit: Duration) {
    let is_busy = group.options.is_busy;
    group.run_for(SECOND / 2);
    group.options.is_busy = false;
    let has_converged = group.run_until_condition(limit, Group::has_converged);
    group.options.is_busy = is_busy;
    assert_eq!(group.checks.violations, [], "{:?}", group.options);
    assert!(
        has_converged,
        "not converged within {limit:?}: leader {:?}, voters {:?}, {:?}",
        group.leader(),
        group.voters(),
        group.options
    );
    group.checks.check_answers();
    assert_eq!(group.checks.violations, [], "{:?}", group.options);
}
