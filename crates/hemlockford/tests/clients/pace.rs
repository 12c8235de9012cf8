//! Crowds that send very slowly, read very slowly, or stop half-way.

use crate::{
    client::Client,
    crowd::{check, check_with_answers},
    target::Target,
};

/// Number of connections; more than the descriptors that the settings name.
const CROWD: usize = 300;
/// Number of connections that read large answers.
const READERS: usize = 150;
/// Size of a large answer.
const ANSWER_BYTES: usize = 4_000_000;
/// Number of bytes that a slow client sends, more than a test waits for.
const SLOW_BYTES: usize = 1_000;

fn send_head_slowly(client: &mut Client<'_>, target: Target) {
    let head = format!("{}x-long: {}", target.read(client.number), "y".repeat(SLOW_BYTES));
    client.send_slowly(head.as_bytes());
}

fn send_body_slowly(client: &mut Client<'_>, target: Target) {
    let head = format!("{}content-length: {SLOW_BYTES}\r\n\r\n", target.upload(client.number));
    if client.send(head.as_bytes()) {
        client.send_slowly(&[b'x'; SLOW_BYTES]);
    }
}

fn read_slowly(client: &mut Client<'_>, target: Target) {
    let head = format!("{}\r\n", target.read(client.number));
    if client.send(head.as_bytes()) {
        client.read_slowly();
    }
}

/// A third of the clients stops before the first byte, one within the head and one within the body.
fn stop_half_way(client: &mut Client<'_>, target: Target) {
    let mut request = format!("{}content-length: 1000\r\n\r\nhalf of it", target.upload(client.number));
    let length = match client.number % 3 {
        0 => 0,
        1 => request.len() / 2,
        _ => request.len(),
    };
    request.truncate(length);
    if client.send(request.as_bytes()) {
        client.hold();
    }
}

/// Guards against slow heads that take all connections.
#[test]
fn slow_heads_at_a_route() {
    check(Target::Route, CROWD, send_head_slowly);
}

/// Guards against slow heads at a path without a route.
#[test]
fn slow_heads_without_a_route() {
    check(Target::NoRoute, CROWD, send_head_slowly);
}

/// Guards against slow heads that keep the readiness checks from the admin address.
#[test]
fn slow_heads_at_ready() {
    check(Target::Ready, CROWD, send_head_slowly);
}

/// Guards against slow heads that keep heartbeats from the control address.
#[test]
fn slow_heads_at_the_control_address() {
    check(Target::Configuration, CROWD, send_head_slowly);
}

/// Guards against slow bodies that take all connections.
#[test]
fn slow_bodies_at_a_route() {
    check(Target::Route, CROWD, send_body_slowly);
}

/// Guards against slow bodies that are drained behind a refusal.
#[test]
fn slow_bodies_without_a_route() {
    check(Target::NoRoute, CROWD, send_body_slowly);
}

/// Guards against slow bodies of readiness checks.
#[test]
fn slow_bodies_at_ready() {
    check(Target::Ready, CROWD, send_body_slowly);
}

/// Guards against slow configurations, which take all connections of the control address.
#[test]
fn slow_bodies_as_configurations() {
    check(Target::Configuration, CROWD, send_body_slowly);
}

/// Guards against slow heartbeats, which take all connections of the control address.
#[test]
fn slow_bodies_as_heartbeats() {
    check(Target::Heartbeat, CROWD, send_body_slowly);
}

/// Guards against large answers that are kept for slow readers.
#[test]
fn slow_readers_at_a_route() {
    check_with_answers(ANSWER_BYTES, Target::Route, READERS, read_slowly);
}

/// Guards against slow readers of refusals.
#[test]
fn slow_readers_without_a_route() {
    check(Target::NoRoute, CROWD, read_slowly);
}

/// Guards against slow readers of readiness checks.
#[test]
fn slow_readers_at_ready() {
    check(Target::Ready, CROWD, read_slowly);
}

/// Guards against slow readers of the configuration.
#[test]
fn slow_readers_at_the_control_address() {
    check(Target::Configuration, CROWD, read_slowly);
}

/// Guards against stopped requests that take all connections.
#[test]
fn stopped_half_way_at_a_route() {
    check(Target::Route, CROWD, stop_half_way);
}

/// Guards against stopped requests at a path without a route.
#[test]
fn stopped_half_way_without_a_route() {
    check(Target::NoRoute, CROWD, stop_half_way);
}

/// Guards against stopped requests that keep the readiness checks from the admin address.
#[test]
fn stopped_half_way_at_ready() {
    check(Target::Ready, CROWD, stop_half_way);
}

/// Guards against stopped requests that keep heartbeats from the control address.
#[test]
fn stopped_half_way_at_the_control_address() {
    check(Target::Heartbeat, CROWD, stop_half_way);
}
