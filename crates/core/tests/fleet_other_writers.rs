//! Announcements of other writers, which name no server to use and leave those of real servers alone.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::fleet::{ReplicaAnswer, ReplicaEvent, ServerRecord},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..10;

/// Sends an announcement to every replica, as another writer does. Returns the ids of the requests.
fn write(world: &mut World, record: &ServerRecord) -> Vec<u64> {
    let replicas = 0..world.replicas.len();
    let send = |replica| {
        let (id, wall_ms) = (world.next_id(), world.wall_ms());
        world.replica_event(replica, ReplicaEvent::Announce { id, record: record.clone(), wall_ms });
        id
    };
    replicas.map(send).collect()
}

/// Kills all replicas at once and starts them again, with their disks.
fn restart_replicas(world: &mut World) {
    world.first_start = false;
    (0..3).for_each(|replica| world.kill_replica(replica));
    world.run(ms(900));
    (0..3).for_each(|replica| world.start_replica(replica));
}

/// Submits a configuration that names services.
fn configure(world: &mut World, number: u64, services: &[&str]) {
    let sections: String = services.iter().map(|name| format!("[service {name}]\n")).collect();
    let leader = world.leader().expect("leader");
    let id = world.submit(leader, &format!("[change]\nnumber = {number}\n{sections}"));
    world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
    assert!(matches!(world.answers[&id].1, ReplicaAnswer::Accepted { .. }), "{:?}", world.answers[&id]);
}

/// Makes a server announce to a replica that it is draining, until that is acknowledged.
fn drain(world: &mut World, server: usize, replica: usize) {
    world.drain(server, replica);
    world.run_until(ms(6_000), |world| world.servers[server].acknowledged_at.is_some());
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

/// Guards against a draining announcement with a service that the configuration does not name, under the id of a running
/// server, which is recorded as the departure of that server.
#[test]
fn a_draining_record_of_an_unknown_service_ends_no_server() {
    for seed in SEEDS {
        for (later, port, restarts) in [
            (0, None, false),
            (0, None, true),
            (0, Some(9_000), false),
            (1_000_000, None, false),
            (1_000_000, None, true),
        ] {
            let mut world = World::settled(seed, 3, 4, 4);
            if restarts {
                // Replicas that have just started know neither the configuration nor all servers.
                restart_replicas(&mut world);
                world.run(ms(seed * 40));
            }
            for index in 0..4 {
                let real = &world.servers[index].record;
                let mut record = ServerRecord {
                    service: "nowhere".into(),
                    incarnation: real.incarnation + later,
                    sequence: real.sequence + 20,
                    is_draining: true,
                    ..real.clone()
                };
                if let Some(port) = port {
                    record.address.set_port(port + index as u16);
                }
                let ids = write(&mut world, &record);
                world.run(ms(50));
                let is_acknowledged =
                    |id: &u64| matches!(world.answers.get(id), Some((_, ReplicaAnswer::Acknowledged)));
                assert!(restarts || !ids.iter().any(is_acknowledged), "seed {seed}");
            }
            world.run(ms(5_000));
            world.run_until(ms(4_000), World::are_entries_exact);
            restart_replicas(&mut world);
            world.run_until(ms(12_000), World::are_entries_exact);
        }
    }
}

/// Guards against a draining announcement of another writer under the id of a server that starts later.
#[test]
fn a_draining_record_of_an_unknown_service_ends_no_later_server() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 2);
        let record = ServerRecord {
            server: "late".into(),
            service: "nowhere".into(),
            address: ([10, 0, 0, 1], 9_100).into(),
            incarnation: world.servers[0].record.incarnation + 5_000_000,
            sequence: 9,
            is_draining: true,
            ..world.servers[0].record.clone()
        };
        write(&mut world, &record);
        world.run(ms(500));
        // A deregistration without a start time concerns what runs now, not what the other writer named.
        let id = world.deregister(seed as usize % 3, "late", None);
        world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
        world.run(ms(500));
        world.add_server("late", "catalogue", 9_100);
        world.run_until(ms(4_000), |world| world.entries.iter().all(|entry| entry.holds("late")));
    }
}

/// Guards against a server's own departure that is lost because its service was taken out of the configuration before,
/// and is put back.
#[test]
fn a_departure_binds_after_its_service_is_taken_out() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        let server = world.add_server("stock-1", "stock", 9_200);
        world.run_until(ms(4_000), |world| world.entries.iter().all(|entry| entry.holds("stock-1")));
        configure(&mut world, 2, &["catalogue"]);
        drain(&mut world, server, seed as usize % 3);
        world.servers[server].is_alive = false;
        if seed % 2 == 1 {
            restart_replicas(&mut world);
            world.run_until(ms(6_000), |world| world.leader().is_some());
        }
        configure(&mut world, 3, &["catalogue", "stock"]);
        // An earlier announcement arrives late.
        let record = ServerRecord { sequence: 1, is_draining: false, ..world.servers[server].record.clone() };
        write(&mut world, &record);
        world.run(Duration::from_secs(5));
        assert!(!world.entries.iter().any(|entry| entry.holds("stock-1")), "seed {seed}");
    }
}

/// Guards against a server's own departure that is lost because it was announced before the configuration named its
/// service, or to replicas that did not know the configuration yet.
#[test]
fn a_departure_binds_before_its_service_is_known() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        let server = world.add_server("early", "later", 9_300);
        world.run(ms(3_000));
        drain(&mut world, server, seed as usize % 3);
        configure(&mut world, 2, &["catalogue", "stock", "later"]);
        world.run(ms(1_000));
        restart_replicas(&mut world);
        // The replica has no leader yet.
        drain(&mut world, 0, seed as usize % 3);
        world.servers[server].is_alive = false;
        let record = ServerRecord { sequence: 1, is_draining: false, ..world.servers[server].record.clone() };
        write(&mut world, &record);
        world.run(ms(8_000));
        assert!(!world.entries.iter().any(|entry| entry.holds("early") || entry.holds("s0")), "seed {seed}");
    }
}
