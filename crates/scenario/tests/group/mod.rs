//! Groups that the tests begin with.

use {
    hemlockford_scenario::group::{Group, GroupOptions},
    std::time::Duration,
};

pub const SECOND: Duration = Duration::from_secs(1);
/// Bound on the time until a group has the voters that it aims at, and every replica has the whole log.
pub const CONVERGENCE_LIMIT: Duration = Duration::from_secs(6);

/// A group of founders; it is settled if it aims at as many voters.
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

/// Runs a group for a while and then without proposals until it has settled.
pub fn converge(group: &mut Group, bound: Duration) {
    let is_busy = group.options.is_busy;
    group.run_for(SECOND / 2);
    group.options.is_busy = false;
    let has_converged = group.run_until_condition(bound, Group::has_converged);
    group.options.is_busy = is_busy;
    assert_eq!(group.checks.violations, [], "{:?}", group.options);
    assert!(
        has_converged,
        "not settled within {bound:?}: leader {:?}, voters {:?}, {:?}",
        group.leader(),
        group.voters(),
        group.options
    );
    group.checks.check_answers();
    assert_eq!(group.checks.violations, [], "{:?}", group.options);
}
