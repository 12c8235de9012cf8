//! Items that exceed the limits of messages between instances. One of them must not take along the message, the stored
//! state or the process that carries it.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::{fleet::ReplicaAnswer, ledger::Command},
};

const SEEDS: std::ops::Range<u64> = 0..10;

/// Name that no record may have.
fn long_name(length: usize) -> String {
    "i".repeat(length)
}

/// Restarts the given machines and checks that every entry has all servers again.
fn restart(world: &mut World, replicas: bool, entries: bool) {
    for index in 0..world.replicas.len() {
        if replicas {
            world.kill_replica(index);
        }
    }
    world.run(ms(500));
    for index in 0..world.replicas.len() {
        if replicas {
            world.start_replica(index);
        }
    }
    for index in 0..world.entries.len() {
        if entries {
            world.start_entry(index);
        }
    }
    world.run_until(ms(8_000), World::are_entries_exact);
}

/// Guards against departures with the names of other writers that keep every entry from serving after a restart.
#[test]
fn departures_with_long_names_do_not_stop_the_fleet() {
    for seed in SEEDS {
        for (replicas, entries) in [(true, true), (true, false), (false, true)] {
            let mut world = World::settled(seed, 3, 4, 6);
            for number in 0..200 {
                let id = world.deregister(number % 3, &long_name(129 + 40 * number), Some(5));
                world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
                assert_eq!(world.answers[&id].1, ReplicaAnswer::Acknowledged, "seed {seed}");
            }
            restart(&mut world, replicas, entries);
        }
    }
}

/// Guards against a fleet that does not come up again with a log in which an earlier version has recorded the departure
/// of a server with a long name.
#[test]
fn a_recorded_departure_with_a_long_name_does_not_stop_the_fleet() {
    for seed in SEEDS {
        for is_running in [true, false] {
            let mut world = World::settled(seed, 3, 4, 6);
            let id = world.deregister(seed as usize % 3, "placeholder", Some(5));
            world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
            world.run(ms(1_000));
            for index in 0..3 {
                world.kill_replica(index);
                world.replicas[index].disk.edit_commands(|command| match command {
                    Command::Depart { server, incarnation, at } if &*server == "placeholder" => {
                        Command::Depart { server: long_name(130).into(), incarnation, at }
                    }
                    other => other,
                });
            }
            for index in 0..3 {
                world.start_replica(index);
            }
            world.run(ms(4_000));
            let recorded = world.replicas.iter().map(|node| {
                let replica = node.replica.as_ref().expect("running");
                replica.ledger().departed_incarnation(&long_name(130))
            });
            assert_eq!(recorded.collect::<Vec<_>>(), [Some(5); 3], "seed {seed}");
            // Entries that keep running receive the changes since the departure, all others the full directory.
            if is_running {
                world.add_server("late", "catalogue", 9_000);
                world.run_until(ms(8_000), World::are_entries_exact);
            }
            restart(&mut world, true, true);
        }
    }
}
