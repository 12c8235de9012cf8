//! Faults of replicas and entries: killed and frozen processes, and network partitions.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    hemlockford_core::fleet::ReplicaAnswer,
    rand::RngExt,
};

const SEEDS: std::ops::Range<u64> = 0..25;

/// Guards against entries that remove servers because a replica restarted with an empty directory.
#[test]
fn a_restarted_replica_takes_no_servers_away() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 6, 6);
        for replica in 0..3 {
            world.kill_replica(replica);
            world.run(ms(1_500));
            world.start_replica(replica);
            world.run(ms(5_000));
            assert!(world.are_entries_exact(), "seed {seed}");
        }
        let is_directory_complete = |node: &fleet_support::ReplicaNode| {
            node.replica.as_ref().is_some_and(|replica| replica.is_directory_complete())
        };
        assert!(world.replicas.iter().all(is_directory_complete), "seed {seed}");
    }
}

/// Guards against an entry that becomes ready before it has the newest change and every server, or too late.
#[test]
fn a_restarted_entry_is_ready_in_time() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let id = world.submit(1, &text(2));
        world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
        // A follower that missed the notification of the commit learns of it with the next heartbeats.
        world.run(ms(500));
        world.start_entry(2);
        assert!(!world.entries[2].is_ready);
        world.run_until(ms(4_000), |world| world.entries[2].is_ready);
        let entry = &world.entries[2];
        assert_eq!((entry.change, entry.count()), (2, 6), "seed {seed}");
    }
}

/// Guards against entries that lose their servers or their readiness when all replicas fail, and against replicas that
/// lose state when they all restart from their disks.
#[test]
fn entries_keep_serving_without_replicas() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        world.drain(5, 0);
        world.run_until(ms(4_000), |world| world.servers[5].acknowledged_at.is_some());
        let mut late = world.servers[5].record.clone();
        world.servers[5].is_alive = false;
        world.run(ms(3_000));
        for replica in 0..3 {
            world.kill_replica(replica);
        }
        world.run(ms(20_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        world.first_start = false;
        for replica in 0..3 {
            world.start_replica(replica);
        }
        late.is_draining = false;
        for replica in 0..3 {
            late.sequence += 1;
            let (id, wall_ms) = (world.next_id(), world.wall_ms());
            let event = hemlockford_core::fleet::ReplicaEvent::Announce { id, record: late.clone(), wall_ms };
            world.replica_event(replica, event);
        }
        world.run(ms(8_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        let read = world.read(2);
        world.run_until(ms(4_000), |world| world.answers.contains_key(&read));
        assert!(matches!(world.answers[&read].1, ReplicaAnswer::Current { number: 1, .. }), "seed {seed}");
    }
}

/// Guards against a replica that was frozen and reports the outdated state in its sockets and memory as current.
#[test]
fn a_thawed_replica_presents_no_old_state() {
    for seed in SEEDS {
        for time in [500, 700, 1_500, 30_000] {
            let mut world = World::settled(seed, 3, 4, 6);
            let victim = seed as usize % 3;
            // The entry can only reach this replica.
            let entry = world.entries[0].name.clone();
            for other in (0..3).filter(|other| *other != victim) {
                let name = world.replicas[other].name.clone();
                world.links.cut(&entry, &name);
            }
            world.run(ms(2_000));
            world.freeze_replica(victim);
            world.run(ms(20));
            world.drain(4, (victim + 1) % 3);
            world.run_until(ms(4_000), |world| world.servers[4].acknowledged_at.is_some());
            world.run(ms(time));
            world.start_entry(0);
            world.run(ms(300));
            world.thaw_replica(victim);
            // Nothing that the entry received before the replica knew of the departure may be marked as current.
            world.run(ms(8_000));
            let seen = &world.entries[0].seen;
            assert!(!seen.contains("s4"), "seed {seed}: the departed server was used");
            assert!(world.entries[0].is_ready && world.entries[0].count() == 5, "seed {seed}");
        }
    }
}

/// Guards against a replica without a majority that reports itself as current, and against entries that keep using it.
#[test]
fn entries_leave_a_replica_that_is_cut_off() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 6, 6);
        let victim = seed as usize % 3;
        world.isolate_replica(victim);
        world.run(ms(1_300));
        assert!(!world.replicas[victim].replica.as_ref().is_some_and(|replica| replica.is_current()), "seed {seed}");
        world.run(ms(3_000));
        let name = world.replicas[victim].name.clone();
        // Lost polls can make an entry search for another replica for a short time.
        world.run_until(ms(1_000), |world| {
            world.entries.iter().all(|entry| {
                let link = entry.link.as_ref().expect("link");
                link.replica() != Some(&name) && link.is_current(world.base + world.now)
            })
        });
        world.heal();
        world.run(ms(8_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        // Each entry returns to a replica in its own data centre, which it probes every 5 s.
        world.run_until(ms(12_000), |world| {
            world.entries.iter().all(|entry| {
                let used = entry.link.as_ref().and_then(|link| link.replica()).expect("replica");
                let node = world.replicas.iter().find(|node| node.name == *used).expect("replica");
                node.data_centre == entry.data_centre
            })
        });
    }
}

/// Guards against a thawed replica that treats announcements queued in its sockets as new.
#[test]
fn a_thawed_replica_does_not_bring_crashed_servers_back() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let victim = seed as usize % 3;
        let entry = world.entries[0].name.clone();
        for other in (0..3).filter(|other| *other != victim) {
            let name = world.replicas[other].name.clone();
            world.links.cut(&entry, &name);
        }
        world.run(ms(2_000));
        // The server announces itself to another replica while this one is frozen, and then crashes.
        world.servers[5].replica = (victim + 1) % 3;
        world.freeze_replica(victim);
        world.run(ms(4_000));
        world.servers[5].is_alive = false;
        world.run(ms(12_000));
        world.start_entry(0);
        world.thaw_replica(victim);
        world.run(ms(8_000));
        let entry = &world.entries[0];
        assert!(entry.is_ready, "seed {seed}: not ready");
        assert!(!entry.seen.contains("s5"), "seed {seed}: a crashed server was used");
    }
}

/// Guards against an isolated replica that keeps acknowledging announcements, so that its servers never switch to a
/// replica that is connected to the others. Also guards against a fleet that refuses announcements while it starts.
#[test]
fn a_replica_that_is_cut_off_refuses_announcements() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let victim = seed as usize % 3;
        world.isolate_replica(victim);
        let cut_at = world.now;
        // Contact is lost after 0.5 s, or by a leader after 0.6 s. Announcements are refused 3 s later. A server
        // announces itself every 1.5 s and calls the next replica after 1 s.
        let are_heard = |world: &World| world.servers.iter().all(|server| server.heard_at >= cut_at + ms(3_000));
        world.run_until(ms(6_500), are_heard);
        assert!(world.servers.iter().all(|server| server.replica != victim), "seed {seed}");
        world.run(ms(3_000));
        assert!(world.are_entries_exact(), "seed {seed}");

        let mut world = World::new(seed, 3, 1);
        (1..3).for_each(|replica| world.kill_replica(replica));
        let server = world.add_server("s0", "catalogue", 8_000);
        world.run(ms(2_900));
        assert!(world.servers[server].heard_at >= ms(1_300), "seed {seed}: refused during the start");
        let refused = world.next_id();
        let (mut record, wall_ms) = (world.servers[server].record.clone(), world.wall_ms());
        record.sequence += 100;
        world.run(ms(200));
        let event = hemlockford_core::fleet::ReplicaEvent::Announce { id: refused, record, wall_ms };
        world.replica_event(0, event);
        assert_eq!(world.answers[&refused].1, ReplicaAnswer::Unavailable, "seed {seed}");
    }
}

/// Guards against entries that drop servers whose announcements only reach an isolated replica, before these servers
/// have switched to another replica.
#[test]
fn servers_of_a_replica_that_is_cut_off_stay() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let victim = seed as usize % 3;
        world.isolate_replica(victim);
        world.run(ms(20_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        world.heal();
        world.run(ms(8_000));
        assert!(world.are_entries_exact(), "seed {seed}");
    }
}

/// Guards against a thawed entry that treats old answers as new.
#[test]
fn a_thawed_entry_finds_the_newest_state() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 5);
        world.freeze_entry(1);
        world.drain(4, 0);
        world.run_until(ms(4_000), |world| world.servers[4].acknowledged_at.is_some());
        let id = world.submit(1, &text(2));
        world.run(ms(5_000));
        assert!(matches!(world.answers[&id].1, ReplicaAnswer::Accepted { .. }));
        world.thaw_entry(1);
        world.run(ms(2_000));
        assert!(world.entries[1].change == 2 && !world.entries[1].holds("s4"), "seed {seed}");
    }
}

/// Guards against faults in combinations that the other tests do not cover. Injects random faults, runs the checks
/// after every step, and expects all entries to agree in the end.
#[test]
fn random_faults() {
    for seed in 100..140 {
        let mut world = World::settled(seed, 3, 5, 8);
        let (mut number, mut submitted, mut drained, mut port) = (1, Vec::new(), None, 9_000);
        for _ in 0..40 {
            let replica = world.rng.random_range(0..3);
            let are_all_running = world.replicas.iter().all(|node| node.replica.is_some() && !node.is_frozen);
            match world.rng.random_range(0..10) {
                0 if are_all_running => world.kill_replica(replica),
                1 if are_all_running => world.freeze_replica(replica),
                2 if are_all_running => world.isolate_replica(replica),
                3 | 4 => world.recover_all(),
                5 => {
                    number += 1;
                    submitted.push((number, world.submit(replica, &text(number))));
                }
                6 if drained.is_none() => {
                    let server = world.rng.random_range(0..8);
                    world.drain(server, replica);
                    drained = Some(server);
                }
                7 => {
                    if let Some(server) = drained.filter(|server| world.servers[*server].acknowledged_at.is_some()) {
                        port += 1;
                        world.restart_server(server, port);
                        drained = None;
                    }
                }
                8 => {
                    let entry = world.rng.random_range(0..5);
                    world.start_entry(entry);
                }
                _ => {}
            }
            let time = world.rng.random_range(0..1_500);
            world.run(ms(time));
        }
        world.recover_all();
        world.run(ms(12_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        let accepted = submitted
            .iter()
            .filter(|(_, id)| matches!(world.answers.get(id), Some((_, ReplicaAnswer::Accepted { .. }))));
        let newest = accepted.map(|(number, _)| *number).max().unwrap_or(1);
        assert!(world.entries.iter().all(|entry| entry.change >= newest), "seed {seed}");
    }
}
