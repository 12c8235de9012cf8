//! Runs the fault matrix of the replicated log: `matrix [replicas] [seed] [pairs] [threads] [stride]`.

use {
    hemlockford_scenario::matrix::{Exchange, Summary, pairs, run, singles, steps},
    std::{env, process::ExitCode, time::Instant},
};

fn main() -> ExitCode {
    let numbers: Vec<u64> = env::args().skip(1).filter_map(|number| number.parse().ok()).collect();
    let number = |at: usize, default| numbers.get(at).copied().unwrap_or(default);
    let size = |at, default| usize::try_from(number(at, default)).unwrap_or(usize::MAX);
    let (replicas, seed, count, threads, stride) = (size(0, 3), number(1, 1), size(2, 1_000), size(3, 4), size(4, 1));
    println!("replicas {replicas}, seed {seed}, {count} pairs for each exchange, stride {stride}");
    let mut total = Summary::default();
    for exchange in Exchange::ALL {
        let start = Instant::now();
        let mut cells = singles(exchange, replicas, seed, stride);
        let single = cells.len();
        cells.extend(pairs(exchange, replicas, seed, count));
        let summary = run(&cells, threads);
        let (steps, time) = (steps(exchange, replicas, seed), start.elapsed());
        println!("{exchange:?}: {steps} steps, {single} singly, {summary}, {time:.1?}");
        total.add(summary);
    }
    println!("total: {} cells, {} failed", total.cells, total.failures.len());
    if total.failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
