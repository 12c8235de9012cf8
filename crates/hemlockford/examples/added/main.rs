//! Measures the latency that one entry adds to direct calls. The entry and the servers run as separate processes.

#[path = "../support/mod.rs"]
mod support;

use {
    gumdrop::Options,
    support::{group::InstanceGroup, machine, process::run},
};

/// Options of the stand-in servers. They have so many slots that no call waits for one, since only the latency of
/// the path is measured.
const SERVER_OPTIONS: [&str; 6] = ["--servers", "8", "--slots", "64", "--service-time", "0us"];
const DEFAULT_RATES: [&str; 3] = ["1000", "4000", "8000"];

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "duration of each measurement", default = "2s", no_short)]
    time: String,
    #[options(help = "rounds, each with one direct measurement and one through the entry", default = "3", no_short)]
    rounds: String,
    #[options(help = "calls per second; may be repeated (1000, 4000 and 8000 by default)")]
    rate: Vec<String>,
    #[options(help = "CSV file to write the results to", no_short, meta = "FILE")]
    out: Option<String>,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let group = InstanceGroup::start(1, 1, "[service catalogue]\ndeadline = 2s\n");
    let servers = group.start_servers(&SERVER_OPTIONS);
    group.wait_for_servers(servers.addresses.len());
    let mut bench_arguments = vec!["bench", "added", "--entry", &group.instances[0].caller_address];
    bench_arguments.extend(["--time", &arguments.time, "--rounds", &arguments.rounds, "--answer-bytes", "1000"]);
    bench_arguments.extend(servers.addresses.iter().flat_map(|address| ["--server", address]));
    let rates: Vec<_> = arguments.rate.iter().map(String::as_str).collect();
    let rates = if rates.is_empty() { DEFAULT_RATES.to_vec() } else { rates };
    bench_arguments.extend(rates.iter().flat_map(|rate| ["--rate", rate]));
    if let Some(out) = &arguments.out {
        bench_arguments.extend(["--csv", out]);
    }
    println!("load average {:.1}", machine::load_average());
    let output = run(&bench_arguments);
    print!("{}{}", output.stdout, output.stderr);
    println!("load average {:.1}", machine::load_average());
    drop(servers);
    drop(group);
    std::process::exit(output.code);
}
