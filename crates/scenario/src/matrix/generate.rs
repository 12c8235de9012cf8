//! Generates and runs cells: single faults at every step, and random combinations of faults.

use {
    super::{Cell, CellResult, Defect, Exchange, Fault},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        fmt::{self, Display, Formatter},
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::Duration,
    },
};

/// Summary of the cells of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of cells run.
    pub cells: usize,
    /// Cells in which a majority of data folders was lost.
    pub majority_lost: usize,
    /// Cells in which all data folders were lost, so that they were not checked further.
    pub all_lost: usize,
    /// Maximum time from the end of all faults until every replica had caught up.
    pub recovery: Duration,
    /// Cells in which a property was violated.
    pub failures: Vec<(Cell, CellResult)>,
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { cells, majority_lost, all_lost, recovery, failures } = self;
        let failed = failures.len();
        write!(f, "{cells} cells, {failed} failed, {majority_lost} with a majority of folders lost, ")?;
        write!(f, "{all_lost} with all lost, maximum recovery time {recovery:?}")?;
        for (cell, result) in failures.iter().take(10) {
            write!(f, "\n{cell:?}: {:?}", result.violations)?;
        }
        Ok(())
    }
}

impl Summary {
    /// Adds another summary.
    pub fn add(&mut self, other: Self) {
        self.cells += other.cells;
        self.majority_lost += other.majority_lost;
        self.all_lost += other.all_lost;
        self.recovery = self.recovery.max(other.recovery);
        self.failures.extend(other.failures);
    }
}

/// Returns the number of steps of an exchange without faults.
///
/// # Panics
///
/// Panics if a property is violated or the exchange does not complete, since then no other cell is meaningful.
pub fn count_steps(exchange: Exchange, replicas: usize, seed: u64) -> usize {
    let cell = Cell { exchange, replicas, seed, faults: Vec::new(), defect: Defect::None };
    let result = cell.run();
    assert_eq!(result.violations, [], "{exchange:?} without faults, seed {seed}");
    result.steps.unwrap_or_else(|| panic!("{exchange:?} does not complete without faults, seed {seed}"))
}

/// Returns every `stride`th of the cells with a single fault at a single step of an exchange.
pub fn single_faults(exchange: Exchange, replicas: usize, seed: u64, stride: usize) -> Vec<Cell> {
    let faults = Fault::all(replicas);
    let cells =
        (0..=count_steps(exchange, replicas, seed)).flat_map(|step| faults.iter().map(move |fault| (step, *fault)));
    let cell = |fault| Cell { exchange, replicas, seed, faults: vec![fault], defect: Defect::None };
    cells.step_by(stride).map(cell).collect()
}

/// Returns `count` cells with `size` random faults at random steps of an exchange.
pub fn random_faults(exchange: Exchange, replicas: usize, seed: u64, count: usize, size: usize) -> Vec<Cell> {
    let (faults, steps) = (Fault::all(replicas), count_steps(exchange, replicas, seed));
    // Each exchange uses a different random sequence.
    let mut rng = SmallRng::seed_from_u64(seed ^ (exchange as u64) << 32);
    let mut fault = || (rng.random_range(0..=steps), faults[rng.random_range(0..faults.len())]);
    let mut cell = || {
        let faults = (0..size).map(|_| fault()).collect();
        Cell { exchange, replicas, seed, faults, defect: Defect::None }
    };
    (0..count).map(|_| cell()).collect()
}

/// Runs cells on several threads.
pub fn run(cells: &[Cell], threads: usize) -> Summary {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut summary = Summary::default();
        while let Some(cell) = cells.get(next.fetch_add(1, Ordering::Relaxed)) {
            let result = cell.run();
            summary.cells += 1;
            summary.majority_lost += usize::from(result.is_majority_lost);
            summary.all_lost += usize::from(result.is_all_lost);
            summary.recovery = summary.recovery.max(result.recovery);
            if !result.violations.is_empty() {
                summary.failures.push((cell.clone(), result));
            }
        }
        summary
    };
    let mut summary = Summary::default();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        for worker in workers {
            if let Ok(part) = worker.join() {
                summary.add(part);
            }
        }
    });
    summary
}
