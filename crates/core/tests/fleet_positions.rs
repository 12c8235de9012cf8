//! Positions of the entries, by which they divide what a server takes from all of them.

mod fleet_support;

use fleet_support::{World, ms};

/// Fraction of datagrams that are lost.
const LOSS: f64 = 0.05;

fn are_distinct(world: &World) -> bool {
    let mut positions: Vec<_> = world.entries.iter().filter_map(|entry| entry.position).collect();
    positions.sort_unstable();
    positions == (0..world.entries.len() as u32).collect::<Vec<_>>()
}

/// Guards against entries that take the same part of a limit because they have the same position.
#[test]
fn entries_have_distinct_positions() {
    for seed in 0..10 {
        let mut world = World::settled(seed, 3, 12, 2);
        // An entry whose polls are lost uses another replica, and both count it for 5 s.
        world.links.loss = 0.0;
        world.run(ms(6_000));
        assert!(are_distinct(&world), "seed {seed}");
        world.links.loss = LOSS;
        world.add_entry();
        world.run_until(ms(6_000), are_distinct);
        world.kill_replica(seed as usize % 3);
        // The entries find other replicas, whose counts of the lost replica expire after 5 s.
        world.run(ms(1_000));
        world.run_until(ms(8_000), are_distinct);
    }
}
