//! Measures the time of parsing 1,250 and 10,000 routes that are distinct, match the same requests, or have one name.
//! Prints the shortest times of 20 rounds, as other processes slow single rounds down. The goal is under 100 ms for
//! 10,000 routes in a release build, and less than 16 times the time of 1,250.

use {
    hemlockford_core::config::Configuration,
    std::time::{Duration, Instant},
};

const ROUTES: usize = 10_000;
const ROUNDS: usize = 20;
const SERVICES: usize = 60;

fn main() {
    for form in ["distinct", "equal", "twice"] {
        let (few, many) = (routes(form, ROUTES / 8), routes(form, ROUTES));
        let mut shortest = (Duration::MAX, Duration::MAX);
        for _ in 0..ROUNDS {
            let quick = (0..4).map(|_| time(&few)).min().unwrap_or(Duration::MAX);
            shortest = (shortest.0.min(quick), shortest.1.min(time(&many)));
        }
        println!("{form}: {shortest:?}");
    }
}

fn time(source: &str) -> Duration {
    let start = Instant::now();
    let parsed = Configuration::parse(source);
    let time = start.elapsed();
    drop(parsed);
    time
}

/// Returns a text with `count` routes by whether they are distinct, match the same requests with a bad kind, or have
/// one name.
fn routes(form: &str, count: usize) -> String {
    let route = |number: usize| {
        let (name, path, kind) = match form {
            "distinct" => (number, number, "once"),
            "equal" => (number, 0, "often"),
            _ => (0, number, "once"),
        };
        let (host, service) = (number % 100, number % SERVICES);
        format!("[route r{name}]\nhost = h{host}.ex\nprefix = /p{path}/\nkind = {kind}\nservice = s{service}\n")
    };
    let services = (0..SERVICES).map(|number| format!("[service s{number}]\n"));
    let head = std::iter::once("[change]\nnumber = 1\n".into());
    head.chain(services).chain((0..count).map(route)).collect()
}
