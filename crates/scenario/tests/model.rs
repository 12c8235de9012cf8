//! Exhaustive searches over small groups: no rule is broken, and every rule that is broken on purpose is found.

use hemlockford_scenario::{
    fakes::{LostWrites, Tampering, Violation},
    model::{Bounds, Defect, ModelOptions, Report, Seeds, Start, search},
};

/// Bounds that no search here reaches.
const FREE: Bounds = Bounds {
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
/// Steps after the loss of a folder that granted a vote, in which two leaders could be elected.
const LATE_VOTE: Bounds = Bounds { timers: 1, crashes: 1, ..FREE };
/// Two heartbeats, at the second of which a silent voter is replaced, and the loss of the leader.
const SILENT: Bounds = Bounds { timers: 2, crashes: 1, ..FREE };

fn run(options: ModelOptions) -> Report {
    let report = search(options);
    let ModelOptions { start, voters, seeds, defect, .. } = options;
    println!("{start:?}, voters {voters}, seeds {seeds:?}, broken on purpose: {defect:?}\n{report}");
    report
}

fn holds(options: ModelOptions) {
    let report = run(options);
    assert_eq!(report.violations, []);
    assert!(report.is_complete || report.depth == options.bounds.steps, "cut off by the number of states");
}

fn is_found(defect: Defect, options: ModelOptions, is_expected: impl Fn(&Violation) -> bool) {
    let report = run(ModelOptions { defect, ..options });
    assert!(report.violations.iter().any(is_expected) && !report.trace.is_empty(), "{defect:?} is not found");
}

/// Guards against a change that is lost, won twice or not seen by a read when a process crashes or hands over.
#[test]
fn crashes() {
    for bounds in [
        Bounds { changes: 1, reads: 1, timers: 1, crashes: 1, ..FREE },
        Bounds { changes: 2, crashes: 1, ..FREE },
        Bounds { changes: 1, reads: 1, timers: 1, stops: 1, ..FREE },
    ] {
        holds(ModelOptions { bounds, ..ModelOptions::default() });
    }
}

/// Guards against the same when messages are lost, late or overtaken and writes take long.
#[test]
fn messages() {
    for bounds in [
        Bounds { changes: 1, timers: 1, drops: 1, slow: 1, ..FREE },
        Bounds { changes: 2, timers: 1, overtakes: 1, ..FREE },
        Bounds { changes: 1, reads: 1, timers: 1, delays: 1, ..FREE },
    ] {
        holds(ModelOptions { bounds, ..ModelOptions::default() });
    }
}

/// Guards against a second leader by a vote of a folder that was lost.
#[test]
fn lost_folder() {
    holds(ModelOptions { start: Start::LateVote, bounds: LATE_VOTE, ..ModelOptions::default() });
    for bounds in [
        Bounds { changes: 2, timers: 1, losses: 1, ..FREE },
        Bounds { steps: 24, changes: 2, timers: 1, crashes: 1, losses: 1, ..FREE },
    ] {
        holds(ModelOptions { bounds, ..ModelOptions::default() });
    }
}

/// Guards against a group without a leader, or two groups, when a silent voter is replaced.
#[test]
fn replacement() {
    holds(ModelOptions { start: Start::Silent, check_progress: true, bounds: SILENT, ..ModelOptions::default() });
}

/// Guards against a second group of founders that lose a folder, or of a replica that is told of none that lives.
#[test]
fn founding() {
    let bounds = Bounds { timers: 2, losses: 1, ..FREE };
    holds(ModelOptions { start: Start::Empty, bounds, ..ModelOptions::default() });
    holds(ModelOptions { seeds: Seeds::Gone, bounds: Bounds { changes: 1, ..bounds }, ..ModelOptions::default() });
}

/// Guards against a search that does not notice a fsync that is skipped.
#[test]
fn skipped_sync_is_found() {
    let options = ModelOptions { bounds: Bounds { changes: 1, ..FREE }, ..ModelOptions::default() };
    is_found(Defect::Disk(LostWrites::All), options, |it| matches!(it, Violation::ConfirmedWithoutMajority(_)));
}

/// Guards against a search that does not notice a vote that a crash makes a replica forget.
#[test]
fn forgotten_vote_is_found() {
    let options = ModelOptions { bounds: Bounds { timers: 1, crashes: 2, ..FREE }, ..ModelOptions::default() };
    is_found(Defect::Disk(LostWrites::Votes), options, |it| matches!(it, Violation::TwoLeaders(_)));
}

/// Guards against a search that does not notice a vote that is counted twice. Among 3 voters one vote is enough.
#[test]
fn vote_counted_twice_is_found() {
    let bounds = Bounds { timers: 1, crashes: 2, ..FREE };
    let options = ModelOptions { voters: 4, bounds, ..ModelOptions::default() };
    is_found(Defect::Net(Tampering::Vote), options, |it| matches!(it, Violation::LeaderWithoutMajority(_)));
}

/// Guards against a search that does not notice an acknowledgement of entries that are not there.
#[test]
fn false_acknowledgement_is_found() {
    let options = ModelOptions { bounds: Bounds { changes: 2, ..FREE }, ..ModelOptions::default() };
    is_found(Defect::Net(Tampering::Acknowledgement), options, |it| matches!(it, Violation::InvariantViolated(_)));
}

/// Guards against a search that does not notice a new folder that counts as the one that was lost.
#[test]
fn dropped_incarnation_is_found() {
    let options = ModelOptions { start: Start::LateVote, bounds: LATE_VOTE, ..ModelOptions::default() };
    is_found(Defect::Incarnation, options, |it| matches!(it, Violation::TwoLeaders(_)));
}

/// Guards against a search that does not notice a lost folder that is replaced in one change.
#[test]
fn one_change_is_found() {
    let options = ModelOptions { start: Start::LateVote, bounds: LATE_VOTE, ..ModelOptions::default() };
    is_found(Defect::OneChange, options, |it| matches!(it, Violation::TwoLeaders(_)));
}

/// Guards against a search that does not notice a number that is won by two contents.
#[test]
fn number_won_twice_is_found() {
    let options = ModelOptions { bounds: Bounds { changes: 2, ..FREE }, ..ModelOptions::default() };
    is_found(Defect::Number, options, |it| matches!(it, Violation::ConflictingChanges(_)));
}

/// Guards against a search that does not notice a read that no majority has confirmed.
#[test]
fn unconfirmed_read_is_found() {
    let bounds = Bounds { changes: 1, reads: 1, timers: 1, delays: 1, ..FREE };
    let options = ModelOptions { bounds, ..ModelOptions::default() };
    is_found(Defect::Read, options, |it| matches!(it, Violation::StaleRead(_)));
}

/// Guards against a search that does not notice a removed voter whose log keeps the others from being elected.
#[test]
fn early_removal_is_found() {
    let options =
        ModelOptions { start: Start::Silent, check_progress: true, bounds: SILENT, ..ModelOptions::default() };
    is_found(Defect::Removal, options, |it| *it == Violation::NoProgressOfMajority);
}

/// Guards against a search that does not notice a second group.
#[test]
fn second_group_is_found() {
    let bounds = Bounds { timers: 3, ..FREE };
    let options = ModelOptions { start: Start::Empty, bounds, ..ModelOptions::default() };
    is_found(Defect::Formation, options, |it| matches!(it, Violation::TwoLeaders(_)));
}
