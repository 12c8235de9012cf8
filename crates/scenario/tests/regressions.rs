//! Cells of the fault matrix that once failed, each with the fault that it guards against.

use hemlockford_scenario::matrix::{Cell, Exchange, Fault, Sabotage};

fn check(exchange: Exchange, replicas: usize, seed: u64, faults: &[(usize, Fault)]) {
    let cell = Cell { exchange, replicas, seed, faults: faults.to_vec(), sabotage: Sabotage::None };
    assert_eq!(cell.run().violations, [], "{cell:?}");
}

/// Guards against a leader that ignores a conflict because the hint lies before the entries that it
/// knows to match: the replica then never gets another entry.
#[test]
fn conflict_hint_before_matched_entries() {
    let faults = [
        (33, Fault::CutOut(1)),
        (32, Fault::CrashTorn(1)),
        (13, Fault::CrashBeforeSync(2)),
        (11, Fault::CrashBeforeSync(0)),
    ];
    check(Exchange::Append, 3, 12, &faults);
    let faults = [
        (1, Fault::CrashTorn(2)),
        (23, Fault::CrashAfterSync(0)),
        (24, Fault::CrashAfterSync(1)),
        (2, Fault::CrashBeforeSync(0)),
    ];
    check(Exchange::Append, 3, 11, &faults);
}
