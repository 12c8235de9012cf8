//! Configuration of 60 services that the program submits.

use std::fmt::Write;

const SERVICES: usize = 60;
/// Services of one tier. Each service depends on one service of the next tier.
const SERVICES_PER_TIER: usize = 20;
/// Deadline of the services of the last tier, which have no dependencies. Each tier above adds the same time.
const DEADLINE_MS: usize = 1_000;

/// Returns a configuration of about 8 KB without a change number. Different variants give different configurations.
pub fn configuration(variant: u64) -> String {
    let mut config = String::new();
    for customer in 0..20 {
        writeln!(config, "[customer customer{customer}]\nweight = {}", 1 + (customer + variant) % 7)
            .expect("writing to a string succeeds");
    }
    for service in 0..SERVICES {
        writeln!(config, "[service {}]", service_name(service)).expect("writing to a string succeeds");
        if service + SERVICES_PER_TIER < SERVICES {
            writeln!(config, "depends = {}", service_name(service + SERVICES_PER_TIER))
                .expect("writing to a string succeeds");
        }
        let deadline = DEADLINE_MS * (SERVICES / SERVICES_PER_TIER - service / SERVICES_PER_TIER);
        let queue = 200 + (variant + service as u64) % 100;
        writeln!(config, "deadline = {deadline}ms\nobjective = 99.9% in 250ms\npolicy = permits")
            .expect("writing to a string succeeds");
        writeln!(config, "retry-budget = 10%\nqueue = {queue}").expect("writing to a string succeeds");
    }
    config
}

/// Returns the name of a service. The first service is the one that the stand-in servers run.
fn service_name(service: usize) -> String {
    if service == 0 { "catalogue".into() } else { format!("service-{service}") }
}
