//! Servers that tell one entry in an answer that they are leaving.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::fleet::EntryEvent,
};

const SEEDS: std::ops::Range<u64> = 0..10;

/// Guards against entries that go on using a server which told only another entry that it is leaving, while its own
/// announcements still say that it is ready, and against a later incarnation that stays excluded.
#[test]
fn the_other_entries_learn_that_a_server_is_leaving() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 5, 3);
        let server = world.servers[0].record.server.clone();
        // To the checks of the simulation the server is live, as only its answers say that it is leaving.
        world.checks.collect_violations = true;
        let holders = |world: &World| world.entries.iter().filter(|entry| entry.holds(&server)).count();
        assert_eq!(holders(&world), 5, "seed {seed}");
        world.entry_event(2, EntryEvent::ServerLeaving(server.clone()));
        let time = world.run_until(ms(2_000), |world| holders(world) == 0);
        assert!(time < ms(2_000), "seed {seed}: {time:?}");
        // Its announcements continue and must not bring it back.
        world.run(ms(5_000));
        assert_eq!(holders(&world), 0, "seed {seed}");
        let expected = format!("dropped {server}, which is live");
        assert!(world.checks.violations.iter().all(|violation| violation.ends_with(&expected)), "seed {seed}");
        world.checks.collect_violations = false;
        world.restart_server(0, 9_400);
        world.run_until(ms(6_000), |world| holders(world) == 5);
    }
}

/// Guards against a report about an earlier incarnation, or about a server that the entry does not know, that removes a
/// server in use.
#[test]
fn a_report_concerns_one_incarnation() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 2);
        let server = world.servers[0].record.server.clone();
        // Entry 0 is frozen with the report and wakes when the server has started again.
        world.entry_event(0, EntryEvent::ServerLeaving("nobody".into()));
        world.freeze_entry(0);
        world.entry_event(0, EntryEvent::ServerLeaving(server.clone()));
        world.restart_server(0, 9_401);
        world.run(ms(4_000));
        world.thaw_entry(0);
        world.run(ms(4_000));
        assert!(world.entries.iter().all(|entry| entry.holds(&server)), "seed {seed}");
    }
}

/// Guards against a server that is in use again after restarts because only the process that restarted knew that it is
/// leaving: the entry that was told, the replicas that recorded it, or all of them.
#[test]
fn restarts_do_not_bring_a_leaving_server_back() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 3);
        let server = world.servers[0].record.server.clone();
        world.checks.collect_violations = true;
        let is_held = |world: &World| world.entries.iter().any(|entry| entry.holds(&server));
        world.entry_event(0, EntryEvent::ServerLeaving(server.clone()));
        world.run_until(ms(2_000), |world| !is_held(world));
        for entry in 0..3 {
            world.start_entry(entry);
        }
        world.run(ms(3_000));
        assert!(!is_held(&world), "seed {seed}: after a restart of the entries");
        for replica in 0..3 {
            world.kill_replica(replica);
        }
        for replica in 0..3 {
            world.start_replica(replica);
        }
        for entry in 0..3 {
            world.start_entry(entry);
        }
        for _ in 0..100 {
            world.run(ms(100));
            assert!(!is_held(&world), "seed {seed}: after a restart of all processes");
        }
        let others = world.entries.iter().filter(|entry| entry.count() == 2).count();
        assert_eq!(others, 3, "seed {seed}: the other servers are in use");
    }
}
