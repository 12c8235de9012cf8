//! Operators' configs of any size.

use std::fmt::Write;

/// Name of a service.
pub(super) fn service(number: usize) -> String {
    format!("service-{number:02}")
}

/// Returns a text with a number of services, each with every key and one dependency.
pub(super) fn config(number: u64, services: usize) -> Box<str> {
    let mut text = format!(
        "[change]\nnumber = {number}\n\n[customer kovar]\nweight = 3\n\n[customer benes]\nweight = 1\n\n\
         [measure]\nserver-share = 0.5%\nentry-share = 0.5%\nbytes = 21000\n\n[claims]\nretention = 15m\n"
    );
    for index in 0..services {
        // Chains of four services, each with a deadline longer than that of the one it depends on.
        let level = index % 4;
        let depends = if level == 0 { String::new() } else { format!("depends = {}\n", service(index - 1)) };
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[service {}]\n{depends}deadline = {}ms\nobjective = 99.9% in 250ms\npolicy = permits\n\
             retry-budget = 10%\nqueue = 200\nshare.kovar = 3\n",
            service(index),
            800 + 200 * level,
        );
    }
    text.into()
}
