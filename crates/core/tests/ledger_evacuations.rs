//! Evacuations in the ledger.

use {
    hemlockford_core::ledger::{Command, Evacuation, Ledger, LedgerOutcome, MAX_EVACUATIONS},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

const SEEDS: std::ops::Range<u64> = 0..20;

fn order(data_centre: &str, is_active: bool, at: u64) -> Command {
    Command::Evacuate { data_centre: data_centre.into(), is_active, at }
}

fn settled() -> Ledger {
    let mut ledger = Ledger::default();
    ledger.apply(1, Command::Submit { number: 4, text: "a".into() });
    ledger.apply(2, Command::Depart { server: "s1".into(), incarnation: Some(5), at: 9 });
    ledger
}

/// Guards against a snapshot that the former version cannot read although nothing was evacuated, and against one with an
/// evacuation that it would read without it.
#[test]
fn the_form_of_a_snapshot_changes_with_the_first_order() {
    let mut ledger = settled();
    let former = ledger.snapshot().unwrap();
    assert_eq!(former[0], 2);
    assert_eq!(former[1..], postcard::to_stdvec(&ledger).unwrap());
    ledger.apply(3, order("north", true, 7));
    let snapshot = ledger.snapshot().unwrap();
    assert_eq!(snapshot[0], 3);
    let restored = Ledger::restore(&snapshot).unwrap();
    assert_eq!(restored, ledger);
    assert!(restored.is_evacuated("north") && restored.departed_incarnation("s1") == Some(5));
    ledger.apply(4, order("north", false, 8));
    let ended = Ledger::restore(&ledger.snapshot().unwrap()).unwrap();
    assert_eq!(ended.evacuation("north"), Some(Evacuation { is_active: false, index: 4, at: 8 }));
    assert!(ended.has_evacuations() && ended.evacuated().next().is_none());
    let before = Ledger::restore(&former).unwrap();
    assert_eq!(before, settled());
    assert!(!before.has_evacuations());
    assert!(Ledger::restore(&snapshot[..snapshot.len() - 1]).is_err(), "an incomplete snapshot");
}

/// Guards against a repetition that counts as a later order, by which a waiting copy of the first would be refused or a
/// late one accepted.
#[test]
fn a_repetition_changes_nothing() {
    let mut ledger = settled();
    ledger.apply(3, order("north", true, 7));
    assert_eq!(ledger.apply(4, order("north", true, 8)), LedgerOutcome::Evacuated(true));
    assert_eq!(ledger.evacuation("north"), Some(Evacuation { is_active: true, index: 3, at: 7 }));
    // The end of an evacuation that never began is recorded, so that a late copy of its start is refused.
    assert_eq!(ledger.apply(5, order("south", false, 9)), LedgerOutcome::Evacuated(true));
    assert_eq!(ledger.evacuation("south"), Some(Evacuation { is_active: false, index: 5, at: 9 }));
}

/// Guards against unbounded growth, and against the loss of an evacuation in force when there are too many.
#[test]
fn the_number_of_data_centres_is_bounded() {
    let mut ledger = Ledger::default();
    let name = |number: usize| format!("d{number}");
    for number in 0..10 * MAX_EVACUATIONS {
        let outcome = ledger.apply(1 + number as u64, order(&name(number), false, 0));
        assert_eq!(outcome, LedgerOutcome::Evacuated(true));
    }
    assert!(ledger.snapshot().unwrap().len() < MAX_EVACUATIONS * 20 + 100);
    let mut index = 1_000;
    for number in 0..MAX_EVACUATIONS {
        assert!(ledger.can_evacuate(&name(number)));
        index += 1;
        assert_eq!(ledger.apply(index, order(&name(number), true, 0)), LedgerOutcome::Evacuated(true));
    }
    assert!(!ledger.can_evacuate("other") && ledger.can_evacuate(&name(3)));
    assert_eq!(ledger.apply(2_000, order("other", true, 0)), LedgerOutcome::Evacuated(false));
    assert_eq!(ledger.evacuated().count(), MAX_EVACUATIONS);
    assert!(!ledger.is_evacuated("other"));
    ledger.apply(2_001, order(&name(3), false, 0));
    assert_eq!(ledger.apply(2_002, order("other", true, 0)), LedgerOutcome::Evacuated(true));
}

/// Guards against replicas that diverge after a snapshot, and against a state that differs from the last order.
#[test]
fn random_orders_leave_the_state_of_the_last_one() {
    for seed in SEEDS {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut ledger, mut model) = (Ledger::default(), BTreeMap::new());
        for index in 1..400 {
            let data_centre = format!("d{}", rng.random_range(0..6));
            let is_active = rng.random_bool(0.5);
            assert_eq!(ledger.apply(index, order(&data_centre, is_active, index)), LedgerOutcome::Evacuated(true));
            assert_eq!(ledger.apply(index, order(&data_centre, !is_active, index)), LedgerOutcome::AlreadyApplied);
            model.insert(data_centre, is_active);
            if rng.random_range(0..20) == 0 {
                let copy = Ledger::restore(&ledger.snapshot().unwrap()).unwrap();
                assert_eq!(copy, ledger, "seed {seed}");
                ledger = copy;
            }
            let active = model.iter().filter(|(_, is_active)| **is_active).map(|(data_centre, _)| &**data_centre);
            assert!(active.eq(ledger.evacuated().map(|data_centre| &**data_centre)), "seed {seed}");
        }
    }
}
