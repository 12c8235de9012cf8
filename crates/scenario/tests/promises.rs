//! What a replica may count as durable.

use {
    hemlockford_core::consensus::{
        Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Entry, Member, Message, MessageBody, Payload,
        Recovered, Vote,
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Instant,
};

const NAMES: [&str; 3] = ["a", "b", "c"];

fn receive(from: &str, term: u64, body: MessageBody) -> ConsensusEvent {
    ConsensusEvent::Receive { from: from.into(), message: Message { term, incarnation: 10, admitted: true, body } }
}

fn append(term: u64, indexes: &[u64]) -> MessageBody {
    let entries = indexes.iter().map(|index| Entry { index: *index, term, payload: Payload::Noop }).collect();
    MessageBody::Append { round: 1, prev_index: 3, prev_term: 0, entries, commit: 3 }
}

/// Guards against a replica that counts the fsync of entries that were replaced since as the fsync of
/// those in their place, and then confirms as a leader what it has not written.
#[test]
fn replaced_entries_are_not_durable() {
    let (now, mut actions) = (Instant::now(), Vec::new());
    let founding = |(index, name): (u64, &str)| {
        let payload = Payload::Admit(Member { replica: name.into(), incarnation: 10 });
        Entry { index, term: 0, payload }
    };
    let recovered = Recovered {
        incarnation: 10,
        vote: Vote { term: 1, admitted: true, ..Vote::default() },
        entries: (1..).zip(NAMES).map(founding).collect(),
        ..Recovered::default()
    };
    let replicas = NAMES.map(Box::from).to_vec();
    let options = ConsensusOptions { replica: "b".into(), replicas, ..ConsensusOptions::default() };
    let late = now + options.election_max * 2;
    let mut replica = Consensus::new(now, options, recovered, SmallRng::seed_from_u64(1), &mut actions);
    replica.handle(now, receive("a", 2, append(2, &[4, 5, 6])), &mut actions);
    replica.handle(now, receive("c", 3, append(3, &[4])), &mut actions);
    replica.handle(late, ConsensusEvent::Tick, &mut actions);
    replica.handle(late, receive("c", 4, MessageBody::PreVote { granted: true }), &mut actions);
    let written = |actions: &[ConsensusAction]| {
        let sequence = |action: &ConsensusAction| match action {
            ConsensusAction::SaveVote { sequence, .. } | ConsensusAction::Append { sequence, .. } => Some(*sequence),
            _ => None,
        };
        actions.iter().filter_map(sequence).max().unwrap()
    };
    let up_to = written(&actions);
    replica.handle(late, ConsensusEvent::Persisted { up_to }, &mut actions);
    replica.handle(late, receive("c", 4, MessageBody::Vote { candidate: 10, granted: true }), &mut actions);
    replica.handle(late, ConsensusEvent::Propose { id: 1, command: [1].into() }, &mut actions);
    assert!(replica.is_leader() && replica.last_index() == 6);
    let acknowledged = MessageBody::Appended { round: 1, index: 6, conflict: false };
    replica.handle(late, receive("c", 4, acknowledged), &mut actions);
    assert_eq!(replica.commit_index(), 3, "entries 5 and 6 are not durable here");
    let up_to = written(&actions);
    replica.handle(late, ConsensusEvent::Persisted { up_to }, &mut actions);
    assert_eq!(replica.commit_index(), 6);
}
