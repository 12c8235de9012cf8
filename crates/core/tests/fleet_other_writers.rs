//! Announcements of other writers, which name no server to use and leave those of real servers alone.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::fleet::{ReplicaEvent, ServerRecord},
};

const SEEDS: std::ops::Range<u64> = 0..10;

/// Sends an announcement to every replica, as another writer does.
fn write(world: &mut World, record: &ServerRecord) {
    for replica in 0..world.replicas.len() {
        let (id, wall_ms) = (world.next_id(), world.wall_ms());
        world.replica_event(replica, ReplicaEvent::Announce { id, record: record.clone(), wall_ms });
    }
}

/// Guards against announcements with a service that the configuration does not name, under the id or the address of a
/// running server, which take that server out of use.
#[test]
fn an_unknown_service_takes_no_server_out_of_use() {
    for seed in SEEDS {
        for other_id in [Some("other"), None] {
            let mut world = World::settled(seed, 3, 4, 4);
            for round in 0..10 {
                for index in 0..4 {
                    let real = &world.servers[index].record;
                    let record = ServerRecord {
                        server: other_id.map_or(real.server.clone(), |id| format!("{id}-{index}").into()),
                        service: "nowhere".into(),
                        incarnation: real.incarnation + 1_000_000 + round,
                        sequence: round + 1,
                        ..real.clone()
                    };
                    write(&mut world, &record);
                }
                world.run(ms(700));
                assert!(world.are_entries_exact(), "seed {seed}, round {round}");
            }
            // The replicas keep their directories over a restart.
            for index in 0..3 {
                world.kill_replica(index);
                world.start_replica(index);
            }
            world.run_until(ms(8_000), World::are_entries_exact);
        }
    }
}

/// Guards against a server that stays out of use because another writer named its id or address before it started.
#[test]
fn a_server_replaces_what_another_writer_announced_before() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 2);
        for (server, port) in [("late", 9_100), ("other", 9_101)] {
            let record = ServerRecord {
                server: server.into(),
                service: "nowhere".into(),
                address: ([10, 0, 0, 1], port).into(),
                incarnation: world.servers[0].record.incarnation + 5_000_000,
                sequence: 9,
                ..world.servers[0].record.clone()
            };
            write(&mut world, &record);
        }
        // The record of the other writer times out in the second case.
        world.run(ms(1_000 + 12_000 * (seed % 2)));
        world.add_server("late", "catalogue", 9_100);
        world.add_server("later", "catalogue", 9_101);
        world.run_until(ms(4_000), |world| {
            world.entries.iter().all(|entry| entry.holds("late") && entry.holds("later"))
        });
    }
}
