//! Runs the fault matrix of the replicated log: `matrix [replicas] [seed] [cells] [threads] [stride] [faults per
//! cell]`.

use {
    hemlockford_scenario::matrix::{Exchange, Summary, count_steps, random_faults, run, single_faults},
    std::{env, process::ExitCode, time::Instant},
};

fn main() -> ExitCode {
    let numbers: Vec<u64> = env::args().skip(1).filter_map(|number| number.parse().ok()).collect();
    let number = |at: usize, default| numbers.get(at).copied().unwrap_or(default);
    let size = |at, default| usize::try_from(number(at, default)).unwrap_or(usize::MAX);
    let (replicas, seed, count) = (size(0, 3), number(1, 1), size(2, 1_000));
    let (threads, stride, faults) = (size(3, 4), size(4, 1), size(5, 2));
    println!(
        "replicas {replicas}, seed {seed}, {count} random cells with {faults} faults per exchange, stride {stride}"
    );
    let mut total = Summary::default();
    for exchange in Exchange::ALL {
        let start = Instant::now();
        let mut cells = single_faults(exchange, replicas, seed, stride);
        let single = cells.len();
        cells.extend(random_faults(exchange, replicas, seed, count, faults));
        let summary = run(&cells, threads);
        let (steps, time) = (count_steps(exchange, replicas, seed), start.elapsed());
        println!("{exchange:?}: {steps} steps, {single} single-fault cells, {summary}, {time:.1?}");
        total.add(summary);
    }
    println!("total: {} cells, {} failed", total.cells, total.failures.len());
    if total.failures.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
