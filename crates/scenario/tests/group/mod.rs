//! Groups that the tests begin with.

use {
    hemlockford_scenario::group::{Group, GroupOptions},
    std::time::Duration,
};

pub const SECOND: Duration = Duration::from_secs(1);
/// Bound on the time until a group has the voters that it aims at, and every replica has the whole log.
pub const SETTLED: Duration = Duration::from_secs(6);

/// A group of founders; it is settled if it aims at as many voters.
pub fn founded(founders: usize, options: GroupOptions) -> Group {
    let mut group = Group::new(options);
    let seeds: Vec<_> = (0..founders).collect();
    for _ in 0..founders {
        group.add(&seeds, true);
    }
    if options.voters == founders {
        settle(&mut group, SETTLED);
    }
    group
}

/// Runs a group for a while and then without proposals until it has settled.
pub fn settle(group: &mut Group, bound: Duration) {
    let is_busy = group.options.is_busy;
    group.run_for(SECOND / 2);
    group.options.is_busy = false;
    let is_settled = group.run_while(bound, Group::is_settled);
    group.options.is_busy = is_busy;
    assert_eq!(group.checks.violations, [], "{:?}", group.options);
    assert!(
        is_settled,
        "not settled within {bound:?}: leader {:?}, voters {:?}, {:?}",
        group.leader(),
        group.voters(),
        group.options
    );
    group.checks.finished();
    assert_eq!(group.checks.violations, [], "{:?}", group.options);
}
