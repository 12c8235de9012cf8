//! Control on 7 instances with 3 replicas: changes, leaving servers, restarts, and the idle cost.
//! docs/notes/measurements.md says what is measured.

mod change;
mod idle;
mod leave;
mod options;
mod restart;
mod results;
#[path = "../support/mod.rs"]
mod support;
mod text;

use {gumdrop::Options, options::Arguments, results::Results, std::time::Duration, support::group::Group};

const INSTANCES: usize = 7;
const REPLICAS: usize = 3;

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let source = text::text(1);
    println!("text of {} bytes, load average {:.1}", source.len(), support::machine::load_average());
    let mut group = Group::start(INSTANCES, REPLICAS, &source);
    let mut results = Results::new();
    if arguments.includes("idle") {
        idle::measure(&group, Duration::from_secs(arguments.seconds), &mut results);
    }
    if arguments.includes("leave") {
        leave::measure(&group, arguments.leaves, &mut results);
    }
    if arguments.includes("change") {
        change::measure(&mut group, arguments.changes, &mut results);
    }
    if arguments.includes("restart") {
        change::submit_until(&mut group, arguments.history);
        restart::measure(&mut group, arguments.restarts, &mut results);
    }
    results.finish(arguments.out.as_deref());
}
