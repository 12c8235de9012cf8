//! Spreading of the addresses at which entries take calls from each other.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::{collections::FastSet, fleet::EntryEvent},
};

const SEEDS: std::ops::Range<u64> = 0..5;

/// Returns the entries that were named to an entry since the last call.
fn named(world: &mut World, entry: usize) -> FastSet<Box<str>> {
    std::mem::take(&mut world.entries[entry].relays).into_iter().map(|relay| relay.entry).collect()
}

/// Guards against entries that know only entries of their own data centre, all of which may have lost the servers.
#[test]
fn entries_know_entries_of_other_data_centres() {
    for entries in [6, 42] {
        for seed in SEEDS {
            let mut world = World::settled(seed, 3, entries, 3);
            (0..entries).for_each(|entry| drop(named(&mut world, entry)));
            world.run(ms(10_000));
            for entry in 0..entries {
                let named = named(&mut world, entry);
                assert!(!named.contains(&world.entries[entry].name), "seed {seed}");
                let is_remote = |other: &&fleet_support::Entry| {
                    named.contains(&other.name) && other.data_centre != world.entries[entry].data_centre
                };
                let remote = world.entries.iter().filter(is_remote).count();
                assert!(remote >= 3, "seed {seed}: entry {entry} of {entries} knows {named:?}");
            }
        }
    }
}

/// Guards against calls that are passed on to an entry which is stopping or has ended.
#[test]
fn an_entry_that_stops_is_no_longer_named() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 6, 3);
        let name = world.entries[2].name.clone();
        world.run(ms(5_000));
        world.entry_event(2, EntryEvent::Stopping);
        world.entries[4].link = None;
        let ended = world.entries[4].name.clone();
        world.run(ms(15_000));
        (0..6).for_each(|entry| drop(named(&mut world, entry)));
        world.run(ms(10_000));
        for entry in [0, 1, 3, 5] {
            let named = named(&mut world, entry);
            assert!(!named.is_empty() && !named.contains(&name) && !named.contains(&ended), "seed {seed}: {named:?}");
        }
    }
}
