//! Interrupted membership changes of a dynamic group: no second group forms, and no committed command is lost.

mod group;

use {
    group::{CONVERGENCE_LIMIT, SECOND, converge, formed_group},
    hemlockford_scenario::group::{Group, GroupOptions},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Random seeds.
const SEEDS: std::ops::Range<u64> = 0..60;
/// Number of faults in a random run.
const FAULTS: usize = 25;
/// Time limit to converge after all faults of a random run, with up to ten replicas.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);

/// Partitions the replicas into two sides.
fn split(group: &mut Group, side: &[usize]) {
    group.net.cuts.clear();
    for at in 0..group.replicas.len() {
        for other in (0..group.replicas.len()).filter(|other| side.contains(&at) != side.contains(other)) {
            group.net.cuts.extend([(at, other), (other, at)]);
        }
    }
}

/// Guards against two removed replicas that elect a leader together with a voter that missed the removals.
#[test]
fn two_removals_in_a_row_form_no_second_group() {
    for ms in (900..1_200).step_by(3) {
        let mut group = formed_group(5, GroupOptions { voters: 5, seed: ms, ..GroupOptions::default() });
        let leader = group.leader().unwrap();
        let others: Vec<_> = (0..5).filter(|at| *at != leader).collect();
        // The replicas restart with a lower target, one at a time, so that two of them are removed permanently.
        group.options.voters = 3;
        for at in others.iter().copied().chain([leader]) {
            group.kill(at);
            group.start(at);
            group.run_for(SECOND / 2);
        }
        group.run_until_condition(CONVERGENCE_LIMIT, |group| group.leader().is_some());
        group.run_for(SECOND);
        let leader = group.leader().unwrap();
        let others: Vec<_> = (0..5).filter(|at| *at != leader).collect();
        group.kill(others[0]);
        group.kill(others[1]);
        group.run_for(Duration::from_millis(ms));
        split(&mut group, &[leader, others[3]]);
        group.start(others[0]);
        group.start(others[1]);
        group.run_for(SECOND * 4);
        let leads = |at: usize| group.replicas[at].node.is_leader();
        // During a removal, it is possible that neither side has a majority.
        assert!(
            !((leads(leader) || leads(others[3])) && others[..3].iter().any(|at| leads(*at))),
            "{ms} ms: both sides have a leader"
        );
        assert_eq!(group.checks.violations, [], "{ms} ms");
        group.net.cuts.clear();
        converge_after_faults(&mut group, ms);
    }
}

/// Guards against a replacement that was started by a lost leader and is unknown to its successor.
#[test]
fn replacement_during_an_election() {
    for ms in (980..1_160).step_by(2) {
        let mut group = formed_group(3, GroupOptions { seed: ms, ..GroupOptions::default() });
        group.add(&[0, 1, 2], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        let leader = group.leader().unwrap();
        let voters = group.voters();
        let killed = voters.iter().copied().find(|at| *at != leader).unwrap();
        group.kill(killed);
        group.run_for(Duration::from_millis(ms));
        group.isolate(leader);
        // The replaced voter restarts on the side that holds an election.
        group.start(killed);
        group.run_for(SECOND * 4);
        assert_eq!(group.checks.violations, [], "{ms} ms");
        group.net.cuts.clear();
        converge_after_faults(&mut group, ms);
    }
}

/// Guards against untested combinations of faults: crashes, planned stops, freezes, cuts, lost data folders and new
/// replicas in any order, on a network that loses and delays messages.
#[test]
fn random_faults() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let voters = if seed % 3 == 0 { 5 } else { 3 };
        let jitter = Duration::from_millis(rng.random_range(0..40));
        let options = GroupOptions { voters, snapshot_entries: 40, jitter, loss: 3, seed, ..GroupOptions::default() };
        let mut group = formed_group(3, GroupOptions { loss: 0, ..options });
        group.options.loss = options.loss;
        // A data folder is lost only after the group has recovered from the previous loss.
        let mut may_lose = voters == 3;
        for _ in 0..FAULTS {
            let at = rng.random_range(0..group.replicas.len());
            let is_up = group.replicas[at].node.consensus.is_some();
            match rng.random_range(0..9) {
                0 => group.kill(at),
                1 if is_up => group.stop(at),
                2 => group.freeze(at, Duration::from_millis(rng.random_range(100..6_000))),
                3 => group.isolate(at),
                4 if may_lose && is_up => {
                    group.lose_disk(at);
                    may_lose = false;
                }
                5 if group.replicas.len() < 10 => {
                    group.add(&[0, 1, 2], false);
                }
                6 => group.net.cuts.clear(),
                _ if !is_up => group.start(at),
                _ => {}
            }
            group.run_for(Duration::from_millis(rng.random_range(5..1_500)));
            may_lose |= group.has_converged();
            assert_eq!(group.checks.violations, [], "seed {seed}");
        }
        while group.replicas.len() < 5 {
            group.add(&[0, 1, 2], false);
        }
        group.heal();
        converge_after_faults(&mut group, seed);
    }
}

/// Waits until the group has converged. Voters that returned before they were removed must leave as well, so that the
/// target is reached.
fn converge_after_faults(group: &mut Group, seed: u64) {
    group.run_for(SECOND * 3);
    group.options.is_busy = false;
    let has_converged = group.run_until_condition(RECOVERY_LIMIT, |group| {
        let last = group.checks.applied.last_key_value().map_or(0, |(index, _)| *index);
        group.voters().len() == group.options.voters && group.replicas.iter().all(|replica| replica.applied == last)
    });
    let applied: Vec<_> = (0..group.replicas.len()).map(|at| group.applied(at)).collect();
    assert!(has_converged, "seed {seed}: leader {:?}, voters {:?}, {applied:?}", group.leader(), group.voters());
    group.checks.check_answers();
    assert_eq!(group.checks.violations, [], "seed {seed}");
}
