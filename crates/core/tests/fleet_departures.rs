//! Departures of servers: no connected entry uses a server 2 s after its departure was acknowledged.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::fleet::ReplicaAnswer,
};

const SEEDS: std::ops::Range<u64> = 0..25;

/// Fault of the replica that acknowledged a departure, injected right after the acknowledgement.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Kill,
    /// Isolated from the other replicas, but still connected to every entry.
    IsolateFromReplicas,
    /// Isolated from the other replicas and all entries.
    IsolateFromAll,
    Freeze,
}

fn inject_fault(world: &mut World, replica: usize, fault: Fault) {
    let name = world.replicas[replica].name.clone();
    match fault {
        Fault::None => {}
        Fault::Kill => world.kill_replica(replica),
        Fault::Freeze => world.freeze_replica(replica),
        Fault::IsolateFromReplicas => world.isolate_replica(replica),
        Fault::IsolateFromAll => {
            world.isolate_replica(replica);
            for index in 0..world.entries.len() {
                let entry = world.entries[index].name.clone();
                world.links.cut(&name, &entry);
            }
        }
    }
}

fn drain(seed: u64, replica: usize, fault: Fault) -> World {
    let mut world = World::settled(seed, 3, 6, 6);
    world.drain(2, replica);
    world.run_until(ms(4_000), |world| world.servers[2].acknowledged_at.is_some());
    let by = world.servers[2].acknowledged_by.expect("acknowledged");
    inject_fault(&mut world, by, fault);
    world.run(ms(5_000));
    world
}

/// Guards against entries that still use a server whose departure was acknowledged.
#[test]
fn a_draining_server_leaves_every_entry() {
    for seed in SEEDS {
        for replica in 0..3 {
            let world = drain(seed, replica, Fault::None);
            assert!(world.entries.iter().all(|entry| !entry.holds("s2") && entry.count() == 5), "seed {seed}");
        }
    }
}

/// Guards against a departure that is known only to a replica that is killed, frozen or isolated.
#[test]
fn a_departure_survives_the_replica_that_acknowledged_it() {
    for seed in SEEDS {
        for replica in 0..3 {
            for fault in [Fault::Kill, Fault::IsolateFromReplicas, Fault::IsolateFromAll, Fault::Freeze] {
                let world = drain(seed, replica, fault);
                let late: Vec<_> = world.entries.iter().filter(|entry| entry.holds("s2")).collect();
                assert!(late.is_empty(), "seed {seed}: {fault:?} of r{replica}");
            }
        }
    }
}

/// Guards against entries that learn of a departure only from the next leader if the leader dies before they are
/// informed. An election may take longer than the time limit for departures.
#[test]
fn entries_learn_of_a_departure_while_no_replica_leads() {
    for seed in 0..60 {
        let mut world = World::settled(seed, 3, 6, 6);
        let leader = world.leader().expect("leader");
        let name = world.replicas[leader].name.clone();
        for index in 0..world.entries.len() {
            let entry = world.entries[index].name.clone();
            world.links.cuts.insert((name.clone(), entry));
        }
        world.drain(2, leader);
        world.run_until(ms(1_000), |world| world.servers[2].acknowledged_at.is_some());
        world.kill_replica(leader);
        world.run(ms(5_000));
        assert!(world.entries.iter().all(|entry| !entry.holds("s2")), "seed {seed}");
    }
}

/// Guards against a deregistration without an incarnation that applies to no incarnation, or also to the next one.
#[test]
fn a_deregistration_binds_the_incarnation_that_is_known() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        world.servers[1].is_deregistered = true;
        let id = world.deregister(seed as usize % 3, "s1", None);
        world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
        assert_eq!(world.answers[&id].1, ReplicaAnswer::Acknowledged);
        let incarnation = world.servers[1].record.incarnation;
        world.departed("s1", incarnation);
        // The server continues to announce itself as ready for a while.
        world.run(ms(4_000));
        assert!(world.entries.iter().all(|entry| !entry.holds("s1")), "seed {seed}");
        world.restart_server(1, 9_001);
        world.run_until(ms(4_000), World::are_entries_exact);
    }
}
