//! Orders and departures that are read long after they were sent, when a later one is in force.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::{
        fleet::{Arrival, ReplicaAnswer},
        ids::LogIndex,
    },
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..12;
/// Data centre whose servers are s1 and s4 of six.
const NORTH: &str = "d1";
/// Time for which a replica is frozen.
const FREEZE: Duration = Duration::from_secs(4);

fn answer(world: &mut World, id: u64) -> ReplicaAnswer {
    world.run_until(ms(6_000), |world| world.answers.contains_key(&id));
    world.answers[&id].1.clone()
}

/// Gives an order to a replica, which acknowledges it.
fn order(world: &mut World, replica: usize, is_active: bool) {
    let id = world.evacuate(replica, NORTH, is_active);
    assert_eq!(answer(world, id), ReplicaAnswer::Acknowledged, "seed {}", world.seed);
}

fn is_evacuated(world: &World, replica: usize) -> bool {
    world.replicas[replica].replica.as_ref().unwrap().ledger().is_evacuated(NORTH)
}

/// Orders a state, its opposite and the state again while a replica is frozen, and resumes that replica. Returns it with
/// another one.
fn freeze_during_orders(seed: u64, is_active: bool) -> (World, usize, usize) {
    let mut world = World::settled(seed, 3, 4, 6);
    let leader = world.leader().expect("leader");
    let (frozen, other) = ((leader + 1) % 3, (leader + 2) % 3);
    order(&mut world, other, is_active);
    world.run(ms(1_000));
    world.freeze_replica(frozen);
    world.run(ms(1_000));
    order(&mut world, other, !is_active);
    world.run(ms(1_000));
    order(&mut world, other, is_active);
    world.run(FREEZE - ms(2_000));
    world.thaw_replica(frozen);
    (world, frozen, other)
}

/// Guards against an order that waited in the socket of a frozen replica, and that this replica carries out because it
/// caught up before it read the order.
#[test]
fn an_order_that_waited_during_a_freeze_is_not_carried_out() {
    for seed in SEEDS {
        for is_active in [true, false] {
            for caught_up in [0, 5, 50, 300, 1_500] {
                let (mut world, frozen, other) = freeze_during_orders(seed, is_active);
                world.run(ms(caught_up));
                let accepted_at = world.base + world.now;
                let id = world.evacuate_with(frozen, NORTH, !is_active, Arrival::Accepted(accepted_at));
                let answer = answer(&mut world, id);
                assert_ne!(answer, ReplicaAnswer::Acknowledged, "seed {seed}, {caught_up} ms");
                world.run(ms(5_000));
                assert_eq!(is_evacuated(&world, other), is_active, "seed {seed}, {caught_up} ms");
            }
        }
    }
}

/// Guards against an order that still stands and is never accepted by a replica that was frozen, and against one that is
/// carried out although a later one was recorded after the redirect.
#[test]
fn a_redirected_order_is_carried_out_unless_a_later_one_is_recorded() {
    for seed in SEEDS {
        for is_overtaken in [false, true] {
            let (mut world, frozen, other) = freeze_during_orders(seed, true);
            world.run(ms(1_000));
            let accepted_at = world.base + world.now;
            let id = world.evacuate_with(frozen, NORTH, false, Arrival::Accepted(accepted_at));
            let ReplicaAnswer::Redirected { data_centre, is_active: false, known } = answer(&mut world, id) else {
                panic!("seed {seed}: {:?}", world.answers[&id]);
            };
            if is_overtaken {
                order(&mut world, other, false);
                order(&mut world, other, true);
            }
            let id = world.evacuate_with(frozen, &data_centre, false, Arrival::Redirected(known));
            let expected = if is_overtaken { ReplicaAnswer::Unavailable } else { ReplicaAnswer::Acknowledged };
            assert_eq!(answer(&mut world, id), expected, "seed {seed}");
            world.run(ms(1_000));
            assert_eq!(is_evacuated(&world, other), is_overtaken, "seed {seed}");
        }
    }
}

/// Guards against an order that is carried out although its sender may have given it up: it came late on its connection, or
/// on one that was in use before. In the state in force it is acknowledged, as nothing changes.
#[test]
fn an_order_of_unknown_age_is_redirected() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 6);
        order(&mut world, 0, true);
        let late = Arrival::Accepted(world.base + world.now);
        world.run(ms(600));
        for arrival in [late, Arrival::Unknown] {
            for replica in 0..3 {
                let id = world.evacuate_with(replica, NORTH, false, arrival);
                let redirected = answer(&mut world, id);
                assert!(matches!(redirected, ReplicaAnswer::Redirected { .. }), "seed {seed}: {redirected:?}");
                let id = world.evacuate_with(replica, NORTH, true, arrival);
                assert_eq!(answer(&mut world, id), ReplicaAnswer::Acknowledged, "seed {seed}");
            }
        }
        assert!(is_evacuated(&world, 0), "seed {seed}");
        // An index that is not the one of the last order has no effect.
        for known in [0, LogIndex::MAX] {
            let id = world.evacuate_with(0, NORTH, false, Arrival::Redirected(known));
            assert_eq!(answer(&mut world, id), ReplicaAnswer::Unavailable, "seed {seed}");
        }
    }
}

/// Guards against a deregistration without a start time that waited in the socket of a frozen replica, and that ends the
/// server which has started under the id since then.
#[test]
fn a_deregistration_that_waited_during_a_freeze_ends_no_later_server() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 4, 4);
        let leader = world.leader().expect("leader");
        let (frozen, other) = ((leader + 1) % 3, (leader + 2) % 3);
        world.servers.iter_mut().for_each(|server| server.replica = other);
        world.freeze_replica(frozen);
        world.run(ms(1_000));
        world.servers[1].is_deregistered = true;
        let incarnation = world.servers[1].record.incarnation;
        let id = world.deregister(other, "s1", None);
        assert_eq!(answer(&mut world, id), ReplicaAnswer::Acknowledged, "seed {seed}");
        world.departed("s1", incarnation);
        world.run(ms(1_000));
        world.restart_server(1, 9_001);
        world.run(FREEZE);
        world.thaw_replica(frozen);
        world.run(ms(500));
        let id = world.deregister(frozen, "s1", None);
        assert_eq!(answer(&mut world, id), ReplicaAnswer::Unavailable, "seed {seed}");
        world.run_until(ms(4_000), World::are_entries_exact);
        world.run(ms(3_000));
        assert!(world.are_entries_exact(), "seed {seed}");
    }
}
