//! Connections between instances that go silent without a reset.

mod fleet_support;

use {
    fleet_support::{World, ms, texts::large_text},
    hemlockford_core::fleet::ReplicaAnswer,
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..10;
/// Time without faults after which a change must be in force in time again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time limit from the acceptance of a change until it is in force on every entry.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);
/// Routes of a text that is too long for a datagram.
const ROUTES: usize = 60;

/// Guards against a change that is late because it is sent on one silent connection after another.
#[test]
fn a_change_is_in_force_in_time_after_connections_went_silent() {
    for (seed, share) in SEEDS.flat_map(|seed| [(seed, 1.0), (seed, 0.5)]) {
        for replica in 0..3 {
            let mut world = World::settled(seed, 3, 6, 3);
            println!("{:.0}% of the connections go silent", share * 100.0);
            world.links.loss = 0.0;
            world.submit(replica, &large_text(2, ROUTES));
            world.run_until(ms(2_000), |world| world.entries.iter().all(|entry| entry.change == 2));
            world.run(ms(2_000));
            world.links.streams.silence(share, &mut world.rng);
            world.run(CONTACT);
            let id = world.submit(replica, &large_text(3, 2 * ROUTES));
            world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
            assert!(matches!(world.answers[&id].1, ReplicaAnswer::Accepted { .. }), "seed {seed}");
            world.run_until(IN_FORCE_WITHIN, |world| world.entries.iter().all(|entry| entry.change == 3));
        }
    }
}

/// Guards against a server that is used after its departure was acknowledged, because that is sent on silent connections.
#[test]
fn a_departure_binds_in_time_after_connections_went_silent() {
    for (seed, share) in SEEDS.flat_map(|seed| [(seed, 1.0), (seed, 0.7)]) {
        let mut world = World::settled(seed, 3, 6, 3);
        world.links.loss = 0.0;
        // A text that is sent over a connection opens one between all instances.
        world.submit(0, &large_text(2, ROUTES));
        world.run_until(ms(2_000), |world| world.entries.iter().all(|entry| entry.change == 2));
        world.links.streams.silence(share, &mut world.rng);
        world.run(CONTACT);
        world.submit(1, &large_text(3, 2 * ROUTES));
        world.drain(0, seed as usize % 3);
        world.run_until(ms(4_000), |world| world.servers[0].acknowledged_at.is_some());
        let server = world.servers[0].record.server.clone();
        world.run_until(IN_FORCE_WITHIN, |world| world.entries.iter().all(|entry| !entry.holds(&server)));
    }
}
