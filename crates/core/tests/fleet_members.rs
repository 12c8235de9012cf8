//! Replicas that are lost and replaced: no accepted change is lost, and new changes are accepted once the group is
//! stable.

mod fleet_support;

use {
    fleet_support::{World, ms, operator::Operator, text},
    hemlockford_core::fleet::ReplicaAnswer,
};

const SEEDS: std::ops::Range<u64> = 0..12;
/// Time without faults after which the group counts as stable.
const STABLE_AFTER: std::time::Duration = std::time::Duration::from_secs(3);

/// Time limit for the replacement of an unresponsive voter, including an election if one is needed.
const REPLACEMENT_LIMIT: std::time::Duration = std::time::Duration::from_secs(6);

/// Guards against a fleet that stops permanently after its initial replicas are lost one after another.
#[test]
fn learners_replace_lost_voters() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        let mut world = World::settled(seed, 6, 3, 4);
        let mut operator = Operator::default();
        for lost in 0..3 {
            operator.run(&mut world, ms(500));
            world.kill_replica(lost);
            operator.run(&mut world, ms(500));
            world.run(STABLE_AFTER);
            operator.change(&mut world);
            assert!(world.has_voters(), "seed {seed}: {:?}", world.voters());
        }
        assert_eq!(world.voters(), [3, 4, 5], "seed {seed}");
        operator.check(&mut world);
        assert!(world.are_entries_exact(), "seed {seed}");
    }
}

/// Guards against a group of five voters that does not survive the loss of two, of which one is killed and one loses
/// its disk.
#[test]
fn five_voters_survive_the_loss_of_two() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        let mut world = World::settled_with_voters(seed, 5, 7, 3, 4);
        let mut operator = Operator::default();
        for round in 0..3 {
            let voters = world.voters();
            assert_eq!(voters.len(), 5, "seed {seed}");
            let leader = world.leader().expect("leader");
            let other = voters[(seed as usize + round) % 5];
            operator.run(&mut world, ms(500));
            world.kill_replica(leader);
            if other != leader {
                world.lose_disk(other);
            }
            operator.run(&mut world, ms(300));
            world.run(STABLE_AFTER);
            operator.change(&mut world);
            world.start_replica(leader);
            if other != leader {
                world.start_replica(other);
            }
            world.run(ms(6_000));
        }
        operator.check(&mut world);
        assert!(world.has_voters(), "seed {seed}: {:?}", world.voters());
    }
}

/// Guards against a replica that restarts with an empty disk and does not become a voter again, or reverts changes.
#[test]
fn a_replica_with_a_lost_disk_becomes_a_voter_again() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        for first_start in [true, false] {
            let mut world = World::settled(seed, 3, 3, 4);
            world.first_start = first_start;
            let mut operator = Operator::default();
            for round in 0..4 {
                let lost = if round == 1 { world.leader().expect("leader") } else { (seed as usize + round) % 3 };
                operator.run(&mut world, ms(400));
                world.lose_disk(lost);
                operator.run(&mut world, ms(100 + 400 * round as u64));
                world.start_replica(lost);
                operator.run(&mut world, ms(300));
                world.run(STABLE_AFTER);
                operator.change(&mut world);
                assert!(world.has_voters(), "seed {seed}: {:?}", world.voters());
            }
            operator.check(&mut world);
            assert!(world.are_entries_exact(), "seed {seed}");
        }
    }
}

/// Guards against a replica that stays a voter after it is replaced by one with another name, or whose replacement does
/// not become a voter. The new replica is started before or after the old one is killed.
#[test]
fn replicas_are_replaced_under_other_names() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        for is_new_first in [true, false] {
            let mut world = World::settled(seed, 3, 3, 4);
            world.first_start = false;
            let mut operator = Operator::default();
            for old in 0..3 {
                if !is_new_first {
                    world.kill_replica(old);
                    operator.run(&mut world, ms(1_500));
                }
                let new = world.add_replica();
                operator.run(&mut world, ms(1_500));
                if is_new_first {
                    world.kill_replica(old);
                }
                world.run(STABLE_AFTER);
                operator.change(&mut world);
                world.run_until(REPLACEMENT_LIMIT, |world| world.voters().contains(&new) && world.has_voters());
                world.seeds[old] = world.replicas[new].name.clone();
            }
            operator.check(&mut world);
            assert!(world.are_entries_exact(), "seed {seed}");
        }
    }
}

/// Guards against a fleet that new instances cannot join, or that cannot restart, when only one seed is alive.
#[test]
fn one_live_seed_is_enough() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        let mut world = World::settled(seed, 6, 3, 4);
        let mut operator = Operator::default();
        world.first_start = false;
        for old in 0..3 {
            world.kill_replica(old);
            world.run(ms(4_000));
        }
        world.seeds = vec!["r0".into(), "r1".into(), "r4".into()];
        let added = world.add_replica();
        world.add_entry();
        operator.run(&mut world, ms(300));
        world.run(STABLE_AFTER);
        operator.change(&mut world);
        operator.read(&mut world, added);
        for replica in 3..=added {
            world.kill_replica(replica);
        }
        world.run(ms(1_000));
        for replica in 3..=added {
            world.start_replica(replica);
        }
        world.run(STABLE_AFTER);
        operator.change(&mut world);
        operator.check(&mut world);
        assert!(world.are_entries_exact(), "seed {seed}");
    }
}

/// Guards against loss of a change that was just accepted when all replicas are killed and one loses its disk.
#[test]
fn an_accepted_change_survives_the_loss_of_all_processes_and_one_disk() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        for (voters, replicas) in [(3, 3), (3, 4), (5, 5)] {
            for lost in 0..voters {
                let mut world = World::settled_with_voters(seed, voters, replicas, 3, 4);
                assert!(world.has_voters(), "seed {seed}: {:?}", world.voters());
                world.first_start = seed % 2 == 0;
                let mut operator = Operator::default();
                operator.submit_until_accepted(&mut world);
                for replica in 0..replicas {
                    world.kill_replica(replica);
                }
                world.lose_disk(world.seed as usize % 2 * (replicas - voters) + lost);
                world.run(ms(200));
                for replica in 0..replicas {
                    world.start_replica(replica);
                }
                world.run(STABLE_AFTER);
                operator.change(&mut world);
                operator.check(&mut world);
            }
        }
    }
}

/// Guards against a leader that keeps its leadership while its disk is full or stuck, temporarily or permanently.
#[test]
fn a_stuck_disk_of_the_leader_does_not_block_changes() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        for time in [700, 1_500, 20_000] {
            let mut world = World::settled(seed, 3 + seed as usize % 2, 3, 4);
            let mut operator = Operator::default();
            let leader = world.leader().expect("leader");
            world.set_stuck(leader, true);
            operator.run(&mut world, ms(300));
            world.run(STABLE_AFTER);
            operator.change(&mut world);
            world.run(ms(time));
            world.set_stuck(leader, false);
            operator.run(&mut world, ms(300));
            world.run(STABLE_AFTER);
            operator.change(&mut world);
            // The second time the process is killed, and writes that are not durable are lost.
            let leader = world.leader().expect("leader");
            world.set_stuck(leader, true);
            operator.run(&mut world, ms(time.min(2_000)));
            world.kill_replica(leader);
            world.set_stuck(leader, false);
            world.start_replica(leader);
            world.run(STABLE_AFTER);
            operator.change(&mut world);
            operator.check(&mut world);
        }
    }
}

/// Guards against two operators whose different changes are both accepted with the same number.
#[test]
fn a_change_number_is_accepted_once() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        let mut world = World::settled(seed, 4, 3, 4);
        let texts = |number| [text(number), format!("{}[customer kovar]\n", text(number))];
        let mut submitted = Vec::new();
        for number in 2..10 {
            let leader = world.leader();
            for replica in world.running() {
                for (operator, text) in texts(number).into_iter().enumerate() {
                    submitted.push((number, operator, world.submit((replica + operator) % 4, &text)));
                }
            }
            world.run(ms(world.seed % 7));
            if let (Some(leader), 1) = (leader, number % 3) {
                world.kill_replica(leader);
                world.run(ms(3_000));
                world.start_replica(leader);
            }
            world.run(STABLE_AFTER);
            let read = world.read(number as usize % 4);
            world.run(ms(1_000));
            let mut winners: Vec<_> = submitted
                .iter()
                .filter(|(of, _, id)| {
                    *of == number && matches!(world.answers.get(id), Some((_, ReplicaAnswer::Accepted { .. })))
                })
                .map(|(_, operator, _)| *operator)
                .collect();
            winners.dedup();
            winners.sort_unstable();
            winners.dedup();
            assert!(winners.len() <= 1, "seed {seed}: both texts of {number} were accepted");
            // An operator without an answer resubmits and learns which change was accepted.
            let repeated: Vec<_> = texts(number).iter().map(|text| world.submit(number as usize % 4, text)).collect();
            world.run(ms(4_000));
            let is_accepted = |id: &u64| matches!(world.answers[id].1, ReplicaAnswer::Accepted { .. });
            let now: Vec<_> = (0..2).filter(|operator| is_accepted(&repeated[*operator])).collect();
            assert_eq!(now.len(), 1, "seed {seed}: change {number}: {repeated:?}");
            assert!(winners.is_empty() || winners == now, "seed {seed}: change {number} was reverted");
            let other = &world.answers[&repeated[1 - now[0]]].1;
            assert!(matches!(other, ReplicaAnswer::Conflict { .. }), "seed {seed}: {other:?}");
            if let Some(winner) = winners.first() {
                let current = &world.answers[&read].1;
                let expected = &texts(number)[*winner];
                assert!(
                    matches!(current, ReplicaAnswer::Current { text, .. } if **text == **expected),
                    "seed {seed}: {current:?}"
                );
            }
        }
    }
}
