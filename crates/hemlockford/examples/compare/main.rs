//! Compares the load balancing of six entries over 20 servers with simpler policies and with a single entry that
//! sees every call. docs/notes/measurements.md describes the measurements.

mod measurement;
mod options;
#[path = "../support/mod.rs"]
mod support;
mod system;

use {
    gumdrop::Options,
    measurement::{HEADER, Measurement},
    options::{Arguments, Condition, Policy, Size},
    std::{collections::BTreeMap, sync::OnceLock, time::Duration},
    support::table::Table,
    system::{ENTRIES, TestSystem},
};

/// Columns that count violated guarantees and must be 0.
const VIOLATION_COLUMNS: [&str; 3] = ["wrong_partial_repeated", "ran_twice", "ran_but_denied"];

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    println!("seed {}, load average {:.1}", arguments.seed, support::machine::load_average());
    let mut table = Table::new(&HEADER);
    let mut violations = 0_usize;
    for size in or_all(&arguments.size, &Size::ALL) {
        // Only one group runs at a time, so that the other one uses no processor time. The ideal policy comes first.
        let (mut multi_entry, mut single_entry) = (None, None);
        for policy in Policy::ALL {
            let cases = selected_cases(&arguments, policy);
            if cases.is_empty() {
                continue;
            }
            let (system, other, instances) = match policy {
                Policy::Ideal => (&mut single_entry, &mut multi_entry, 1),
                _ => (&mut multi_entry, &mut single_entry, ENTRIES),
            };
            *other = None;
            let system =
                system.get_or_insert_with(|| TestSystem::start(size, instances, arguments.seed, arguments.workers));
            system.set_policy(policy);
            violations += measure_cases(&arguments, size, policy, system, &cases, &mut table);
        }
    }
    table.print_and_save(arguments.out.as_deref());
    if violations > 0 {
        eprintln!("{violations} rows violate a guarantee: a column of {VIOLATION_COLUMNS:?} is not 0");
        std::process::exit(1);
    }
}

/// Returns the conditions and loads to measure with a policy.
fn selected_cases(arguments: &Arguments, policy: Policy) -> Vec<(Condition, u32)> {
    let is_selected = |condition: &Condition| match arguments.policy.as_slice() {
        [] => condition.includes_by_default(policy),
        policies => policies.contains(&policy),
    };
    let conditions = or_all(&arguments.condition, &Condition::ALL).into_iter().filter(is_selected);
    conditions
        .flat_map(|condition| {
            or_all(&arguments.load, condition.default_loads()).into_iter().map(move |load| (condition, load))
        })
        .collect()
}

/// Measures a policy that has been applied, and returns the number of rows that violate a guarantee.
fn measure_cases(
    arguments: &Arguments,
    size: Size,
    policy: Policy,
    system: &TestSystem,
    cases: &[(Condition, u32)],
    table: &mut Table,
) -> usize {
    let duration = Duration::from_secs_f64(arguments.seconds);
    let mut violations = 0_usize;
    let mut baselines = BTreeMap::<_, OnceLock<_>>::new();
    for (condition, load) in cases.iter().copied() {
        let baseline_p99 = baselines.entry(load).or_default();
        let measurement =
            Measurement { system, size, condition, policy, load, duration, seed: arguments.seed, baseline_p99 };
        table.add_row(measurement.measure());
        eprintln!("{}", table.last_row());
        violations += usize::from(VIOLATION_COLUMNS.iter().any(|name| table.last_value(name) != "0"));
    }
    violations
}

fn or_all<T: Copy>(selected: &[T], all: &[T]) -> Vec<T> {
    if selected.is_empty() { all.to_vec() } else { selected.to_vec() }
}
