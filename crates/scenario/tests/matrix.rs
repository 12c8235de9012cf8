//! Fault matrix of the replicated log with fixed seeds. The example `matrix` runs more cells.

use hemlockford_scenario::matrix::{Exchange, random_faults, run, single_faults};

/// Random seed of the cells in CI.
const SEED: u64 = 1;
/// Cells with two random faults for each exchange.
const PAIRS: usize = 600;
/// Cells with four random faults for each exchange.
const FOURS: usize = 300;
/// Threads for each exchange; the tests of the exchanges run in parallel.
const THREADS: usize = 1;

fn check(exchange: Exchange) {
    let mut cells = single_faults(exchange, 3, SEED, 1);
    cells.extend(random_faults(exchange, 3, SEED, PAIRS, 2));
    cells.extend(random_faults(exchange, 3, SEED, FOURS, 4));
    cells.extend(single_faults(exchange, 5, SEED, 16));
    cells.extend(random_faults(exchange, 5, SEED, FOURS, 4));
    let summary = run(&cells, THREADS);
    println!("{exchange:?}, seed {SEED}: {summary}");
    assert!(summary.failures.is_empty(), "{exchange:?}, seed {SEED}: {summary}");
    assert_eq!(summary.cells, cells.len(), "a cell did not finish");
}

/// Guards against two groups formed from the same replicas, and against a group that is never formed.
#[test]
fn formation() {
    check(Exchange::Formation);
}

/// Guards against two leaders in a term and against committed entries lost in an election.
#[test]
fn election() {
    check(Exchange::Election);
}

/// Guards against entries committed before they are durable on a majority.
#[test]
fn append() {
    check(Exchange::Append);
}

/// Guards against entries lost or applied twice around a snapshot.
#[test]
fn snapshot() {
    check(Exchange::Snapshot);
}

/// Guards against a snapshot assembled incorrectly from its pieces, and a replica that never catches up.
#[test]
fn catch_up() {
    check(Exchange::CatchUp);
}

/// Guards against a follower that lost its data folder and counts towards majorities before it is admitted again.
#[test]
fn admit() {
    check(Exchange::Admit);
}

/// Guards against a leader that lost its data folder and counts towards majorities before it is admitted again.
#[test]
fn admit_leader() {
    check(Exchange::AdmitLeader);
}

/// Guards against two leaders in a term during a leadership transfer, and against proposals lost by it.
#[test]
fn leadership_transfer() {
    check(Exchange::LeadershipTransfer);
}
