//! Removal of API keys on all entries of a fleet, and after restarts.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    hemlockford_core::{config::Customer, fleet::ReplicaAnswer},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..25;

/// Number of changes after which each replica has taken a snapshot.
const SNAPSHOT_CHANGES: u64 = 300;

/// Time from the acknowledgement of a change to its effect on instances in touch.
const IN_FORCE: Duration = Duration::from_secs(2);

fn text_with_keys(number: u64, keys: &str) -> String {
    format!("{}[customer kovar]\nkeys = {keys}\n", text(number))
}

/// Returns whether an entry holds a key.
fn holds(world: &World, entry: usize, key: &str) -> bool {
    let customer: Option<&Customer> = world.entries[entry].customers.get("kovar");
    let mut keys = customer.and_then(|customer| customer.keys.as_deref()).into_iter().flatten();
    keys.any(|held| held.as_str() == key)
}

/// Submits a text to a replica and waits until it is acknowledged.
fn accept(world: &mut World, replica: usize, text: &str) {
    let id = world.submit(replica, text);
    let is_accepted = |world: &World| matches!(world.answers.get(&id), Some((_, ReplicaAnswer::Accepted { .. })));
    world.run_until(ms(9_000), is_accepted);
}

/// A settled fleet whose entries all hold the keys `k1` and `k2`.
fn with_keys(seed: u64) -> World {
    let mut world = World::settled(seed, 3, 4, 6);
    accept(&mut world, 1, &text_with_keys(2, "k1 k2"));
    world.run_until(ms(9_000), |world| (0..4).all(|entry| holds(world, entry, "k1") && holds(world, entry, "k2")));
    world
}

/// Guards against a removed key that an entry in touch still accepts later than the bound, and against the loss of one
/// that is not removed.
#[test]
fn a_removed_key_is_unknown_on_all_entries_within_the_bound() {
    for seed in SEEDS {
        let mut world = with_keys(seed);
        accept(&mut world, 2, &text_with_keys(3, "k2"));
        let bound = world.now + IN_FORCE;
        while world.now < bound {
            world.run(ms(20));
            assert!((0..4).all(|entry| holds(&world, entry, "k2")), "seed {seed}: a key of all changes is lost");
        }
        assert!(!(0..4).any(|entry| holds(&world, entry, "k1")), "seed {seed}: the removed key is accepted");
    }
}

/// Guards against an entry that accepts a removed key again after the loss of all processes, of which one replica has not
/// stored the removal and starts first.
#[test]
fn a_removed_key_stays_removed_after_a_cold_start() {
    for seed in SEEDS {
        let mut world = with_keys(seed);
        let outdated = seed as usize % 3;
        // Half of the fleets have the key in a snapshot, which replicas apply before they know of the removal.
        let last = if seed % 2 == 0 { 2 } else { 2 + SNAPSHOT_CHANGES };
        for number in 3..last {
            world.submit(outdated, &text_with_keys(number, "k1 k2"));
        }
        accept(&mut world, outdated, &text_with_keys(last.max(3), "k1 k2"));
        world.run(ms(1_000));
        let has_snapshot = world.replicas.iter().all(|node| node.disk.recovered().snapshot.is_some());
        assert_eq!(has_snapshot, last > 3, "seed {seed}");
        world.kill_replica(outdated);
        accept(&mut world, (outdated + 1) % 3, &text_with_keys(last.max(3) + 1, "k2"));
        world.first_start = false;
        (0..3).for_each(|replica| world.kill_replica(replica));
        world.entries.iter_mut().for_each(|entry| entry.link = None);
        world.run(ms(500));
        (0..4).for_each(|entry| world.start_entry(entry));
        world.start_replica(outdated);
        for step in 0..200 {
            if step == 30 {
                (0..3).filter(|replica| *replica != outdated).for_each(|replica| world.start_replica(replica));
            }
            world.run(ms(50));
            assert!(!(0..4).any(|entry| holds(&world, entry, "k1")), "seed {seed}: the removed key is accepted again");
        }
        assert!((0..4).all(|entry| holds(&world, entry, "k2")), "seed {seed}: the keys are not known again");
    }
}
