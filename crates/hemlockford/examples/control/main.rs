//! Measures the control plane of 7 instances with 3 replicas: changes, departing servers, restarts, and the idle cost.
//! docs/notes/measurements.md describes the measurements.

mod change;
mod configuration;
mod departure;
mod idle;
mod options;
mod restart;
mod results;
#[path = "../support/mod.rs"]
mod support;

use {gumdrop::Options, options::Arguments, results::Results, std::time::Duration, support::group::InstanceGroup};

const INSTANCES: usize = 7;
const REPLICAS: usize = 3;

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let config = configuration::configuration(1);
    println!("configuration of {} bytes, load average {:.1}", config.len(), support::machine::load_average());
    let mut group = InstanceGroup::start(INSTANCES, REPLICAS, &config);
    let mut results = Results::new();
    if arguments.includes("idle") {
        idle::measure(&group, Duration::from_secs(arguments.seconds), &mut results);
    }
    if arguments.includes("leave") {
        departure::measure(&group, arguments.leaves, &mut results);
    }
    if arguments.includes("change") {
        change::measure(&mut group, arguments.changes, &mut results);
    }
    if arguments.includes("restart") {
        change::submit_up_to(&mut group, arguments.history);
        restart::measure(&mut group, arguments.restarts, &mut results);
    }
    results.print_and_save(arguments.out.as_deref());
}
