//! Bodies of legal size that never end, and bodies far over the limit.

use crate::{client::Client, crowd::check, target::Target};

/// Number of connections with bodies.
const CROWD: usize = 150;
/// Bytes by which a body stops short of its end.
const SHORT_OF_END: usize = 10;
/// Size of a small piece.
const PIECE_BYTES: usize = 200;
/// Number of chunks of one byte; each takes six bytes on the wire.
const CHUNKS: usize = 100_000;
/// Declared size of a body far over the limit, and size of a part of it.
const HUGE_BYTES: usize = 1_000_000_000;
const HUGE_PART_BYTES: usize = 65_536;

fn send_in_one_piece(client: &mut Client<'_>, target: Target) {
    let size = target.body_bytes();
    let mut request = format!("{}content-length: {size}\r\n\r\n", target.upload(client.number)).into_bytes();
    request.resize(request.len() + size - SHORT_OF_END, b'x');
    if client.send(&request) {
        client.hold();
    }
}

fn send_in_small_pieces(client: &mut Client<'_>, target: Target) {
    let size = target.body_bytes();
    let head = format!("{}content-length: {size}\r\n\r\n", target.upload(client.number));
    let body = vec![b'x'; size - SHORT_OF_END];
    if client.send(head.as_bytes()) && body.chunks(PIECE_BYTES).all(|piece| client.send(piece)) {
        client.hold();
    }
}

fn send_in_chunks(client: &mut Client<'_>, target: Target) {
    let head = format!("{}transfer-encoding: chunked\r\n\r\n", target.upload(client.number));
    let chunks = "1\r\nx\r\n".repeat(CHUNKS);
    if client.send(head.as_bytes()) && client.send(chunks.as_bytes()) {
        client.hold();
    }
}

fn send_far_too_much(client: &mut Client<'_>, target: Target) {
    let head = format!("{}content-length: {HUGE_BYTES}\r\n\r\n", target.upload(client.number));
    let part = [b'x'; HUGE_PART_BYTES];
    if client.send(head.as_bytes()) {
        while client.send(&part) {}
    }
}

/// Guards against an entry that keeps every body it has begun to read.
#[test]
fn whole_bodies_at_a_route() {
    check(Target::Route, CROWD, send_in_one_piece);
}

/// Guards against unread bodies of refused requests that are kept.
#[test]
fn whole_bodies_without_a_route() {
    check(Target::NoRoute, CROWD, send_in_one_piece);
}

/// Guards against bodies that are kept although the readiness check needs none.
#[test]
fn whole_bodies_at_ready() {
    check(Target::Ready, CROWD, send_in_one_piece);
}

/// Guards against configurations that are kept in any number until they are complete.
#[test]
fn whole_bodies_as_configurations() {
    check(Target::Configuration, CROWD, send_in_one_piece);
}

/// Guards against heartbeats that may be as long as a configuration.
#[test]
fn whole_bodies_as_heartbeats() {
    check(Target::Heartbeat, CROWD, send_in_one_piece);
}

/// Guards against pieces of bodies that cost much more memory than their bytes.
#[test]
fn small_pieces_at_a_route() {
    check(Target::Route, CROWD, send_in_small_pieces);
}

/// Guards against unread bodies of refused requests that are kept piece by piece.
#[test]
fn small_pieces_without_a_route() {
    check(Target::NoRoute, CROWD, send_in_small_pieces);
}

/// Guards against bodies in pieces that are kept although the readiness check needs none.
#[test]
fn small_pieces_at_ready() {
    check(Target::Ready, CROWD, send_in_small_pieces);
}

/// Guards against pieces of configurations that are kept in any number.
#[test]
fn small_pieces_as_configurations() {
    check(Target::Configuration, CROWD, send_in_small_pieces);
}

/// Guards against chunks of one byte that cost much more memory than their bytes.
#[test]
fn chunks_at_a_route() {
    check(Target::Route, CROWD, send_in_chunks);
}

/// Guards against chunks of refused requests that are kept.
#[test]
fn chunks_without_a_route() {
    check(Target::NoRoute, CROWD, send_in_chunks);
}

/// Guards against chunks that are kept although the readiness check needs none.
#[test]
fn chunks_at_ready() {
    check(Target::Ready, CROWD, send_in_chunks);
}

/// Guards against chunks of configurations that are kept in any number.
#[test]
fn chunks_as_configurations() {
    check(Target::Configuration, CROWD, send_in_chunks);
}

/// Guards against bodies over the limit that are read and kept.
#[test]
fn bodies_far_over_the_limit_at_a_route() {
    check(Target::Route, CROWD, send_far_too_much);
}

/// Guards against bodies over the limit that are read after a refusal.
#[test]
fn bodies_far_over_the_limit_without_a_route() {
    check(Target::NoRoute, CROWD, send_far_too_much);
}

/// Guards against bodies over the limit that are read for a readiness check.
#[test]
fn bodies_far_over_the_limit_at_ready() {
    check(Target::Ready, CROWD, send_far_too_much);
}

/// Guards against bodies over the limit that are kept up to the limit in any number.
#[test]
fn bodies_far_over_the_limit_as_configurations() {
    check(Target::Configuration, CROWD, send_far_too_much);
}
