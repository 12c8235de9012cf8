//! Heads of legal size that consist of very many short fields.

use crate::{client::Client, crowd::check, target::Target};

const CROWD: usize = 200;
/// Number of fields; each takes five bytes.
const FIELDS: usize = 3_000;

/// Stops before the end of the head.
fn send_many_fields(client: &mut Client<'_>, target: Target) {
    let head = format!("{}{}", target.read(client.number), "a:1\r\n".repeat(FIELDS));
    if client.send(head.as_bytes()) {
        client.hold();
    }
}

/// Guards against fields that are kept as they arrive and cost much more memory than their bytes.
#[test]
fn many_fields_at_a_route() {
    check(Target::Route, CROWD, send_many_fields);
}

/// Guards against fields of a request that no route takes.
#[test]
fn many_fields_without_a_route() {
    check(Target::NoRoute, CROWD, send_many_fields);
}

/// Guards against fields of a readiness check.
#[test]
fn many_fields_at_ready() {
    check(Target::Ready, CROWD, send_many_fields);
}

/// Guards against fields of requests at the control address.
#[test]
fn many_fields_at_the_control_address() {
    check(Target::Configuration, CROWD, send_many_fields);
}
