//! Many requests that are sent ahead on one connection whose answers are not read.

use crate::{
    client::Client,
    crowd::{check, check_with_answers},
    target::Target,
};

const CROWD: usize = 60;
/// Number of requests that one connection sends ahead.
const REQUESTS: usize = 20_000;
/// Size of an answer, so that the answers to all requests sent ahead fill every buffer of the kernel.
const ANSWER_BYTES: usize = 60_000;

fn send_ahead(client: &mut Client<'_>, target: Target) {
    let request = format!("{}\r\n", target.read(client.number));
    if client.send(request.repeat(REQUESTS).as_bytes()) {
        client.hold();
    }
}

/// Guards against pipelines whose unread answers are kept and whose requests take all slots.
#[test]
fn unread_pipelines_at_a_route() {
    check_with_answers(ANSWER_BYTES, Target::Route, CROWD, send_ahead);
}

/// Guards against unread refusals that are kept.
#[test]
fn unread_pipelines_without_a_route() {
    check(Target::NoRoute, CROWD, send_ahead);
}

/// Guards against unread answers of the admin address, of which each connection may hold many.
#[test]
fn unread_pipelines_at_ready() {
    check(Target::Ready, CROWD, send_ahead);
}

/// Guards against unread configurations, of which each connection may hold many.
#[test]
fn unread_pipelines_at_the_control_address() {
    check(Target::Configuration, CROWD, send_ahead);
}
