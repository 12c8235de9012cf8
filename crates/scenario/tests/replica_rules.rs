//! What a replica treats as durable, which members its log admits, and which group proposals it accepts.

use {
    hemlockford_core::consensus::{
        Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Entry, GroupProposal, HardState, Member, Message,
        MessageBody, Payload, Recovered,
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

fn options() -> ConsensusOptions {
    let replicas = NAMES.map(Box::from).to_vec();
    ConsensusOptions { replica: "b".into(), replicas, snapshot_interval_entries: 4, ..ConsensusOptions::default() }
}

/// Returns replica "b" of a formed group in term 1.
fn member(now: Instant) -> Consensus {
    let founding_entry = |(index, name): (u64, &str)| {
        let payload = Payload::Admit(Member { replica: name.into(), incarnation: 10 });
        Entry { index, term: 0, payload }
    };
    let recovered = Recovered {
        incarnation: 10,
        hard_state: HardState { term: 1, admitted: true, ..HardState::default() },
        entries: (1..).zip(NAMES).map(founding_entry).collect(),
        ..Recovered::default()
    };
    Consensus::new(now, options(), recovered, SmallRng::seed_from_u64(1), &mut Vec::new())
}

/// Guards against a replica that treats the fsync of replaced entries as the fsync of the entries that replaced them,
/// and then as leader commits entries that it has not written.
#[test]
fn replaced_entries_are_not_durable() {
    let (now, mut actions) = (Instant::now(), Vec::new());
    let late = now + options().max_election_timeout * 2;
    let mut replica = member(now);
    replica.handle(now, receive("a", 2, append(2, &[4, 5, 6])), &mut actions);
    replica.handle(now, receive("c", 3, append(3, &[4])), &mut actions);
    // The first three writes are term 2, its entries and term 3; a replica becomes a candidate only when its term is
    // durable.
    replica.handle(now, ConsensusEvent::Persisted { up_to: 3 }, &mut actions);
    replica.handle(late, ConsensusEvent::Tick, &mut actions);
    replica.handle(late, receive("c", 4, MessageBody::PreVote { granted: true }), &mut actions);
    let written = |actions: &[ConsensusAction]| {
        let sequence = |action: &ConsensusAction| match action {
            ConsensusAction::SaveHardState { sequence, .. } | ConsensusAction::Append { sequence, .. } => {
                Some(*sequence)
            }
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

/// Guards against an admission that remains in effect after its entry was replaced, or that a snapshot takes from an
/// entry after its index.
#[test]
fn admission_lasts_as_long_as_its_entry() {
    let (now, mut actions) = (Instant::now(), Vec::new());
    let mut replica = member(now);
    let admit = |index, incarnation| {
        let payload = Payload::Admit(Member { replica: "c".into(), incarnation });
        Entry { index, term: 2, payload }
    };
    let entries = vec![admit(4, 11), admit(5, 12)];
    let body = MessageBody::Append { round: 1, prev_index: 3, prev_term: 0, entries, commit: 4 };
    replica.handle(now, receive("a", 2, body), &mut actions);
    assert_eq!(replica.members().incarnation("c"), Some(12));
    assert!(actions.contains(&ConsensusAction::TakeSnapshot { index: 4 }));
    replica.handle(now, ConsensusEvent::SnapshotTaken { index: 4, data: [].into() }, &mut actions);
    let snapshot = actions.iter().find_map(|action| match action {
        ConsensusAction::SaveSnapshot { snapshot, .. } => Some(snapshot),
        _ => None,
    });
    assert_eq!(snapshot.unwrap().members.incarnation("c"), Some(11));
    let entries = vec![Entry { index: 5, term: 3, payload: Payload::Noop }];
    let body = MessageBody::Append { round: 1, prev_index: 4, prev_term: 2, entries, commit: 4 };
    replica.handle(now, receive("c", 3, body), &mut actions);
    assert_eq!((replica.members().incarnation("c"), replica.last_index()), (Some(11), 5));
}

/// Guards against two groups: a replica that returns to an older proposal, or that accepts one although its data folder
/// contains entries.
#[test]
fn accepted_group_proposal_is_never_downgraded() {
    let (now, mut actions) = (Instant::now(), Vec::new());
    let recovered = Recovered { incarnation: 10, ..Recovered::default() };
    let mut replica = Consensus::new(now, options(), recovered, SmallRng::seed_from_u64(1), &mut actions);
    let proposal = |ballot, first| {
        let incarnations = [first, 10, 10];
        let member = |(name, incarnation): (&str, u64)| Member { replica: name.into(), incarnation };
        GroupProposal { ballot, members: NAMES.into_iter().zip(incarnations).map(member).collect() }
    };
    let saved_proposal = |actions: &mut Vec<ConsensusAction>| {
        let mut saved = actions.drain(..).filter_map(|action| match action {
            ConsensusAction::SaveHardState { hard_state, .. } => hard_state.group_proposal,
            _ => None,
        });
        saved.next_back()
    };
    let mut form = |replica: &mut Consensus, proposal: GroupProposal| {
        replica.handle(now, receive("a", 0, MessageBody::Form(proposal)), &mut actions);
        saved_proposal(&mut actions)
    };
    assert_eq!(form(&mut replica, proposal(2, 11)), Some(proposal(2, 11)));
    assert_eq!(form(&mut replica, proposal(2, 10)), None, "the same ballot");
    assert_eq!(form(&mut replica, proposal(1, 10)), None, "a lower ballot");
    assert_eq!(form(&mut replica, proposal(3, 12)), Some(proposal(3, 12)));
    let body = MessageBody::Formed(proposal(2, 11));
    replica.handle(now, receive("a", 0, body), &mut Vec::new());
    assert_eq!(replica.last_index(), 0, "formed a group from a superseded proposal");
    let entries = vec![Entry { index: 1, term: 1, payload: Payload::Noop }];
    let body = MessageBody::Append { round: 1, prev_index: 0, prev_term: 0, entries, commit: 0 };
    replica.handle(now, receive("c", 1, body), &mut Vec::new());
    assert_eq!(form(&mut replica, proposal(4, 13)), None, "the log is not empty");
}
