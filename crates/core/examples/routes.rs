//! Measures the time to parse 1,250 and 10,000 routes that are distinct, match the same requests, or have the same
//! name. Prints the shortest time of 20 rounds, because other processes slow down single rounds. The goal is less than
//! 100 ms for 10,000 routes in a release build, and less than 16 times the time for 1,250.

use {
    hemlockford_core::config::Configuration,
    std::time::{Duration, Instant},
};

const ROUTES: usize = 10_000;
const ROUNDS: usize = 20;
const SERVICES: usize = 60;

fn main() {
    for form in ["distinct", "equal", "twice"] {
        let (small, large) = (routes(form, ROUTES / 8), routes(form, ROUTES));
        let mut shortest = (Duration::MAX, Duration::MAX);
        for _ in 0..ROUNDS {
            let small_time = (0..4).map(|_| time(&small)).min().unwrap_or(Duration::MAX);
            shortest = (shortest.0.min(small_time), shortest.1.min(time(&large)));
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

/// Returns a configuration with `count` routes. `form` selects whether they are distinct, match the same requests and
/// have an invalid kind, or have the same name.
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
    let change = std::iter::once("[change]\nnumber = 1\n".into());
    change.chain(services).chain((0..count).map(route)).collect()
}
