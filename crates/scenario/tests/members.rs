//! Membership of a dynamic group: joining, replacement, growth and discovery of the group.

mod group;

use {
    group::{CONVERGENCE_LIMIT, SECOND, converge, formed_group},
    hemlockford_scenario::group::{Group, GroupOptions},
};

/// Guards against an unreachable voter that is never replaced, so that the next loss stops the group.
#[test]
fn unreachable_voters_are_replaced_one_after_another() {
    let mut group = formed_group(3, GroupOptions::default());
    for at in 0..6 {
        let learner = group.add(&[0, 1, at], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        assert!(!group.replicas[learner].is_voter(), "at the target size a new replica is a learner");
        group.kill(at);
        converge(&mut group, CONVERGENCE_LIMIT);
        assert_eq!(group.voters(), [at + 1, at + 2, at + 3]);
    }
}

/// Guards against a voter that comes back while it is replaced and stays as a spare one, which costs a majority of
/// three and an acknowledgement more.
#[test]
fn returning_voter_leaves_no_surplus_voter() {
    for seed in 0..10 {
        let mut group = formed_group(3, GroupOptions { seed, ..GroupOptions::default() });
        let learner = group.add(&[0, 1, 2], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        let leader = group.leader().unwrap();
        let killed = (leader + 1) % 3;
        group.kill(killed);
        while group.voters().len() < 4 {
            group.run_for(SECOND / 4_000);
            assert!(group.now < SECOND * 20, "seed {seed}: not replaced");
        }
        // The admission of the learner is pending until the voter returns.
        group.isolate(learner);
        group.start(killed);
        group.run_for(SECOND / 3);
        group.net.cuts.clear();
        group.run_for(SECOND / 10);
        assert_eq!(group.voters(), [0, 1, 2, 3], "seed {seed}");
        converge(&mut group, CONVERGENCE_LIMIT);
        assert!(group.voters().contains(&leader) && group.leader() == Some(leader), "seed {seed}");
    }
}

/// Guards against a planned stop that loses proposals, and against a stopped voter that is not replaced.
#[test]
fn planned_replacement_loses_no_proposal() {
    let mut group = formed_group(3, GroupOptions::default());
    for _ in 0..3 {
        group.add(&[0, 1, 2], false);
    }
    converge(&mut group, CONVERGENCE_LIMIT);
    for _ in 0..3 {
        let leader = group.leader().unwrap();
        group.options.is_busy = false;
        let id = group.propose(leader);
        group.stop(leader);
        group.run_for(SECOND / 4);
        assert!(group.leader().is_some_and(|next| next != leader), "no new leader within 250 ms");
        assert!(group.replicas[leader].consensus().is_none(), "the stopped replica is still running");
        assert!(matches!(group.checks.answers.get(&id), Some(result) if format!("{result:?}").contains("Committed")));
        group.options.is_busy = true;
        converge(&mut group, CONVERGENCE_LIMIT);
        assert!(!group.voters().contains(&leader));
    }
}

/// Guards against a new data folder that counts as the lost one, and against a replacement that counts the lost one.
#[test]
fn lost_disk_and_replacement() {
    let mut group = formed_group(3, GroupOptions { snapshot_entries: 32, ..GroupOptions::default() });
    group.add(&[0, 1, 2], false);
    converge(&mut group, CONVERGENCE_LIMIT);
    for round in 0..3 {
        let voters = group.voters();
        let (lost, replaced) = (voters[round % 3], voters[(round + 1) % 3]);
        group.lose_disk(lost);
        converge(&mut group, CONVERGENCE_LIMIT);
        assert!(
            group.voters().contains(&lost),
            "a replica that lost its data folder is admitted again under the same name"
        );
        group.kill(replaced);
        converge(&mut group, CONVERGENCE_LIMIT);
        assert!(!group.voters().contains(&replaced));
        group.start(replaced);
        converge(&mut group, CONVERGENCE_LIMIT);
    }
}

/// Guards against a group that does not grow to its target size, or loses commands as it grows.
#[test]
fn three_founders_grow_to_five_voters() {
    let mut group = formed_group(3, GroupOptions { voters: 5, ..GroupOptions::default() });
    group.run_for(SECOND * 2);
    assert_eq!(group.voters(), [0, 1, 2]);
    for _ in 0..4 {
        group.add(&[0, 1, 2], false);
    }
    converge(&mut group, CONVERGENCE_LIMIT);
    assert_eq!(group.voters().len(), 5);
    let voters = group.voters();
    group.kill(voters[0]);
    group.kill(voters[1]);
    converge(&mut group, CONVERGENCE_LIMIT);
    assert_eq!(group.voters().len(), 5, "two voters lost at once are replaced");
}

/// Guards against a replica that was replaced while frozen and then votes, becomes leader or deposes the leader.
#[test]
fn resumed_replaced_replica_becomes_a_learner() {
    for at in 0..3 {
        let mut group = formed_group(3, GroupOptions::default());
        group.add(&[0, 1, 2], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        group.freeze(at, SECOND * 8);
        group.run_for(SECOND * 7);
        assert_eq!(group.voters().len(), 3);
        assert!(!group.voters().contains(&at));
        let term = |group: &Group| group.replicas[group.leader().unwrap()].consensus().unwrap().term();
        let before = term(&group);
        converge(&mut group, CONVERGENCE_LIMIT);
        group.run_for(SECOND * 3);
        converge(&mut group, CONVERGENCE_LIMIT);
        assert_eq!(term(&group), before, "the resumed replica deposed the leader");
        assert!(!group.replicas[at].is_voter());
    }
}

/// Guards against a second group formed by replicas that were all replaced while they were down.
#[test]
fn replaced_founders_form_no_second_group() {
    let mut group = formed_group(3, GroupOptions::default());
    for at in 0..3 {
        group.add(&[0, 1, 2], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        group.kill(at);
        converge(&mut group, CONVERGENCE_LIMIT);
    }
    assert_eq!(group.voters(), [3, 4, 5]);
    // The founders can reach each other, but none of the new voters.
    for old in 0..3 {
        for new in 3..6 {
            group.net.cuts.extend([(old, new), (new, old)]);
        }
        group.start(old);
    }
    group.run_for(SECOND * 10);
    assert!((0..3).all(|old| !group.replicas[old].node.is_leader()), "the replaced founders elected a leader");
    group.net.cuts.clear();
    converge(&mut group, CONVERGENCE_LIMIT);
    assert_eq!(group.voters(), [3, 4, 5]);
}

/// Guards against a founder with an empty data folder that forms a group although the system was started before.
#[test]
fn founder_that_may_not_form_a_group_forms_none() {
    for (excluded, is_formed) in [(0, false), (1, false), (2, false), (3, true)] {
        let mut group = Group::new(GroupOptions::default());
        for at in 0..3 {
            group.add(&[0, 1, 2], at != excluded);
        }
        group.run_for(SECOND * 10);
        assert_eq!(group.leader().is_some(), is_formed, "replica {excluded} may not form a group");
        assert!(is_formed || group.replicas.iter().all(|replica| replica.consensus().unwrap().last_index() == 0));
    }
}

/// Guards against a replica outside the founders that takes part in forming a group.
#[test]
fn replica_that_is_not_a_founder_forms_no_group() {
    let mut group = Group::new(GroupOptions::default());
    let alone = group.add(&[1, 2, 3], true);
    for _ in 0..2 {
        group.add(&[1, 2, 3], true);
    }
    group.run_for(SECOND * 5);
    assert_eq!(group.leader(), None, "founder 3 is missing");
    group.add(&[1, 2, 3], true);
    converge(&mut group, CONVERGENCE_LIMIT);
    assert_eq!(group.voters(), [1, 2, 3]);
    assert!(!group.replicas[alone].is_voter());
}

/// Guards against a replica that does not find the leader because some of its seeds are outdated or down.
#[test]
fn leader_is_found_through_any_live_replica() {
    let mut group = formed_group(3, GroupOptions::default());
    for _ in 0..2 {
        group.add(&[0, 1, 2], false);
    }
    converge(&mut group, CONVERGENCE_LIMIT);
    let leader = group.leader().unwrap();
    let follower = group.voters().into_iter().find(|at| *at != leader).unwrap();
    let learner = (0..5).find(|at| !group.voters().contains(at)).unwrap();
    for via in [follower, learner] {
        // The other seeds name replicas that do not exist.
        let joined = group.add(&[90, 91, via], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        let leader = Group::name(group.leader().unwrap());
        let consensus = group.replicas[joined].consensus().unwrap();
        assert_eq!(consensus.leader(), Some(&leader), "no leader found through {via}");
        assert!(group.applied(joined) > 0);
    }
}

/// Guards against a group that cannot be found once all its founders have been replaced.
#[test]
fn replaced_group_is_found_by_any_live_seed() {
    let mut group = formed_group(3, GroupOptions::default());
    for at in 0..3 {
        group.add(&[0, 1, 2], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        group.kill(at);
        converge(&mut group, CONVERGENCE_LIMIT);
    }
    for seed in 3..6 {
        let joined = group.add(&[0, 1, seed], false);
        converge(&mut group, CONVERGENCE_LIMIT);
        assert!(group.applied(joined) > 0);
    }
    // All processes restart with their initial seeds, which are all down.
    for at in 3..9 {
        group.kill(at);
    }
    for at in 3..9 {
        group.start(at);
    }
    converge(&mut group, CONVERGENCE_LIMIT);
}

/// Guards against replicas that do not discover each other, so that server records do not reach all of them.
#[test]
fn every_replica_knows_the_others() {
    let mut group = formed_group(3, GroupOptions::default());
    for _ in 0..3 {
        group.add(&[0, 1, 2], false);
    }
    converge(&mut group, CONVERGENCE_LIMIT);
    group.run_for(SECOND);
    let all: Vec<_> = (0..6).map(Group::name).collect();
    for replica in &group.replicas {
        let consensus = replica.consensus().unwrap();
        let mut known = consensus.replicas();
        known.sort_unstable();
        assert_eq!(known, all);
        assert_eq!(consensus.voters().count(), 3);
    }
    let leader = group.leader().unwrap();
    group.kill(leader);
    group.run_for(SECOND * 13);
    for replica in group.replicas.iter().filter(|replica| replica.consensus().is_some()) {
        assert_eq!(replica.consensus().unwrap().replicas().len(), 5, "a dead replica is removed");
    }
}
