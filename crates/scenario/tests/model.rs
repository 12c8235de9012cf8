//! Exhaustive searches over small groups: no property is violated, and every injected defect is detected.

use hemlockford_scenario::{
    fakes::{LostWrites, Tampering, Violation},
    model::{Bounds, Defect, ModelOptions, Report, Seeds, Start, search},
};

/// Base bounds; no search here reaches the limits on steps and states.
const BASE: Bounds = Bounds {
    steps: 200,
    states: 200_000,
    changes: 0,
    reads: 0,
    timers: 0,
    crashes: 0,
    losses: 0,
    drops: 0,
    overtakes: 0,
    delays: 0,
    interrupts: 0,
    slow: 0,
    stops: 0,
};
/// Bounds for the steps after the loss of a data folder that granted a vote, in which two leaders could be elected.
const LATE_VOTE: Bounds = Bounds { timers: 1, crashes: 1, ..BASE };
/// Bounds for two heartbeats, at the second of which an unreachable voter is replaced, and the loss of the leader.
const SILENT: Bounds = Bounds { timers: 2, crashes: 1, ..BASE };

fn run(options: ModelOptions) -> Report {
    let report = search(options);
    let ModelOptions { start, voters, seeds, defect, .. } = options;
    println!("{start:?}, voters {voters}, seeds {seeds:?}, injected defect: {defect:?}\n{report}");
    report
}

fn check_no_violation(options: ModelOptions) {
    let report = run(options);
    assert_eq!(report.violations, []);
    assert!(report.is_complete || report.depth == options.bounds.steps, "stopped at the bound on states");
}

fn check_detected(defect: Defect, options: ModelOptions, is_expected: impl Fn(&Violation) -> bool) {
    let report = run(ModelOptions { defect, ..options });
    assert!(report.violations.iter().any(is_expected) && !report.trace.is_empty(), "{defect:?} is not detected");
}

/// Guards against a change that is lost, accepted with two contents or missed by a read when a process crashes or
/// transfers leadership.
#[test]
fn crashes() {
    for bounds in [
        Bounds { changes: 1, reads: 1, timers: 1, crashes: 1, ..BASE },
        Bounds { changes: 2, crashes: 1, ..BASE },
        Bounds { changes: 1, reads: 1, timers: 1, stops: 1, ..BASE },
    ] {
        check_no_violation(ModelOptions { bounds, ..ModelOptions::default() });
    }
}

/// Guards against the same when messages are lost, delayed or reordered and writes are slow.
#[test]
fn messages() {
    for bounds in [
        Bounds { changes: 1, timers: 1, drops: 1, slow: 1, ..BASE },
        Bounds { changes: 2, timers: 1, overtakes: 1, ..BASE },
        Bounds { changes: 1, reads: 1, timers: 1, delays: 1, ..BASE },
    ] {
        check_no_violation(ModelOptions { bounds, ..ModelOptions::default() });
    }
}

/// Guards against a second leader elected by a vote of a lost data folder.
#[test]
fn lost_folder() {
    check_no_violation(ModelOptions { start: Start::LateVote, bounds: LATE_VOTE, ..ModelOptions::default() });
    for bounds in [
        Bounds { changes: 2, timers: 1, losses: 1, ..BASE },
        Bounds { steps: 24, changes: 2, timers: 1, crashes: 1, losses: 1, ..BASE },
    ] {
        check_no_violation(ModelOptions { bounds, ..ModelOptions::default() });
    }
}

/// Guards against a group without a leader, or two groups, when an unreachable voter is replaced.
#[test]
fn replacement() {
    check_no_violation(ModelOptions {
        start: Start::Silent,
        check_progress: true,
        bounds: SILENT,
        ..ModelOptions::default()
    });
}

/// Guards against a second group formed by founders that lose a data folder, or by a replica that has no live seeds.
#[test]
fn formation() {
    let bounds = Bounds { timers: 2, losses: 1, ..BASE };
    check_no_violation(ModelOptions { start: Start::Empty, bounds, ..ModelOptions::default() });
    check_no_violation(ModelOptions {
        seeds: Seeds::Gone,
        bounds: Bounds { changes: 1, ..bounds },
        ..ModelOptions::default()
    });
}

/// Guards against a search that does not detect a skipped fsync.
#[test]
fn skipped_sync_is_detected() {
    let options = ModelOptions { bounds: Bounds { changes: 1, ..BASE }, ..ModelOptions::default() };
    check_detected(Defect::Disk(LostWrites::All), options, |it| matches!(it, Violation::ConfirmedWithoutMajority(_)));
}

/// Guards against a search that does not detect a vote that is lost in a crash.
#[test]
fn lost_vote_is_detected() {
    let options = ModelOptions { bounds: Bounds { timers: 1, crashes: 2, ..BASE }, ..ModelOptions::default() };
    check_detected(Defect::Disk(LostWrites::Votes), options, |it| matches!(it, Violation::TwoLeaders(_)));
}

/// Guards against a search that does not detect a vote that is counted twice. Among 3 voters one vote is sufficient
/// anyway, so this uses 4.
#[test]
fn vote_counted_twice_is_detected() {
    let bounds = Bounds { timers: 1, crashes: 2, ..BASE };
    let options = ModelOptions { voters: 4, bounds, ..ModelOptions::default() };
    check_detected(Defect::Net(Tampering::Vote), options, |it| matches!(it, Violation::LeaderWithoutMajority(_)));
}

/// Guards against a search that does not detect an acknowledgement of missing entries.
#[test]
fn false_acknowledgement_is_detected() {
    let options = ModelOptions { bounds: Bounds { changes: 2, ..BASE }, ..ModelOptions::default() };
    check_detected(Defect::Net(Tampering::Acknowledgement), options, |it| {
        matches!(it, Violation::InvariantViolated(_))
    });
}

/// Guards against a search that does not detect a new data folder that counts as the lost one.
#[test]
fn reused_incarnation_is_detected() {
    let options = ModelOptions { start: Start::LateVote, bounds: LATE_VOTE, ..ModelOptions::default() };
    check_detected(Defect::Incarnation, options, |it| matches!(it, Violation::TwoLeaders(_)));
}

/// Guards against a search that does not detect that a lost incarnation is replaced in a single membership change.
#[test]
fn single_change_replacement_is_detected() {
    let options = ModelOptions { start: Start::LateVote, bounds: LATE_VOTE, ..ModelOptions::default() };
    check_detected(Defect::OneChange, options, |it| matches!(it, Violation::TwoLeaders(_)));
}

/// Guards against a search that does not detect two contents accepted under one change number.
#[test]
fn conflicting_changes_are_detected() {
    let options = ModelOptions { bounds: Bounds { changes: 2, ..BASE }, ..ModelOptions::default() };
    check_detected(Defect::Number, options, |it| matches!(it, Violation::ConflictingChanges(_)));
}

/// Guards against a search that does not detect a read without confirmation by a majority.
#[test]
fn unconfirmed_read_is_detected() {
    let bounds = Bounds { changes: 1, reads: 1, timers: 1, delays: 1, ..BASE };
    let options = ModelOptions { bounds, ..ModelOptions::default() };
    check_detected(Defect::Read, options, |it| matches!(it, Violation::StaleRead(_)));
}

/// Guards against a search that does not detect a removed voter whose longer log prevents the election of the others.
#[test]
fn early_removal_is_detected() {
    let options =
        ModelOptions { start: Start::Silent, check_progress: true, bounds: SILENT, ..ModelOptions::default() };
    check_detected(Defect::Removal, options, |it| *it == Violation::NoProgressOfMajority);
}

/// Guards against a search that does not detect a second group.
#[test]
fn second_group_is_detected() {
    let bounds = Bounds { timers: 3, ..BASE };
    let options = ModelOptions { start: Start::Empty, bounds, ..ModelOptions::default() };
    check_detected(Defect::Formation, options, |it| matches!(it, Violation::TwoLeaders(_)));
}
