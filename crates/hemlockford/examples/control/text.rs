//! The text of 60 services that is submitted.

use std::fmt::Write;

const SERVICES: usize = 60;
/// Services of one tier; each depends on one of the next tier.
const TIER: usize = 20;
/// Deadline of the services that depend on nothing; one tier up it is longer by the same.
const DEADLINE_MS: usize = 1_000;

/// Returns a text of about 8 KB without its number. The variant makes it differ from other ones.
pub fn text(variant: u64) -> String {
    let mut text = String::new();
    for customer in 0..20 {
        writeln!(text, "[customer customer{customer}]\nweight = {}", 1 + (customer + variant) % 7).expect("written");
    }
    for service in 0..SERVICES {
        writeln!(text, "[service {}]", name(service)).expect("written");
        if service + TIER < SERVICES {
            writeln!(text, "depends = {}", name(service + TIER)).expect("written");
        }
        let deadline = DEADLINE_MS * (SERVICES / TIER - service / TIER);
        let queue = 200 + (variant + service as u64) % 100;
        writeln!(text, "deadline = {deadline}ms\nobjective = 99.9% in 250ms\npolicy = permits").expect("written");
        writeln!(text, "retry-budget = 10%\nqueue = {queue}").expect("written");
    }
    text
}

/// Returns the name of a service, the first of which is the one that the stand-in servers run.
fn name(service: usize) -> String {
    if service == 0 { "catalogue".into() } else { format!("service-{service}") }
}
