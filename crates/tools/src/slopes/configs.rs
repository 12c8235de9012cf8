//! Configurations of any size for the measurements.

use std::fmt::Write;

/// Returns the name of a service.
pub(super) fn service_name(number: usize) -> String {
    format!("service-{number:02}")
}

/// Returns a configuration with the given number of services. Each sets every key, and most have one dependency.
pub(super) fn config(number: u64, services: usize) -> Box<str> {
    let mut config = format!(
        "[change]\nnumber = {number}\n\n[customer kovar]\nweight = 3\n\n[customer benes]\nweight = 1\n\n\
         [measure]\nserver-share = 0.5%\nentry-share = 0.5%\nbytes = 21000\n\n[claims]\nretention = 15m\n"
    );
    for index in 0..services {
        // Forms dependency chains of four services, each with a longer deadline than the one it depends on.
        let level = index % 4;
        let dependency = if level == 0 { String::new() } else { format!("depends = {}\n", service_name(index - 1)) };
        // Writing to a string cannot fail.
        let _ = write!(
            config,
            "\n[service {}]\n{dependency}deadline = {}ms\nobjective = 99.9% in 250ms\npolicy = permits\n\
             retry-budget = 10%\nqueue = 200\nshare.kovar = 3\n",
            service_name(index),
            800 + 200 * level,
        );
    }
    config.into()
}
