//! Recovery of a fleet from the data folders of its replicas after all processes were killed.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..50;

/// Kills all replicas, and optionally the entries, and restarts them 1 s later with the given saved directories.
fn restart(world: &mut World, with_entries: bool, saved: &[Vec<u8>]) {
    world.first_start = false;
    for (replica, directory) in saved.iter().enumerate() {
        world.kill_replica(replica);
        world.replicas[replica].disk.directory = directory.clone();
    }
    if with_entries {
        world.entries.iter_mut().for_each(|entry| entry.link = None);
    }
    world.run(ms(1_000));
    for replica in 0..3 {
        world.start_replica(replica);
    }
    for entry in (0..world.entries.len()).filter(|_| with_entries) {
        world.start_entry(entry);
    }
}

fn saved(world: &World) -> Vec<Vec<u8>> {
    world.replicas.iter().map(|node| node.disk.directory.clone()).collect()
}

fn print_and_check(what: &str, mut times: Vec<Duration>, median: u64, longest: u64) {
    times.sort_unstable();
    let (middle, last) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{what}: median {middle:?}, longest {last:?} of seeds {SEEDS:?}");
    assert!(middle <= ms(median) && last <= ms(longest), "{what}: {times:?}");
}

/// Guards against a fleet that waits for an election timeout, for slow polls or for the servers' announcements after a
/// complete power failure.
#[test]
fn a_fleet_that_lost_power_serves_at_once() {
    let (mut current, mut whole) = (Vec::new(), Vec::new());
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 40);
        world.links.loss = 0.0;
        world.submit(1, &text(2));
        world.run(ms(1_500));
        let saved = saved(&world);
        restart(&mut world, true, &saved);
        let first = world.run_until(ms(9_000), |world| {
            world.replicas.iter().any(|node| node.replica.as_ref().is_some_and(|replica| replica.is_current()))
        });
        current.push(first);
        let rest = world.run_until(ms(9_000), |world| {
            assert!(world.entries.iter().all(|entry| entry.change != 1), "seed {seed}: an older change");
            world.entries.iter().all(|entry| entry.change == 2 && entry.count() == 40)
        });
        whole.push(first + rest);
        world.run_until(ms(9_000), World::are_entries_exact);
    }
    print_and_check("first current replica", current, 150, 800);
    print_and_check("all entries with all servers", whole, 300, 1_000);
}

/// Guards against entries that take too long to find the replicas after all replicas restarted.
#[test]
fn entries_find_restarted_replicas_at_once() {
    let mut times = Vec::new();
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        world.links.loss = 0.0;
        let saved = saved(&world);
        restart(&mut world, false, &saved);
        times.push(world.run_until(ms(9_000), |world| {
            let at = world.base + world.now;
            world.entries.iter().all(|entry| entry.link.as_ref().is_some_and(|link| link.is_current(at)))
        }));
    }
    print_and_check("all entries in contact", times, 300, 1_000);
}

/// Guards against a saved directory that restores a server which departed after the save.
#[test]
fn a_departed_server_does_not_come_back_from_the_file() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let saved = saved(&world);
        world.drain(5, 0);
        world.run_until(ms(4_000), |world| world.servers[5].acknowledged_at.is_some());
        world.servers[5].is_alive = false;
        restart(&mut world, true, &saved);
        world.run_until(ms(3_000), |world| world.entries.iter().all(|entry| entry.count() == 5));
        world.run(ms(8_000));
        assert!(world.entries.iter().all(|entry| !entry.seen.contains("s5")), "seed {seed}");
    }
}

/// Guards against an old file that keeps a server at an address that now belongs to another one, or that restores
/// crashed servers when a single replica restarts.
#[test]
fn newer_records_replace_an_old_file() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let saved = saved(&world);
        world.links.loss = 0.0;
        let port = world.servers[0].record.address.port();
        world.servers[0].is_alive = false;
        world.servers[1].is_alive = false;
        world.run(ms(10));
        world.add_server("t0", "stock", port);
        world.run(ms(9_000));
        assert!(world.are_entries_exact(), "seed {seed}");
        // Only one replica restarts; the others have newer records.
        let alone = seed as usize % 3;
        world.kill_replica(alone);
        world.run(ms(1_000));
        world.replicas[alone].disk.directory = saved[alone].clone();
        world.start_replica(alone);
        world.run(ms(4_000));
        assert!(world.are_entries_exact(), "seed {seed}: servers were restored from an old file");
        // All replicas restart: the server at the address announces itself, and the crashed one times out.
        restart(&mut world, true, &saved);
        world.run(ms(3_000));
        assert!(world.entries.iter().all(|entry| entry.holds("t0") && !entry.holds("s0")), "seed {seed}");
        world.run(ms(6_000));
        assert!(world.are_entries_exact(), "seed {seed}");
    }
}

/// Guards against a replica that fails on a truncated or corrupted file, or uses part of it.
#[test]
fn a_damaged_file_counts_as_empty() {
    let mut world = World::settled(1, 3, 2, 6);
    let intact = saved(&world);
    let cut = |kept: usize| intact.iter().map(|bytes| bytes[..kept].to_vec()).collect::<Vec<_>>();
    for damaged in [cut(0), cut(1), cut(100), cut(intact[0].len() - 1), vec![vec![0xFF; 2 << 20]; 3]] {
        restart(&mut world, true, &damaged);
        assert!(!world.checks.logs.iter().any(|(.., line)| line.contains("restored from the saved directory")));
        world.run_until(ms(9_000), World::are_entries_exact);
    }
}

/// Guards against a write to disk for every renewal, or for every one of many servers that join.
#[test]
fn the_directory_is_saved_only_after_changes() {
    let mut world = World::settled(1, 3, 2, 6);
    let saves = |world: &World| world.replicas.iter().map(|node| node.disk.saves).max().unwrap_or_default();
    let before = saves(&world);
    world.run(ms(20_000));
    assert_eq!(saves(&world), before, "saved without a change");
    for server in 0..20 {
        world.add_server(&format!("t{server}"), "stock", 9_000 + server);
        world.run(ms(100));
    }
    world.run(ms(2_000));
    assert!((2..=4).contains(&(saves(&world) - before)), "{} saves", saves(&world) - before);
}

/// Guards against a restarted replica that deposes a live leader.
#[test]
fn a_restarted_replica_leaves_the_leader_alone() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 1, 2);
        let leader = world.leader().expect("leader");
        let deposed = |world: &World| world.checks.logs.iter().filter(|(.., line)| line.starts_with("leading")).count();
        let before = deposed(&world);
        for other in (0..3).filter(|other| *other != leader) {
            world.kill_replica(other);
            world.run(ms(100));
            world.start_replica(other);
            world.run(ms(2_000));
            assert_eq!((world.leader(), deposed(&world)), (Some(leader), before), "seed {seed}");
        }
    }
}
