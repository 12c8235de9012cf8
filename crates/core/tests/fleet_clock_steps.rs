//! Replicas that restart after the time of day was set back.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    hemlockford_core::fleet::ReplicaAnswer,
};

/// Guards against a replica that is ignored for ever, because its incarnation after the loss of its disk is lower than
/// before: the time of day was set back meanwhile.
#[test]
fn a_replica_that_lost_its_disk_returns_after_the_time_of_day_was_set_back() {
    for seed in 0..10 {
        let mut world = World::settled(seed, 3, 3, 3);
        let victim = seed as usize % 3;
        // Started an hour ahead, and again after the time was corrected.
        for (folder, process) in [(1_000, 1_000), (500, 500)] {
            world.lose_disk(victim);
            world.replicas[victim].disk.incarnation = folder;
            world.replicas[victim].incarnation = process;
            world.run(ms(500));
            world.start_replica(victim);
            world.run(ms(6_000));
        }
        world.kill_replica((victim + 1) % 3);
        world.run(ms(2_000));
        let id = world.submit((victim + 2) % 3, &text(2));
        world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
        let answer = &world.answers[&id].1;
        assert!(matches!(answer, ReplicaAnswer::Accepted { .. }), "seed {seed}: {answer:?}");
    }
}
