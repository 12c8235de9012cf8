//! Replicas that lose their data folders: the cases for which votes and acknowledgements carry an incarnation and
//! replicas are admitted through the log.

use {
    hemlockford_core::consensus::{
        Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Entry, HardState, Member, Message, MessageBody,
        Payload, Recovered,
    },
    hemlockford_scenario::fakes::{Cluster, ClusterOptions},
    rand::{SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time limit for a replica that lost its data folder to be admitted again.
const ADMISSION_LIMIT: Duration = Duration::from_secs(5);

fn converged_cluster(options: ClusterOptions) -> Cluster {
    let mut cluster = Cluster::new(options);
    converge(&mut cluster);
    cluster
}

fn converge(cluster: &mut Cluster) {
    let end = cluster.now + ADMISSION_LIMIT;
    while cluster.now < end {
        cluster.run_for(Duration::from_millis(90));
        cluster.run_without_proposals(Duration::from_millis(300));
        if cluster.has_converged() {
            break;
        }
    }
    assert!(cluster.has_converged(), "not converged within {ADMISSION_LIMIT:?}");
    cluster.checks.check_answers();
    assert_eq!(cluster.checks.violations, []);
}

/// Guards against committed entries that exist only on replicas whose data folders are lost one after another.
#[test]
fn losses_in_sequence() {
    let mut cluster = converged_cluster(ClusterOptions::default());
    for round in 0..6 {
        cluster.lose_disk(round % 3);
        converge(&mut cluster);
    }
}

/// Guards against a replica that continues a catch-up that was started for its lost data folder.
#[test]
fn loss_during_catch_up() {
    let mut cluster =
        converged_cluster(ClusterOptions { snapshot_entries: 16, padding: 300_000, ..ClusterOptions::default() });
    let follower = (cluster.leader().unwrap() + 1) % 3;
    for pause in [201, 204, 260, 210] {
        cluster.lose_disk(follower);
        cluster.run_for(Duration::from_millis(pause));
    }
    converge(&mut cluster);
}

/// Guards against a second group formed by replicas that lost their data folders while a replica that still has the
/// data is unreachable.
#[test]
fn no_second_group_while_one_is_unreachable() {
    let mut cluster = converged_cluster(ClusterOptions::default());
    let confirmed = cluster.checks.applied.len();
    for node in 0..2 {
        cluster.lose_disk(node);
        cluster.net.cuts.extend([(node, 2), (2, node)]);
    }
    cluster.run_for(Duration::from_secs(20));
    assert_eq!(cluster.leader(), None);
    cluster.heal();
    cluster.run_for(Duration::from_secs(20));
    assert_eq!((cluster.leader(), cluster.checks.applied.len()), (None, confirmed), "the majority is lost");
    assert_eq!(cluster.checks.violations, []);
}

/// Returns a replica of three that is a candidate in term 2 with a durable vote for itself.
fn candidate(now: Instant, actions: &mut Vec<ConsensusAction>) -> Consensus {
    let names = ["a", "b", "c"].map(Box::<str>::from);
    let founding_entry = |(index, name): (u64, &str)| {
        let payload = Payload::Admit(Member { replica: name.into(), incarnation: 10 });
        Entry { index, term: 0, payload }
    };
    let recovered = Recovered {
        incarnation: 10,
        hard_state: HardState { term: 1, admitted: true, ..HardState::default() },
        entries: (1..).zip(names.iter().map(|name| &**name)).map(founding_entry).collect(),
        ..Recovered::default()
    };
    let options = ConsensusOptions { replica: "a".into(), replicas: names.to_vec(), ..ConsensusOptions::default() };
    let mut replica = Consensus::new(now, options, recovered, SmallRng::seed_from_u64(1), actions);
    let late = now + ConsensusOptions::default().max_election_timeout;
    replica.handle(late, ConsensusEvent::Tick, actions);
    replica.handle(late, from_b(10, true, 2, MessageBody::PreVote { granted: true }), actions);
    replica.handle(late, ConsensusEvent::Persisted { up_to: u64::MAX }, actions);
    replica
}

fn from_b(incarnation: u64, admitted: bool, term: u64, body: MessageBody) -> ConsensusEvent {
    ConsensusEvent::Receive { from: "b".into(), message: Message { term, incarnation, admitted, body } }
}

/// Guards against an election won by a vote of an incarnation that is not admitted, or by a vote for the lost
/// incarnation of the candidate.
#[test]
fn vote_across_a_loss_does_not_count() {
    let (now, mut actions) = (Instant::now(), Vec::new());
    let mut replica = candidate(now, &mut actions);
    let late = now + ConsensusOptions::default().max_election_timeout;
    let vote = |candidate| MessageBody::Vote { candidate, granted: true };
    for (incarnation, admitted, candidate) in [(11, true, 10), (9, true, 10), (10, false, 10), (10, true, 9)] {
        replica.handle(late, from_b(incarnation, admitted, 2, vote(candidate)), &mut actions);
        assert!(!replica.is_leader(), "{incarnation}, {admitted}, {candidate}");
    }
    replica.handle(late, from_b(10, true, 2, vote(10)), &mut actions);
    assert!(replica.is_leader());
}

/// Guards against an entry committed by an acknowledgement of a lost incarnation, or of a new one that is not admitted,
/// and against an admission that counts the acknowledgement of the admitted replica.
#[test]
fn acknowledgement_across_a_loss_does_not_count() {
    let (now, mut actions) = (Instant::now(), Vec::new());
    let mut replica = candidate(now, &mut actions);
    let late = now + ConsensusOptions::default().max_election_timeout;
    replica.handle(late, from_b(10, true, 2, MessageBody::Vote { candidate: 10, granted: true }), &mut actions);
    replica.handle(late, ConsensusEvent::Persisted { up_to: u64::MAX }, &mut actions);
    let acknowledge = |index| MessageBody::Appended { round: 1, index, conflict: false };
    // The new incarnation has the whole log, so the leader appends its admission at index 5.
    replica.handle(late, from_b(11, false, 2, acknowledge(4)), &mut actions);
    assert_eq!((replica.last_index(), replica.members().incarnation("b")), (5, Some(11)));
    replica.handle(late, ConsensusEvent::Persisted { up_to: u64::MAX }, &mut actions);
    replica.handle(late, from_b(11, false, 2, acknowledge(5)), &mut actions);
    replica.handle(late, from_b(10, true, 2, acknowledge(5)), &mut actions);
    assert_eq!(replica.commit_index(), 0);
    let message = Message { term: 2, incarnation: 10, admitted: true, body: acknowledge(5) };
    replica.handle(late, ConsensusEvent::Receive { from: "c".into(), message }, &mut actions);
    assert_eq!(replica.commit_index(), 5);
    replica.handle(late, ConsensusEvent::Propose { id: 1, command: [1].into() }, &mut actions);
    replica.handle(late, ConsensusEvent::Persisted { up_to: u64::MAX }, &mut actions);
    replica.handle(late, from_b(11, true, 2, acknowledge(6)), &mut actions);
    assert_eq!(replica.commit_index(), 6, "the admitted incarnation counts");
}
