//! Disks that are full for a few seconds each, one after another.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    hemlockford_core::fleet::ReplicaAnswer,
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::time::Duration,
};

/// Time within which a valid change is acknowledged while the group is stable.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_secs(4);

/// Guards against a group that accepts no change any more after the disk of each replica was full once, never two of them
/// at the same time.
#[test]
fn changes_are_accepted_after_each_disk_was_full_in_turn() {
    for seed in 0..60 {
        for (voters, replicas) in [(3, 3), (5, 6)] {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut world = World::settled_with_voters(seed, voters, replicas, 3, 2);
            let mut order: Vec<_> = (0..replicas).collect();
            order.shuffle(&mut rng);
            let mut number = 1;
            for round in 0..replicas + 2 {
                // The disk of the leader is full in every other round, as it matters most.
                let leader = world.leader().filter(|_| round % 2 == 0);
                let replica = leader.unwrap_or(order[round % replicas]);
                world.set_stuck(replica, true);
                for _ in 0..rng.random_range(2..6) {
                    number += 1;
                    let at = rng.random_range(0..replicas);
                    world.submit(at, &text(number));
                    world.run(ms(rng.random_range(200..1_200)));
                }
                world.set_stuck(replica, false);
                world.run(ms(rng.random_range(0..800)));
            }
            // Three seconds without a fault make the group stable again.
            world.run(ms(3_000));
            for replica in 0..replicas {
                number += 1;
                let id = world.submit(replica, &text(number));
                world.run_until(ACKNOWLEDGE_WITHIN, |world| world.answers.contains_key(&id));
                let answer = &world.answers[&id].1;
                assert!(matches!(answer, ReplicaAnswer::Accepted { .. }), "seed {seed}, {replica}: {answer:?}");
                world.run_until(ms(2_000), |world| world.entries.iter().all(|entry| entry.change == number));
            }
        }
    }
}
