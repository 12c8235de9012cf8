//! Start of a fleet over links that lose, duplicate and reorder datagrams.

mod fleet_support;

use fleet_support::{World, ms};

const SEEDS: std::ops::Range<u64> = 0..20;

/// Guards against a fleet that does not start, or entries that miss servers or changes on lossy links.
#[test]
fn a_fleet_starts() {
    for seed in SEEDS {
        let mut world = World::new(seed, 3, 4);
        for index in 0..6 {
            world.add_server(&format!("s{index}"), "catalogue", 8_000 + index);
        }
        let led = world.run_until(ms(6_000), |world| world.leader().is_some());
        let id = world.submit(0, &fleet_support::text(1));
        let ready = world.run_until(ms(12_000), World::are_entries_exact);
        println!("seed {seed}: leader {led:?}, ready {ready:?}, {:?}", world.answers.get(&id));
    }
}
