//! Entries beyond the number that one replica serves.

use {
    hemlockford_core::{
        consensus::Recovered,
        fleet::{FleetMessage, Poll, PollResponse, Replica, ReplicaAction, ReplicaEvent, ReplicaOptions},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Entries that one replica serves.
const MAX_SUBSCRIBERS: usize = 1_024;

/// Polls a replica and returns its answer.
fn poll(replica: &mut Replica, now: Instant, entry: usize, sequence: u64) -> PollResponse {
    let poll =
        Poll { sequence, change: 0, known: None, is_probe: false, leaving: Vec::new(), suspects: 0, relay: None };
    let from = format!("10.0.{}.{}:7000", entry / 250, entry % 250).into();
    let event = ReplicaEvent::Receive { from, incarnation: 1, message: FleetMessage::Poll(poll) };
    let mut actions = Vec::new();
    replica.handle(now, event, &mut actions);
    let mut sent = actions.into_iter().filter_map(|action| match action {
        ReplicaAction::Send { message: FleetMessage::PollResponse(response), .. } => Some(response),
        _ => None,
    });
    sent.next().expect("an answer to the poll")
}

/// Guards against an entry that uses a replica which has no room for it, and therefore never gets a configuration.
#[test]
fn a_full_replica_is_not_current_for_further_entries() {
    let id: Box<str> = "127.0.0.1:7000".into();
    let options =
        ReplicaOptions { id: id.clone(), seeds: vec![id], first_start: true, voters: 1, ..Default::default() };
    let recovered = Recovered { incarnation: 1, ..Default::default() };
    let (mut now, mut actions) = (Instant::now(), Vec::new());
    let mut replica = Replica::new(now, options, recovered, SmallRng::seed_from_u64(1), &mut actions);
    for _ in 0..40 {
        now = replica.next_wake().unwrap_or(now);
        replica.handle(now, ReplicaEvent::Tick, &mut actions);
        replica.handle(now, ReplicaEvent::Persisted { up_to: u64::MAX }, &mut actions);
    }
    assert!(replica.is_current());
    for entry in 0..MAX_SUBSCRIBERS {
        assert!(poll(&mut replica, now, entry, 1).is_current, "entry {entry}");
    }
    let further = poll(&mut replica, now, MAX_SUBSCRIBERS, 1);
    assert!(!further.is_current && !further.is_complete);
    assert!(poll(&mut replica, now, 0, 2).is_current, "those that it serves stay");
    // An entry that has stopped polling makes room.
    for _ in 0..3 {
        now += Duration::from_secs(1);
        for entry in 1..MAX_SUBSCRIBERS {
            poll(&mut replica, now, entry, 3);
        }
        replica.handle(now, ReplicaEvent::Tick, &mut actions);
        replica.handle(now, ReplicaEvent::Persisted { up_to: u64::MAX }, &mut actions);
    }
    assert!(poll(&mut replica, now, MAX_SUBSCRIBERS, 2).is_current);
}
