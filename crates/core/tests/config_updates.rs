//! Updates of an entry's configuration text: their size follows what has changed, and a lost one is replaced.

mod fleet_support;

use {
    fleet_support::{World, ms, texts::large_text},
    hemlockford_core::{
        config::{Configuration, MAX_CONFIG_BYTES},
        fleet::{ConfigUpdate, ReplicaAnswer},
    },
    hemlockford_fuzz::{Mutator, SEED},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

const SEEDS: std::ops::Range<u64> = 0..3;
/// Routes of a large configuration.
const ROUTES: usize = 1_400;

/// Guards against an update that builds another text, whatever was inserted, removed, moved or repeated.
#[test]
fn an_update_builds_the_new_text() {
    let mut rng = SmallRng::seed_from_u64(7);
    for _ in 0..2_000 {
        let mut line = || format!("line {}\n", rng.random_range(0..12));
        let mut texts: Vec<String> = (0..2).map(|_| (0..20).map(|_| line()).collect()).collect();
        if rng.random_bool(0.2) {
            texts[1].pop();
        }
        let update = ConfigUpdate::between((1, &texts[0]), (2, &texts[1]));
        assert_eq!(update.apply(&texts[0]).as_deref(), Some(&*texts[1]));
        let back = ConfigUpdate::between((1, &texts[1]), (2, &texts[0]));
        assert_eq!(back.apply(&texts[1]).as_deref(), Some(&*texts[0]));
    }
    for (old, new) in [("", "a\n"), ("a\n", ""), ("", ""), ("a", "a\n")] {
        assert_eq!(ConfigUpdate::between((1, old), (2, new)).apply(old).as_deref(), Some(new));
    }
}

/// Guards against a whole text on the link of every entry for each small change.
#[test]
fn the_size_of_an_update_follows_the_change() {
    let texts: Vec<_> = (1..4).map(|number| large_text(number, ROUTES)).collect();
    assert!(Configuration::parse(&texts[0]).is_ok());
    let small = ConfigUpdate::between((1, &texts[0]), (2, &texts[1]));
    assert!(small.size() < 200, "{} bytes for one route", small.size());
    let whole = ConfigUpdate::between((0, ""), (1, &texts[0]));
    assert!(whole.size() < texts[0].len() / 4, "{} of {} bytes", whole.size(), texts[0].len());
}

/// Guards against a panic, or a text of any length, from a forged update.
#[test]
fn forged_updates_are_rejected() {
    let old = large_text(1, 20);
    let update = ConfigUpdate::between((1, &old), (2, &large_text(2, 20)));
    let encoded = postcard::to_extend(&update, Vec::new()).unwrap();
    let mut mutator = Mutator::new(SEED);
    let mut decoded = 0;
    for _ in 0..3_000 {
        let bytes = mutator.mutate(&encoded, &encoded);
        if let Ok(update) = postcard::from_bytes::<ConfigUpdate>(&bytes) {
            decoded += 1;
            let text = update.apply(&old);
            assert!(text.is_none_or(|text| text.len() <= MAX_CONFIG_BYTES), "seed {SEED}: {bytes:?}");
        }
    }
    assert!(decoded > 100, "seed {SEED}: {decoded} decoded");
}

/// Guards against updates whose bytes grow with the whole text, for every entry and each of several changes, and
/// against entries that miss one of them.
#[test]
fn changes_to_a_large_text_cost_entries_few_bytes() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 6, 3);
        let id = world.submit(0, &large_text(2, 300));
        world.run_until(ms(4_000), |world| world.entries.iter().all(|entry| entry.change == 2));
        assert!(world.answers.contains_key(&id), "seed {seed}");
        world.run(ms(2_000));
        let received = |world: &World| world.entries.iter().map(|entry| entry.received_bytes).collect::<Vec<_>>();
        world.run(ms(1_000));
        let before = received(&world);
        world.run(ms(1_000));
        let idle: Vec<_> = received(&world).iter().zip(&before).map(|(after, before)| after - before).collect();
        let before = received(&world);
        for number in 3..7 {
            world.submit(0, &large_text(number, 300));
            world.run(ms(50));
        }
        world.run_until(ms(2_000), |world| world.entries.iter().all(|entry| entry.change == 6));
        world.run(ms(500));
        let text = large_text(6, 300).len() as u64;
        for ((after, before), idle) in received(&world).iter().zip(before).zip(idle) {
            let bytes = (after - before).saturating_sub(3 * idle);
            assert!(bytes < text / 20, "seed {seed}: {bytes} bytes for four changes of one route in {text}");
        }
    }
}

/// Guards against an entry that stays behind because an update was lost, because its replica has restarted and has no
/// earlier text, or because it has installed none itself.
#[test]
fn an_entry_that_missed_an_update_gets_the_newest_text() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 1);
        world.submit(0, &large_text(2, 50));
        world.run_until(ms(4_000), |world| world.entries.iter().all(|entry| entry.change == 2));
        // Entry 0 misses two changes.
        world.freeze_entry(0);
        for number in 3..5 {
            world.submit(0, &large_text(number, 50));
            world.run(ms(300));
        }
        world.thaw_entry(0);
        world.run_until(ms(2_000), |world| world.entries.iter().all(|entry| entry.change == 4));
        // Packets are lost while changes follow each other.
        world.links.loss = 0.3;
        for number in 5..9 {
            world.submit(0, &large_text(number, 50));
            world.run(ms(200));
        }
        world.links.loss = 0.0;
        world.run_until(ms(4_000), |world| {
            let newest = world.replicas.iter().filter_map(|node| node.replica.as_ref());
            let newest = newest.map(|replica| replica.ledger().change_number()).max();
            world.entries.iter().all(|entry| Some(entry.change) == newest)
        });
        for replica in 0..3 {
            world.kill_replica(replica);
        }
        for replica in 0..3 {
            world.start_replica(replica);
        }
        world.add_entry();
        world.run_until(ms(8_000), |world| world.leader().is_some());
        world.submit(0, &large_text(20, 50));
        world.run_until(ms(8_000), |world| world.entries.iter().all(|entry| entry.change == 20));
    }
}

/// Guards against an entry that stays behind for as long as changes follow each other, because one update was lost.
#[test]
fn a_lost_update_does_not_hold_up_an_entry_until_changes_stop() {
    for seed in 0..10 {
        let mut world = World::settled(seed, 3, 3, 1);
        world.links.loss = 0.0;
        for entry in 0..3 {
            let name = world.entries[entry].name.clone();
            let first = 2 + 20 * entry as u64;
            let mut accepted = Vec::new();
            for number in first..first + 12 {
                let id = world.submit(0, &large_text(number, 50));
                if number == first {
                    // Nothing arrives at the entry while the first update is sent.
                    let replicas: Vec<_> = world.replicas.iter().map(|node| node.name.clone()).collect();
                    world.links.cuts.extend(replicas.into_iter().map(|replica| (replica, name.clone())));
                }
                world.run(ms(100));
                world.heal();
                world.run(ms(230));
                accepted.push((number, id));
                let due = accepted.iter().filter(|(_, id)| {
                    matches!(world.answers.get(id), Some((at, ReplicaAnswer::Accepted { .. })) if *at + ms(2_000) <= world.now)
                });
                let due = due.map(|(number, _)| *number).max().unwrap_or(0);
                let held = world.entries[entry].change;
                assert!(held >= due, "seed {seed}: {name} has change {held}, and change {due} is 2 s old");
            }
        }
    }
}
