//! Random sequences of orders, faults and repetitions against a model: the state is the one of the last acknowledged
//! order.

mod fleet_support;

use {
    fleet_support::{World, ms},
    hemlockford_core::{collections::FastMap, fleet::ReplicaAnswer},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..30;
const DATA_CENTRES: [&str; 3] = ["d0", "d1", "d2"];
/// Time within which entries must follow an acknowledged order, with the extension for an unstable group.
const LIMIT: Duration = Duration::from_secs(10);

/// An operator who gives one order at a time for a data centre, and repeats it until it is acknowledged.
#[derive(Default)]
struct Orders {
    /// The last order for each data centre, and when it was acknowledged.
    last: FastMap<&'static str, (bool, Duration)>,
}

impl Orders {
    fn give(&mut self, world: &mut World, rng: &mut SmallRng, data_centre: &'static str, is_active: bool) {
        self.last.remove(data_centre);
        let (seed, start, mut ids) = (world.seed, world.now, Vec::new());
        loop {
            let running = world.running();
            let replica = running[rng.random_range(0..running.len())];
            ids.push(world.evacuate(replica, data_centre, is_active));
            let again = world.now + ms(rng.random_range(20..1_200));
            while world.now < again {
                world.run(ms(10));
                let is_acknowledged =
                    |id: &u64| matches!(world.answers.get(id), Some((_, ReplicaAnswer::Acknowledged)));
                if ids.iter().any(is_acknowledged) {
                    self.last.insert(data_centre, (is_active, world.now));
                    return;
                }
            }
            assert!(world.now < start + Duration::from_secs(30), "seed {seed}: the order is not acknowledged");
        }
    }

    /// Checks the entries for which the orders have been in force for long enough.
    fn check(&self, world: &World) {
        for (data_centre, (is_active, at)) in &self.last {
            for (index, entry) in world.entries.iter().enumerate() {
                let uses = entry.servers.values().flatten().any(|view| &*view.data_centre == *data_centre);
                let is_due = world.now >= *at + LIMIT && world.is_connected(index);
                assert!(
                    !(is_due && *is_active && uses),
                    "seed {} at {:?}: {} uses {data_centre}, whose evacuation was acknowledged at {at:?}",
                    world.seed,
                    world.now,
                    entry.name
                );
            }
        }
    }
}

/// A fault that lasts while orders are given.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Killed(usize),
    Frozen(usize),
    Isolated,
}

impl Fault {
    fn begin(world: &mut World, rng: &mut SmallRng) -> Self {
        world.first_start = false;
        let replica = rng.random_range(0..world.replicas.len());
        match rng.random_range(0..7) {
            0 => {
                world.kill_replica(replica);
                Self::Killed(replica)
            }
            1 => {
                world.freeze_replica(replica);
                Self::Frozen(replica)
            }
            2 => {
                world.isolate_replica(replica);
                Self::Isolated
            }
            3 => {
                (0..world.replicas.len()).for_each(|replica| world.kill_replica(replica));
                world.run(ms(500));
                (0..world.replicas.len()).for_each(|replica| world.start_replica(replica));
                Self::None
            }
            4 => {
                let entry = rng.random_range(0..world.entries.len());
                world.start_entry(entry);
                Self::None
            }
            5 => {
                let server = rng.random_range(0..world.servers.len());
                let port = 10_000 + (world.now.as_millis() % 50_000) as u16;
                world.restart_server(server, port);
                Self::None
            }
            _ => Self::None,
        }
    }

    fn end(self, world: &mut World) {
        match self {
            Self::None => {}
            Self::Killed(replica) => world.start_replica(replica),
            Self::Frozen(replica) => world.thaw_replica(replica),
            Self::Isolated => world.heal(),
        }
    }
}

/// Guards against an acknowledged order that is lost or undone: by a copy of an earlier one that waits at another
/// replica, by the loss of replicas or of all power, or by an entry that restarts.
#[test]
fn the_last_acknowledged_order_is_in_force() {
    for seed in SEEDS {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::settled(seed, 3, 4, 9);
        // Restarted servers and replicas drop records in ways that the checks of other tests cover.
        world.checks.ordered.extend(DATA_CENTRES.map(Into::into));
        let mut orders = Orders::default();
        for _ in 0..12 {
            let fault = Fault::begin(&mut world, &mut rng);
            let data_centre = DATA_CENTRES[rng.random_range(0..DATA_CENTRES.len())];
            // Opposite orders follow each other while copies of the first may still wait somewhere.
            let is_active = rng.random_bool(0.5);
            for turn in 0..rng.random_range(1..4) {
                orders.give(&mut world, &mut rng, data_centre, is_active ^ (turn % 2 == 1));
            }
            world.run(ms(rng.random_range(0..2_000)));
            fault.end(&mut world);
            for _ in 0..rng.random_range(0..10) {
                world.run(ms(500));
                orders.check(&world);
            }
        }
        world.run(LIMIT);
        orders.check(&world);
        for (data_centre, (is_active, _)) in &orders.last {
            for node in &world.replicas {
                let ledger = node.replica.as_ref().expect("it runs").ledger();
                assert_eq!(ledger.is_evacuated(data_centre), *is_active, "seed {seed}: {data_centre}");
            }
        }
        for entry in &world.entries {
            for server in &world.servers {
                let order = orders.last.get(&*server.record.data_centre);
                let is_evacuated = order.is_some_and(|(is_active, _)| *is_active);
                let name = &server.record.server;
                assert_eq!(entry.holds(name), !is_evacuated, "seed {seed}: {name} at {}", entry.name);
            }
        }
    }
}
