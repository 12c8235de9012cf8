//! Credit for customers with a limit: messages between entries and the leader of the replicas.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::{
        fleet::{EntryEvent, FleetMessage, ReplicaEvent},
        ids::InstanceId,
        quota::{CreditDemand, CreditRequest, CreditResponse, MAX_LISTED_CUSTOMERS},
        slots::name_hash,
    },
};

const SEEDS: std::ops::Range<u64> = 0..5;
const CUSTOMERS: &str = "[customer a]\nrate = 50\nburst = 10\n[customer b]\nweight = 2\n";

fn demand(customer: &str) -> CreditDemand {
    CreditDemand { customer: name_hash(customer), demand: 100, waiting: 1, credit: 0, queued: 0, returned: 0 }
}

fn request(number: u64, customers: Vec<CreditDemand>) -> CreditRequest {
    CreditRequest { number, acknowledged: None, entries: 0, customers }
}

fn limited(seed: u64) -> World {
    let mut world = World::settled(seed, 3, 6, 3);
    world.submit(0, &format!("{}{CUSTOMERS}", fleet_support::texts::text(2)));
    world.run(ms(2_000));
    world
}

/// Asks for credit at an entry until a leader answers; returns its name and the answer.
fn ask(world: &mut World, entry: usize, first: u64) -> Option<(InstanceId, CreditResponse)> {
    world.entries[entry].credit.clear();
    for number in first..first + 40 {
        world.entry_event(entry, EntryEvent::Credit(request(number, vec![demand("a")])));
        world.run(ms(100));
        let answer = world.entries[entry].credit.iter().find(|(_, response)| response.session != 0);
        if let Some(answer) = answer {
            return Some(answer.clone());
        }
    }
    None
}

/// Guards against an entry that does not find the leader, at the start or after the leader has died, and against two
/// leaders whose answers look alike.
#[test]
fn entries_find_the_leader() {
    for seed in SEEDS {
        let mut world = limited(seed);
        let leader = world.leader().expect("a leader");
        let mut sessions = Vec::new();
        for entry in 0..6 {
            let (from, response) = ask(&mut world, entry, 1).expect("an answer");
            assert_eq!(from, world.replicas[leader].name, "seed {seed}");
            sessions.push(response.session);
            assert_eq!(response.entries, entry as u32 + 1, "seed {seed}");
        }
        world.kill_replica(leader);
        world.run(ms(2_000));
        let next = world.leader().expect("another leader");
        for entry in 0..6 {
            let (from, response) = ask(&mut world, entry, 100).expect("an answer");
            assert_eq!(from, world.replicas[next].name, "seed {seed}");
            assert!(!sessions.contains(&response.session), "seed {seed}");
        }
    }
}

/// Guards against a replica that lends although it does not lead: its answer names the leader and lends nothing.
#[test]
fn only_a_leader_lends() {
    for seed in SEEDS {
        let mut world = limited(seed);
        let leader = world.leader().expect("a leader");
        for replica in 0..3 {
            let from = world.entries[0].name.clone();
            let message = FleetMessage::CreditRequest(request(500 + replica as u64, vec![demand("a")]));
            world.entries[0].credit.clear();
            world.replica_event(replica, ReplicaEvent::Receive { from, incarnation: u64::MAX >> 1, message });
            world.run(ms(50));
            let (_, response) = world.entries[0].credit.first().expect("an answer").clone();
            assert_eq!(response.session != 0, replica == leader, "seed {seed}");
            if replica != leader {
                assert_eq!(response.leader.as_ref(), Some(&world.replicas[leader].name));
                assert_eq!(response.customers, []);
            }
        }
    }
}

/// Guards against a pool where no customer has a limit, and against one that outlives the limits.
#[test]
fn there_is_no_pool_without_a_limit() {
    let mut world = World::settled(1, 3, 2, 1);
    assert!(ask(&mut world, 0, 1).is_none());
    world.submit(0, &format!("{}{CUSTOMERS}", fleet_support::texts::text(2)));
    world.run(ms(2_000));
    let leader = world.leader().expect("a leader");
    assert!(ask(&mut world, 0, 100).is_some());
    let names = |world: &World| {
        let replica = world.replicas[leader].replica.as_ref().expect("running");
        replica.credits().map(|(name, ..)| name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(names(&world), ["a"]);
    world.submit(0, &fleet_support::texts::text(3));
    world.run(ms(2_000));
    assert!(names(&world).is_empty());
}

/// Guards against a message that is dropped because of one of its items, and against a list without a bound.
#[test]
fn items_beyond_the_bounds_are_dropped() {
    let mut world = limited(2);
    let leader = world.leader().expect("a leader");
    let from = world.entries[0].name.clone();
    let mut customers: Vec<_> = (0..5_000).map(|number| demand(&format!("unknown-{number}"))).collect();
    customers[0] = CreditDemand {
        customer: name_hash("a"),
        demand: u32::MAX,
        waiting: u32::MAX,
        credit: u32::MAX,
        queued: u32::MAX,
        returned: u32::MAX,
    };
    let message = FleetMessage::CreditRequest(CreditRequest { entries: u32::MAX, ..request(500, customers) });
    world.entries[0].credit.clear();
    world.replica_event(leader, ReplicaEvent::Receive { from, incarnation: u64::MAX >> 1, message });
    world.run(ms(50));
    let (_, response) = world.entries[0].credit.first().expect("an answer").clone();
    assert_eq!(response.customers.len(), MAX_LISTED_CUSTOMERS);
    let replica = world.replicas[leader].replica.as_ref().expect("running");
    assert!(replica.credits().all(|(_, left, lent)| left >= 0.0 && lent >= 0.0 && left <= 50.0));
}
