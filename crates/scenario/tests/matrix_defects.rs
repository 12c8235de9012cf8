//! Injects defects to show that the checks of the fault matrix detect them.

use hemlockford_scenario::{
    fakes::{LostWrites, Tampering, Violation},
    matrix::{Defect, Exchange, random_faults, run},
};

/// Random seed of the cells.
const SEED: u64 = 7;
/// Cells with two random faults for each exchange.
const PAIRS: usize = 400;

fn violations(defect: Defect, replicas: usize, exchanges: &[Exchange]) -> Vec<Violation> {
    let mut cells = Vec::new();
    for exchange in exchanges {
        cells.extend(random_faults(*exchange, replicas, SEED, PAIRS, 2));
    }
    for cell in &mut cells {
        cell.defect = defect;
    }
    let summary = run(&cells, 1);
    println!("{defect:?}, seed {SEED}: {} of {} cells failed", summary.failures.len(), summary.cells);
    summary.failures.into_iter().flat_map(|(_, result)| result.violations).collect()
}

/// Guards against checks that do not detect a skipped fsync.
#[test]
fn skipped_sync_is_detected() {
    let found = violations(Defect::Disk(LostWrites::All), 3, &[Exchange::Append]);
    assert!(found.iter().any(|violation| matches!(violation, Violation::ConfirmedWithoutMajority(_))));
}

/// Guards against checks that do not detect a vote that is lost in a crash.
#[test]
fn lost_vote_is_detected() {
    let found = violations(Defect::Disk(LostWrites::Votes), 3, &[Exchange::Election, Exchange::LeadershipTransfer]);
    assert!(found.iter().any(|violation| matches!(violation, Violation::TwoLeaders(_))));
}

/// Guards against checks that do not detect a vote that is counted twice. Among 3 replicas one vote is sufficient
/// anyway, so this uses 5.
#[test]
fn vote_counted_twice_is_detected() {
    let found = violations(Defect::Net(Tampering::Vote), 5, &[Exchange::Election, Exchange::AdmitLeader]);
    assert!(found.iter().any(|violation| matches!(violation, Violation::LeaderWithoutMajority(_))));
}

/// Guards against checks that do not detect a replica that counts towards majorities without admission.
#[test]
fn dropped_incarnation_is_detected() {
    let found = violations(Defect::Net(Tampering::Incarnation), 3, &[Exchange::Admit, Exchange::AdmitLeader]);
    assert!(found.iter().any(|violation| matches!(violation, Violation::ConfirmedWithoutMajority(_))));
}

/// Guards against checks that do not detect an acknowledgement of missing entries.
#[test]
fn false_acknowledgement_is_detected() {
    let found = violations(Defect::Net(Tampering::Acknowledgement), 3, &[Exchange::Append, Exchange::CatchUp]);
    assert!(found.iter().any(|violation| matches!(violation, Violation::ConfirmedWithoutMajority(_))));
}
