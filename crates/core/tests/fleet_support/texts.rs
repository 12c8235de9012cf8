//! Configuration texts.

use std::fmt::Write;

/// Returns the configuration text of a change.
pub fn text(number: u64) -> String {
    format!("[change]\nnumber = {number}\n[service catalogue]\n[service stock]\n")
}

/// Returns a configuration text with many routes, of which one differs with the number of the change.
pub fn large_text(number: u64, routes: usize) -> String {
    let mut text = format!("[change]\nnumber = {number}\n\n[service catalogue]\n[service stock]\n");
    for route in 0..routes {
        let attempts = if route as u64 == number { 3 } else { 2 };
        let prefix = (route as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        write!(
            text,
            "\n[route r-{route}]\nhost = h{:x}.example\nprefix = /{prefix:x}/\nkind = idempotent\nattempts = {attempts}\n\
             timeout = 600ms\nservice = catalogue\n",
            prefix % 9
        )
        .unwrap();
    }
    text
}
