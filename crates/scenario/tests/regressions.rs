//! Cells of the fault matrix that failed in the past.

use hemlockford_scenario::matrix::{Cell, Defect, Exchange, Fault};

fn check(exchange: Exchange, replicas: usize, seed: u64, faults: &[(usize, Fault)]) {
    let cell = Cell { exchange, replicas, seed, faults: faults.to_vec(), defect: Defect::None };
    assert_eq!(cell.run().violations, [], "{cell:?}");
}

/// Guards against a leader that ignores a conflict because the hint is before the entries known to match: the replica
/// then never receives another entry.
#[test]
fn conflict_hint_before_matched_entries() {
    let faults = [
        (33, Fault::CutOutbound(1)),
        (32, Fault::CrashPartialSync(1)),
        (13, Fault::CrashBeforeSync(2)),
        (11, Fault::CrashBeforeSync(0)),
    ];
    check(Exchange::Append, 3, 12, &faults);
    let faults = [
        (1, Fault::CrashPartialSync(2)),
        (23, Fault::CrashAfterSync(0)),
        (24, Fault::CrashAfterSync(1)),
        (2, Fault::CrashBeforeSync(0)),
    ];
    check(Exchange::Append, 3, 11, &faults);
}

/// Guards against a proposer that lost its data folder and waits forever for a replica that has accepted a late
/// proposal of the lost incarnation with the same ballot.
#[test]
fn ballot_taken_by_late_proposal_of_lost_folder() {
    let faults = [
        (34, Fault::LoseDisk(0)),
        (4, Fault::CutOutbound(0)),
        (31, Fault::CrashPartialSync(1)),
        (20, Fault::Freeze(1)),
    ];
    check(Exchange::Formation, 3, 15, &faults);
    let faults = [(25, Fault::LoseDisk(0)), (5, Fault::Isolate(0)), (39, Fault::Isolate(0)), (20, Fault::Freeze(2))];
    check(Exchange::Formation, 3, 14, &faults);
}

/// Guards against a candidate that abandons its election before its own vote is durable, and so keeps raising the term
/// of the others without being elected.
#[test]
fn candidate_with_slow_disk() {
    check(Exchange::Append, 5, 3, &[(48, Fault::CutInbound(0)), (45, Fault::SlowDisk(1))]);
    check(Exchange::CatchUp, 5, 3, &[(33, Fault::CrashPartialSync(0)), (3, Fault::SlowDisk(3))]);
    check(Exchange::CatchUp, 5, 3, &[(32, Fault::CrashPartialSync(0)), (39, Fault::SlowDisk(3))]);
}
