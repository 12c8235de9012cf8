//! Latency that one entry adds to direct calls, with the entry and the servers as processes.

#[path = "../support/mod.rs"]
mod support;

use {
    gumdrop::Options,
    support::{group::Group, machine, process::run},
};

/// Calls do not wait for a slot, because the measurement is about the path alone.
const SERVERS: [&str; 6] = ["--servers", "8", "--slots", "64", "--service-time", "0us"];
const RATES: [&str; 3] = ["1000", "4000", "8000"];

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "length of each part", default = "2s", no_short)]
    time: String,
    #[options(help = "rounds of one part direct and one through", default = "3", no_short)]
    rounds: String,
    #[options(help = "calls a second; may be repeated (1000, 4000 and 8000 by default)")]
    rate: Vec<String>,
    #[options(help = "file that the result is written to as CSV", no_short, meta = "FILE")]
    out: Option<String>,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let group = Group::start(1, 1, "[service catalogue]\ndeadline = 2s\n");
    let servers = group.servers(&SERVERS);
    group.wait_servers(servers.addresses.len());
    let mut bench = vec!["bench", "added", "--entry", &group.instances[0].callers];
    bench.extend(["--time", &arguments.time, "--rounds", &arguments.rounds, "--answer-bytes", "1000"]);
    bench.extend(servers.addresses.iter().flat_map(|address| ["--server", address]));
    let rates: Vec<_> = arguments.rate.iter().map(String::as_str).collect();
    let rates = if rates.is_empty() { RATES.to_vec() } else { rates };
    bench.extend(rates.iter().flat_map(|rate| ["--rate", rate]));
    if let Some(out) = &arguments.out {
        bench.extend(["--csv", out]);
    }
    println!("load average {:.1}", machine::load_average());
    let ended = run(&bench);
    print!("{}{}", ended.stdout, ended.stderr);
    println!("load average {:.1}", machine::load_average());
    drop(servers);
    drop(group);
    std::process::exit(ended.code);
}
