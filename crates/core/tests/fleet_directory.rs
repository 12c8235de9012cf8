//! Servers that restart, change their address, stop announcing themselves or warm up, as seen by entries.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::fleet::{ReplicaAnswer, ReplicaEvent, ServerRecord},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..25;

fn replay(world: &mut World, replica: usize, record: hemlockford_core::fleet::ServerRecord) {
    let (id, wall_ms) = (world.next_id(), world.wall_ms());
    world.replica_event(replica, ReplicaEvent::Announce { id, record, wall_ms });
}

/// Guards against a late announcement of a dead incarnation that restores it, or that removes the server which now has
/// its id or address.
#[test]
fn late_announcements_of_dead_incarnations_change_nothing() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        let mut late = world.servers[0].record.clone();
        late.sequence += 5;
        // The id is reused at another address, and the address by another server.
        let port = late.address.port();
        world.restart_server(0, 9_000);
        world.run(ms(100));
        let successor = world.add_server("t0", "stock", port);
        world.run_until(ms(4_000), World::are_entries_exact);
        for replica in 0..3 {
            late.sequence += 1;
            replay(&mut world, replica, late.clone());
            world.run(ms(200));
            assert!(world.are_entries_exact(), "seed {seed}");
        }
        // The same for a server whose id is not reused.
        world.servers[1].is_alive = false;
        let mut late_other = world.servers[1].record.clone();
        late_other.sequence += 5;
        world.add_server("t1", "stock", late_other.address.port());
        world.run_until(ms(4_000), World::are_entries_exact);
        // By now the crashed server has been removed from the directory.
        world.run(ms(8_000));
        replay(&mut world, 2, late_other);
        world.run(ms(1_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        // A late draining announcement only applies to the dead incarnation.
        late.is_draining = true;
        late.sequence += 1;
        replay(&mut world, 1, late);
        world.run(ms(2_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        assert_eq!(world.entries[0].view("t0").map(|view| view.address), Some(world.servers[successor].record.address));
    }
}

/// Guards against an announcement of a departed incarnation that restores it, including at a replica that restarted and
/// has no record of it.
#[test]
fn a_departed_incarnation_stays_out() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        world.drain(3, 1);
        world.run_until(ms(4_000), |world| world.servers[3].acknowledged_at.is_some());
        let mut late = world.servers[3].record.clone();
        world.servers[3].is_alive = false;
        late.is_draining = false;
        for replica in 0..3 {
            world.kill_replica(replica);
            world.run(ms(100));
            world.start_replica(replica);
            world.run(ms(4_000));
            late.sequence += 1;
            replay(&mut world, replica, late.clone());
            world.run(ms(1_000));
            assert!(world.entries.iter().all(|entry| !entry.holds("s3")), "seed {seed}");
        }
        world.restart_server(3, 9_003);
        world.run_until(ms(4_000), World::are_entries_exact);
    }
}

/// Guards against a departure that replicas and entries forget after many further departures.
#[test]
fn a_departed_incarnation_stays_out_after_many_departures() {
    let mut world = World::settled(1, 3, 2, 4);
    world.drain(3, 1);
    world.run_until(ms(4_000), |world| world.servers[3].acknowledged_at.is_some());
    world.servers[3].is_alive = false;
    for number in 0..300 {
        world.deregister(number % 3, &format!("other{number}"), Some(1));
        world.run(ms(20));
    }
    let mut late = world.servers[3].record.clone();
    (late.is_draining, late.sequence) = (false, late.sequence + 1);
    world.run(ms(7_000));
    replay(&mut world, 0, late);
    for entry in 0..2 {
        world.start_entry(entry);
    }
    world.run(ms(3_000));
    assert!(world.are_entries_exact() && world.entries.iter().all(|entry| !entry.seen.contains("s3")));
}

/// Guards against a crashed server that is never removed, or a server that is removed after a single lost announcement.
#[test]
fn a_silent_server_leaves_after_a_while() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        world.servers[2].is_alive = false;
        world.run(ms(4_000));
        assert!(world.entries.iter().all(|entry| entry.holds("s2")), "seed {seed}");
        world.run_until(ms(6_000), World::are_entries_exact);
    }
}

/// Guards against entries that miss a change of slots or of the warm-up, or that receive every renewal.
#[test]
fn entries_receive_changes_but_not_renewals() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 4);
        let before: u64 = world.entries.iter().map(|entry| entry.updates).sum();
        world.run(ms(20_000));
        let after: u64 = world.entries.iter().map(|entry| entry.updates).sum();
        assert_eq!(before, after, "seed {seed}: entries received renewals");
        world.servers[1].record.slots = 7;
        world.servers[1].record.warm_up = Duration::from_secs(3);
        world.announce(1);
        world.servers[1].record.warm_up = Duration::from_millis(1_500);
        world.run(ms(1_000));
        for entry in &world.entries {
            let view = entry.view("s1").expect("server");
            assert_eq!(view.slots, 7, "seed {seed}");
            // The slow start of 4 s ends together with the warm-up, 2 s from now.
            let end = view.ready_since + Duration::from_secs(4);
            let left = end.saturating_duration_since(world.base + world.now);
            assert!((ms(1_900)..=ms(2_100)).contains(&left), "seed {seed}: {left:?}");
        }
    }
}

/// Guards against two servers at one address after the earlier one crashed without a departure.
#[test]
fn a_later_server_takes_an_address_over() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 4);
        world.servers[0].is_alive = false;
        let port = world.servers[0].record.address.port();
        world.add_server("t0", "stock", port);
        world.run_until(ms(2_500), World::are_entries_exact);
    }
}

/// Guards against traffic of an entry that grows with the number of servers or of other entries.
#[test]
fn steady_traffic_of_an_entry_depends_on_its_polls_only() {
    let rate = |entries: usize, servers: usize| {
        let mut world = World::settled(3, 3, entries, servers);
        world.links.loss = 0.0;
        world.run(ms(2_000));
        let before = (world.entries[0].sent_bytes, world.entries[0].received_bytes);
        world.run(ms(20_000));
        let entry = &world.entries[0];
        ((entry.sent_bytes - before.0) / 20, (entry.received_bytes - before.1) / 20)
    };
    let (small, large) = (rate(2, 4), rate(40, 100));
    println!("bytes/s sent and received: {small:?} with 2 entries and 4 servers, {large:?} with 40 and 100");
    assert!(large.0 <= small.0 + 20 && large.1 <= small.1 + 40, "{small:?} {large:?}");
    assert!(large.0 < 300 && large.1 < 500);
}

/// Guards against one entry of another writer, with a start time that no clock shows, which shuts out the server whose
/// id or address it names, and against a departure that holds for all later starts of a server.
#[test]
fn impossible_start_times_shut_out_no_server() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        for incarnation in [u64::MAX, 1 << 60, 1 << 44] {
            for (server, sequence) in [("s0", u64::MAX), ("other", 1)] {
                let record =
                    ServerRecord { server: server.into(), incarnation, sequence, ..world.servers[0].record.clone() };
                let (id, wall_ms) = (world.next_id(), world.wall_ms());
                world.replica_event(seed as usize % 3, ReplicaEvent::Announce { id, record, wall_ms });
                assert_ne!(world.answers[&id].1, ReplicaAnswer::Acknowledged, "seed {seed}");
                world.run(ms(500));
                assert!(world.are_entries_exact(), "seed {seed}");
            }
        }
        world.servers[1].is_deregistered = true;
        let id = world.deregister(seed as usize % 3, "s1", Some(u64::MAX));
        world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
        world.run(ms(2_000));
        assert!(world.entries.iter().all(|entry| !entry.holds("s1")), "seed {seed}");
        world.restart_server(1, 9_001);
        world.run_until(ms(4_000), World::are_entries_exact);
    }
}
