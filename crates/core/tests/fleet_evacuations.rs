//! Evacuations of data centres: no connected entry uses a server there 5 s after the acknowledgement, whatever fails.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    hemlockford_core::fleet::{ReplicaAnswer, ReplicaEvent},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..12;
/// Time within which entries must learn of an order after its acknowledgement.
const LIMIT: Duration = Duration::from_secs(5);
/// By how much an unstable group may extend that time.
const UNSTABLE: Duration = Duration::from_secs(5);
/// Interval at which an operator repeats an order at the next replica.
const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Data centre whose servers are s1 and s4 of six.
const NORTH: &str = "d1";

/// Returns whether an entry uses a server of the data centre.
fn uses(world: &World, entry: usize, data_centre: &str) -> bool {
    world.entries[entry].servers.values().flatten().any(|view| &*view.data_centre == data_centre)
}

fn users(world: &World, data_centre: &str) -> Vec<usize> {
    (0..world.entries.len()).filter(|entry| uses(world, *entry, data_centre)).collect()
}

/// Sends an order to the running replicas in turn until one acknowledges it. Returns that replica.
fn order(world: &mut World, first: usize, data_centre: &str, is_active: bool) -> usize {
    let (seed, start) = (world.seed, world.now);
    let mut ids = Vec::new();
    for turn in 0.. {
        let running = world.running();
        let replica = running[(first + turn) % running.len()];
        ids.push((replica, world.evacuate(replica, data_centre, is_active)));
        let again = world.now + REPEAT_AFTER;
        while world.now < again {
            world.run(ms(10));
            for (replica, id) in &ids {
                match world.answers.get(id) {
                    Some((_, ReplicaAnswer::Acknowledged)) => return *replica,
                    Some((_, ReplicaAnswer::Unavailable)) | None => {}
                    Some((_, other)) => panic!("seed {seed}: {other:?}"),
                }
            }
        }
        assert!(world.now < start + Duration::from_secs(20), "seed {seed}: the order is not acknowledged");
    }
    unreachable!()
}

fn answer(world: &mut World, id: u64) -> ReplicaAnswer {
    world.run_until(ms(6_000), |world| world.answers.contains_key(&id));
    world.answers[&id].1.clone()
}

fn restart_all(world: &mut World) {
    world.first_start = false;
    (0..world.replicas.len()).for_each(|replica| world.kill_replica(replica));
    world.entries.iter_mut().for_each(|entry| entry.link = None);
    world.run(ms(1_000));
    (0..world.replicas.len()).for_each(|replica| world.start_replica(replica));
    (0..world.entries.len()).for_each(|entry| world.start_entry(entry));
}

/// Guards against entries that keep the servers after an order, or that do not get them back at its end, and against
/// orders that take long in a stable group.
#[test]
fn entries_drop_the_servers_at_once_and_get_them_back() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 6, 6);
        for _ in 0..2 {
            let start = world.now;
            order(&mut world, seed as usize % 3, NORTH, true);
            assert!(world.now - start <= ms(1_000), "seed {seed}: {:?}", world.now - start);
            world.run_until(ms(600), |world| users(world, NORTH).is_empty());
            assert!(world.entries.iter().all(|entry| entry.count() == 4), "seed {seed}");
            // The servers go on to announce themselves.
            world.run(ms(4_000));
            assert!(users(&world, NORTH).is_empty(), "seed {seed}");
            order(&mut world, seed as usize % 3, NORTH, false);
            world.run_until(ms(600), World::are_entries_exact);
        }
    }
}

/// Guards against a server that joins, or that restarts, in an evacuated data centre and gets calls.
#[test]
fn servers_that_join_meanwhile_get_no_calls() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        order(&mut world, 0, NORTH, true);
        world.run(ms(1_000));
        world.restart_server(1, 9_001);
        let joined = world.add_server("s6", "catalogue", 9_002);
        let other = world.add_server("s7", "catalogue", 9_003);
        assert_eq!(
            (&*world.servers[joined].record.data_centre, &*world.servers[other].record.data_centre),
            ("d0", NORTH)
        );
        world.run(ms(5_000));
        assert!(users(&world, NORTH).is_empty(), "seed {seed}");
        assert!(world.entries.iter().all(|entry| entry.holds("s6") && entry.count() == 5), "seed {seed}");
        order(&mut world, 0, NORTH, false);
        world.run_until(ms(3_000), World::are_entries_exact);
    }
}

/// Guards against an acknowledged order that is lost with the replica that acknowledged it, or with the leader.
#[test]
fn an_order_survives_the_replica_that_acknowledged_it() {
    for seed in SEEDS {
        for victim in ["acknowledger", "leader"] {
            let mut world = World::settled(seed, 3, 6, 6);
            let by = order(&mut world, seed as usize % 3, NORTH, true);
            let leader = world.leader().expect("leader");
            world.kill_replica(if victim == "leader" { leader } else { by });
            world.run(LIMIT + UNSTABLE);
            assert!(users(&world, NORTH).is_empty(), "seed {seed}: {victim}");
            world.run(ms(5_000));
            assert!(users(&world, NORTH).is_empty(), "seed {seed}: {victim}");
        }
    }
}

/// Guards against entries or replicas that hand out the servers after all power was lost right after the
/// acknowledgement, from the saved directory or from a log that is not applied yet.
#[test]
fn an_order_survives_the_loss_of_all_power() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        order(&mut world, seed as usize % 3, NORTH, true);
        restart_all(&mut world);
        world.run(ms(15_000));
        let seen = |name: &str| world.entries.iter().any(|entry| entry.seen.contains(name));
        assert!(!seen("s1") && !seen("s4"), "seed {seed}");
        assert!(world.entries.iter().all(|entry| entry.count() == 4), "seed {seed}");
        order(&mut world, 1, NORTH, false);
        world.run_until(ms(3_000), World::are_entries_exact);
        restart_all(&mut world);
        world.run_until(ms(15_000), World::are_entries_exact);
    }
}

/// Guards against entries that use a replica which has not applied the order: a learner that lags, or a replica that
/// starts with an empty folder.
#[test]
fn a_replica_that_lags_hands_out_nothing() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 4, 6, 6);
        let voters = world.voters();
        let learner = (0..4).find(|replica| !voters.contains(replica)).expect("a learner");
        world.isolate_replica(learner);
        order(&mut world, voters[0], NORTH, true);
        world.run(LIMIT);
        assert!(users(&world, NORTH).is_empty(), "seed {seed}");
        // Servers that announce themselves to the learner alone are not known to be evacuated there.
        world.servers[1].replica = learner;
        world.restart_server(1, 9_001);
        world.run(ms(3_000));
        assert!(users(&world, NORTH).is_empty(), "seed {seed}");
        world.heal();
        world.first_start = false;
        world.lose_disk(voters[1]);
        world.start_replica(voters[1]);
        for entry in 0..world.entries.len() {
            world.start_entry(entry);
        }
        world.run(ms(10_000));
        let seen = world.entries.iter().any(|entry| entry.seen.contains("s1") || entry.seen.contains("s4"));
        assert!(!seen, "seed {seed}");
        assert!(world.entries.iter().all(|entry| entry.count() == 4), "seed {seed}");
    }
}

/// Guards against an entry that was cut off during the order and keeps the servers once it is connected again.
#[test]
fn an_entry_that_comes_back_drops_the_servers() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let entry = world.entries[0].name.clone();
        let replicas: Vec<_> = world.replicas.iter().map(|replica| replica.name.clone()).collect();
        replicas.iter().for_each(|replica| world.links.cut(&entry, replica));
        order(&mut world, 0, NORTH, true);
        world.run(ms(8_000));
        assert_eq!(users(&world, NORTH), [0], "seed {seed}");
        world.heal();
        world.run_until(LIMIT, |world| users(world, NORTH).is_empty());
        world.freeze_entry(1);
        order(&mut world, 0, NORTH, false);
        order(&mut world, 1, NORTH, true);
        world.thaw_entry(1);
        world.run(LIMIT);
        assert!(users(&world, NORTH).is_empty(), "seed {seed}");
    }
}

/// Guards against a copy of an order that waits at a replica, or is repeated there late, and takes effect after a later
/// order was acknowledged.
#[test]
fn a_late_copy_of_an_order_has_no_effect() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        let leader = world.leader().expect("leader");
        let (late, prompt) = ((leader + 1) % 3, (leader + 2) % 3);
        // The first copy cannot reach the leader, and its replica waits.
        world.isolate_replica(late);
        let copy = world.evacuate(late, NORTH, true);
        order(&mut world, prompt, NORTH, true);
        order(&mut world, prompt, NORTH, false);
        world.heal();
        let answer = answer(&mut world, copy);
        assert!(matches!(answer, ReplicaAnswer::Unavailable | ReplicaAnswer::Acknowledged), "seed {seed}: {answer:?}");
        world.run(LIMIT);
        world.run_until(ms(3_000), World::are_entries_exact);
        let is_evacuated =
            |world: &World| world.replicas[prompt].replica.as_ref().unwrap().ledger().is_evacuated(NORTH);
        assert!(!is_evacuated(&world), "seed {seed}");
        // A repetition in the present state is acknowledged and changes nothing.
        let appended = world.replicas[leader].disk.appended;
        order(&mut world, prompt, NORTH, false);
        assert_eq!(world.replicas[leader].disk.appended, appended, "seed {seed}");
    }
}

/// Guards against an order that is acknowledged without a majority.
#[test]
fn an_order_without_a_majority_is_unavailable() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        world.kill_replica(1);
        world.kill_replica(2);
        let id = world.evacuate(0, NORTH, true);
        assert_eq!(answer(&mut world, id), ReplicaAnswer::Unavailable, "seed {seed}");
    }
}

/// Guards against a replica or an entry of the former version that meets a command or a configuration which it cannot
/// read, and against one that is never accepted afterwards.
#[test]
fn an_instance_of_the_former_version_delays_orders_and_new_configurations() {
    for seed in SEEDS {
        for former in ["r2", "e1"] {
            let mut world = World::settled(seed, 3, 4, 6);
            world.former.insert(former.into());
            // A restart with the former version: the statements of the process before do not count.
            if former == "r2" {
                world.kill_replica(2);
                world.run(ms(500));
                world.start_replica(2);
            } else {
                world.start_entry(1);
            }
            world.run(ms(5_000));
            let appended = world.replicas.iter().map(|node| node.disk.appended).collect::<Vec<_>>();
            let id = world.evacuate(seed as usize % 2, NORTH, true);
            assert_eq!(answer(&mut world, id), ReplicaAnswer::Unavailable, "seed {seed}: {former}");
            let new = format!("{}[customer a]\npriority = 1\n", text(2));
            let id = world.submit(seed as usize % 2, &new);
            assert_eq!(answer(&mut world, id), ReplicaAnswer::Unavailable, "seed {seed}: {former}");
            assert_eq!(world.replicas.iter().map(|node| node.disk.appended).collect::<Vec<_>>(), appended);
            let is_named = |(_, _, line): &(Duration, Box<str>, String)| line.starts_with("requests wait for");
            assert!(world.checks.logs.iter().any(is_named), "seed {seed}: {former}");
            // What the former version reads is accepted meanwhile.
            let id = world.submit(0, &text(2));
            assert!(matches!(answer(&mut world, id), ReplicaAnswer::Accepted { .. }), "seed {seed}: {former}");
            world.former.clear();
            if former == "r2" {
                world.kill_replica(2);
                world.run(ms(500));
                world.start_replica(2);
            } else {
                world.start_entry(1);
            }
            world.run(ms(4_000));
            order(&mut world, 0, NORTH, true);
            world.run(LIMIT);
            assert!(users(&world, NORTH).is_empty(), "seed {seed}: {former}");
        }
    }
}

/// Guards against a first configuration that waits for statements at the first start, beyond what one without new parts
/// takes.
#[test]
fn the_first_configuration_is_not_delayed() {
    let mut longest = Duration::ZERO;
    for seed in SEEDS {
        let accepted = |first: &str| {
            let mut world = World::with_voters(seed, 5, 6, 20);
            let id = world.submit(seed as usize % 3, first);
            world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
            assert!(matches!(world.answers[&id].1, ReplicaAnswer::Accepted { .. }), "seed {seed}");
            world.now
        };
        let plain = accepted(&text(1));
        let new = accepted(&format!("{}[customer a]\nrate = 5\n", text(1)));
        longest = longest.max(new.saturating_sub(plain));
        assert!(new <= plain + ms(900), "seed {seed}: {new:?} instead of {plain:?}");
    }
    println!("longest delay {longest:?}");
}

/// Guards against an order for a data centre that the settings do not name, which no server would ever match, and against
/// an evacuation that cannot be ended because the settings no longer name the data centre.
#[test]
fn orders_for_unknown_data_centres_are_refused() {
    let mut world = World::settled(1, 3, 4, 6);
    let listed = |names: &[&str]| ReplicaEvent::DataCentres(names.iter().map(|name| (*name).into()).collect());
    (0..3).for_each(|replica| world.replica_event(replica, listed(&["d0", NORTH])));
    for name in ["d2", "", &"n".repeat(129)] {
        for is_active in [true, false] {
            let id = world.evacuate(0, name, is_active);
            assert_eq!(answer(&mut world, id), ReplicaAnswer::UnknownDataCentre, "{name}");
        }
    }
    order(&mut world, 0, NORTH, true);
    (0..3).for_each(|replica| world.replica_event(replica, listed(&["d0"])));
    order(&mut world, 0, NORTH, false);
    world.run_until(ms(3_000), World::are_entries_exact);
}

/// Guards against statements beyond those with every eighth poll, and the first ones to another replica.
#[test]
fn statements_are_seldom() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 6, 3);
        let sent = |world: &World| {
            let entries = world.entries.iter();
            entries.map(|entry| (entry.sent, entry.statements)).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
        };
        let before = sent(&world);
        let switches = |world: &World| world.entries.iter().map(|entry| entry.switches.len() as u64).sum::<u64>();
        let switches_before = switches(&world);
        world.run(ms(16_000));
        let (polls, statements) = (sent(&world).0 - before.0, sent(&world).1 - before.1);
        // Switching counts the polls anew, and the first statements are sent again once the replica has answered.
        let most = polls / 8 + 6 + 8 * (switches(&world) - switches_before);
        assert!((24..=most).contains(&statements), "seed {seed}: {statements} statements with {polls} polls");
    }
}
