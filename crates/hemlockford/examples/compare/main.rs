//! Load balancing of six entries over 20 servers, compared with baselines and with one entry that sees
//! every call. docs/notes/measurements.md says what is measured.

mod options;
mod row;
#[path = "../support/mod.rs"]
mod support;
mod system;

use {
    gumdrop::Options,
    options::{Arguments, Condition, Policy, Size},
    row::{HEADER, Row},
    std::{collections::BTreeMap, sync::OnceLock, time::Duration},
    support::table::Table,
    system::{ENTRIES, TestSystem},
};

/// Columns that must be 0.
const PROMISES: [&str; 3] = ["wrong_partial_repeated", "ran_twice", "ran_but_denied"];

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    println!("seed {}, load average {:.1}", arguments.seed, support::machine::load_average());
    let mut table = Table::new(&HEADER);
    let mut broken = 0_usize;
    for size in or_all(&arguments.size, &Size::ALL) {
        // Only one group runs at a time, so that the other one takes no processor time. The ideal comes first.
        let (mut several, mut single) = (None, None);
        for policy in Policy::ALL {
            let rows = rows(&arguments, policy);
            if rows.is_empty() {
                continue;
            }
            let (system, other, instances) = match policy {
                Policy::Ideal => (&mut single, &mut several, 1),
                _ => (&mut several, &mut single, ENTRIES),
            };
            *other = None;
            let system =
                system.get_or_insert_with(|| TestSystem::start(size, instances, arguments.seed, arguments.workers));
            system.set_policy(policy);
            broken += measure(&arguments, size, policy, system, &rows, &mut table);
        }
    }
    table.finish(arguments.out.as_deref());
    if broken > 0 {
        eprintln!("{broken} rows broke a promise");
        std::process::exit(1);
    }
}

/// Returns the conditions and loads that are measured with a policy.
fn rows(arguments: &Arguments, policy: Policy) -> Vec<(Condition, u32)> {
    let is_chosen = |condition: &Condition| match arguments.policy.as_slice() {
        [] => condition.includes(policy),
        policies => policies.contains(&policy),
    };
    let conditions = or_all(&arguments.condition, &Condition::ALL).into_iter().filter(is_chosen);
    conditions
        .flat_map(|condition| or_all(&arguments.load, condition.loads()).into_iter().map(move |load| (condition, load)))
        .collect()
}

/// Measures the rows of a policy that is in force, and returns how many of them broke a promise.
fn measure(
    arguments: &Arguments,
    size: Size,
    policy: Policy,
    system: &TestSystem,
    rows: &[(Condition, u32)],
    table: &mut Table,
) -> usize {
    let time = Duration::from_secs_f64(arguments.seconds);
    let mut broken = 0_usize;
    let mut alone = BTreeMap::<_, OnceLock<_>>::new();
    for (condition, load) in rows.iter().copied() {
        let alone = alone.entry(load).or_default();
        let row = Row { system, size, condition, policy, load, time, seed: arguments.seed, alone };
        table.add(row.measure());
        eprintln!("{}", table.last());
        broken += usize::from(PROMISES.iter().any(|name| table.last_value(name) != "0"));
    }
    broken
}

fn or_all<T: Copy>(chosen: &[T], all: &[T]) -> Vec<T> {
    if chosen.is_empty() { all.to_vec() } else { chosen.to_vec() }
}
