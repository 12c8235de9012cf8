//! Rules of a dynamic group that random runs rarely exercise, each tested with one replica and simulated peers.

#[allow(unreachable_pub)]
mod simulated_peers;

use {
    hemlockford_core::consensus::{
        Consensus, ConsensusAction, ConsensusEvent, ConsensusOptions, Entry, GroupProposal, HardState, Message,
        MessageBody, Payload, ProposalResult, Recovered,
    },
    rand::{SeedableRng, rngs::SmallRng},
    simulated_peers::{BASE, MS, Replica, member},
    std::time::Duration,
};

/// Guards against counting a vote or an acknowledgement of an incarnation that is not the voter's.
#[test]
fn only_the_incarnation_in_the_log_counts() {
    let mut replica = Replica::start(&["a", "b", "c"], &[]);
    replica.tick(ConsensusOptions::default().max_election_timeout);
    for incarnation in [9, 11] {
        replica.pre_vote("b", incarnation);
        assert_eq!(replica.consensus.term(), 1, "pre-vote of {incarnation}");
    }
    replica.pre_vote("b", 10);
    assert_eq!(replica.consensus.term(), 2);
    for incarnation in [9, 11] {
        replica.vote("b", incarnation);
        assert!(!replica.consensus.is_leader(), "vote of {incarnation}");
    }
    replica.vote("b", 10);
    assert!(replica.consensus.is_leader());
    replica.handle(ConsensusEvent::Read { id: 1 });
    let round = replica.round();
    replica.acknowledge("b", 9, round, BASE + 1);
    assert_eq!((replica.consensus.commit_index(), replica.answer(1)), (BASE, None), "an older incarnation");
    replica.acknowledge("b", 11, round, BASE + 1);
    assert_eq!((replica.consensus.commit_index(), replica.answer(1)), (BASE, None), "a newer incarnation");
    replica.acknowledge("b", 10, round, BASE + 1);
    assert_eq!(replica.consensus.commit_index(), BASE, "an incarnation known to be lost");
    replica.acknowledge("c", 10, round, BASE + 1);
    assert_eq!(replica.consensus.commit_index(), BASE + 1);
    // The read waits for a heartbeat round that was started after it.
    let round = replica.round();
    [9, 10, 11].into_iter().for_each(|incarnation| replica.acknowledge("b", incarnation, round, BASE + 1));
    assert_eq!(replica.answer(1), None);
    replica.acknowledge("c", 10, round, BASE + 1);
    assert_eq!(replica.answer(1), Some(&ProposalResult::Committed { index: BASE + 1 }));
}

/// Guards against a membership change before an entry of the leader's term is committed, against a second change before
/// the first one is committed, and against a removal that is sent to the removed replica too early.
#[test]
fn membership_changes_wait_for_the_previous_one() {
    let mut replica = Replica::start(&["a", "b", "c"], &[]);
    replica.become_leader(&["b"]);
    replica.receive("d", 10, 0, MessageBody::Hello { group_proposal: None, empty: false });
    // c is unreachable, and d has every committed entry.
    for _ in 0..12 {
        replica.tick(MS * 150);
        let round = replica.round();
        replica.acknowledge("b", 10, round, BASE);
        replica.acknowledge("d", 10, round, BASE);
    }
    assert_eq!(replica.voters(), ["a", "b", "c"], "before an entry of this term is committed");
    let round = replica.round();
    replica.acknowledge("b", 10, round, BASE + 1);
    replica.tick(MS * 150);
    assert_eq!((replica.voters(), replica.consensus.commit_index()), (vec!["a", "b", "c", "d"], BASE + 1));
    let round = replica.round();
    replica.acknowledge("b", 10, round, BASE + 2);
    replica.tick(MS * 150);
    assert_eq!(replica.voters(), ["a", "b", "c", "d"], "before the admission is committed by three of four");
    replica.acknowledge("d", 10, round, BASE + 2);
    assert_eq!((replica.voters(), replica.consensus.commit_index()), (vec!["a", "b", "d"], BASE + 2));
    replica.receive("c", 10, 2, MessageBody::Appended { round, index: BASE + 2, conflict: false });
    let was_sent_removal = |replica: &Replica, name: &str| {
        let is_removal = |entry: &Entry| matches!(entry.payload, Payload::Remove(_));
        replica.actions.iter().any(|action| {
            matches!(action, ConsensusAction::Send { to, message } if **to == *name
                && matches!(&message.body, MessageBody::Append { entries, .. } if entries.iter().any(is_removal)))
        })
    };
    replica.acknowledge("d", 10, round, BASE + 2);
    assert!(
        was_sent_removal(&replica, "d") && !was_sent_removal(&replica, "c"),
        "c must not learn of its removal before the others have it"
    );
    replica.acknowledge("d", 10, round, BASE + 3);
    assert_eq!(replica.consensus.commit_index(), BASE + 3);
    assert!(was_sent_removal(&replica, "c"));
}

/// Guards against surplus voters that are never removed, and against the removal of a voter that is needed: the leader,
/// several voters at a time, or any voter while another one is unreachable or far behind.
#[test]
fn surplus_voters_are_removed_one_at_a_time() {
    let others = ["b", "c", "d", "e"];
    let run = |replica: &mut Replica, matched: [u64; 4], unreachable: &str, time: u32| {
        for _ in 0..time / 100 {
            replica.tick(MS * 100);
            let round = replica.round();
            for (name, index) in others.into_iter().zip(matched).filter(|(name, _)| *name != unreachable) {
                replica.acknowledge(name, 10, round, index);
            }
        }
    };
    let entries = vec![Payload::Noop; 100];
    let end = BASE + 100;
    let start = || {
        let mut replica = Replica::start(&["a", "b", "c", "d", "e"], &entries);
        replica.become_leader(&["b", "c"]);
        replica
    };
    let mut replica = start();
    run(&mut replica, [end + 1; 4], "", 800);
    assert_eq!(replica.voters().len(), 5, "too early");
    run(&mut replica, [end + 1; 4], "", 400);
    assert_eq!(replica.voters(), ["a", "c", "d", "e"], "one at a time");
    run(&mut replica, [end + 1; 4], "", 3_000);
    assert_eq!(replica.voters().len(), 4, "before the first removal is committed");
    run(&mut replica, [end + 2; 4], "", 200);
    run(&mut replica, [end + 3; 4], "", 2_000);
    assert_eq!(replica.voters(), ["a", "c", "d"], "target reached; e acknowledged last");

    let mut replica = start();
    run(&mut replica, [end + 1, end + 1, BASE + 1, end + 1], "", 1_200);
    assert_eq!(replica.voters(), ["a", "b", "c", "e"], "the voter that is behind");

    let mut replica = start();
    run(&mut replica, [end + 1, end + 1, BASE + 1, BASE + 1], "", 3_000);
    assert_eq!(replica.voters().len(), 5, "two voters are behind");

    let mut replica = start();
    run(&mut replica, [end + 1; 4], "", 400);
    run(&mut replica, [end + 1; 4], "b", 700);
    assert_eq!(replica.voters().len(), 5, "b may be down");
    run(&mut replica, [end + 1; 4], "b", 400);
    assert_eq!(replica.voters(), ["a", "c", "d", "e"], "the unreachable voter is removed first");
}

/// Guards against a leader that counts its own vote or entry before it is durable.
#[test]
fn own_vote_and_entry_count_once_they_are_durable() {
    let message = |body| Message { term: 2, incarnation: 10, admitted: true, body };
    let from_b = |body| ConsensusEvent::Receive { from: "b".into(), message: message(body) };
    let mut replica = Replica::start(&["a", "b", "c"], &[]);
    replica.tick(ConsensusOptions::default().max_election_timeout);
    replica.handle(from_b(MessageBody::PreVote { granted: true }));
    replica.handle(from_b(MessageBody::Vote { candidate: 10, granted: true }));
    assert!(!replica.consensus.is_leader());
    replica.persist();
    assert!(replica.consensus.is_leader());
    replica.handle(from_b(MessageBody::Appended { round: 1, index: BASE + 1, conflict: false }));
    assert_eq!(replica.consensus.commit_index(), BASE);
    replica.persist();
    assert_eq!(replica.consensus.commit_index(), BASE + 1);
}

/// Guards against majorities computed from the founders after the group has grown.
#[test]
fn majority_is_that_of_the_voters_in_the_log() {
    let mut replica = Replica::start(&["a", "b", "c", "d", "e"], &[]);
    replica.tick(ConsensusOptions::default().max_election_timeout);
    replica.pre_vote("b", 10);
    assert_eq!(replica.consensus.term(), 1, "two of five would vote");
    replica.pre_vote("d", 10);
    replica.vote("d", 10);
    assert!(!replica.consensus.is_leader(), "two of five voted");
    replica.vote("e", 10);
    assert!(replica.consensus.is_leader());
    replica.handle(ConsensusEvent::Read { id: 1 });
    let round = replica.round();
    replica.acknowledge("b", 10, round, BASE + 1);
    assert_eq!((replica.consensus.commit_index(), replica.answer(1)), (BASE, None), "two of five acknowledged");
    replica.acknowledge("e", 10, round, BASE + 1);
    assert_eq!(replica.consensus.commit_index(), BASE + 1);
    let round = replica.round();
    replica.acknowledge("b", 10, round, BASE + 1);
    assert_eq!(replica.answer(1), None, "two of five confirmed the round");
    replica.acknowledge("e", 10, round, BASE + 1);
    assert!(replica.answer(1).is_some());
    // Two of five are not a majority that keeps a leader in office.
    for _ in 0..5 {
        replica.tick(MS * 150);
        let round = replica.round();
        replica.acknowledge("b", 10, round, BASE + 1);
    }
    assert!(!replica.consensus.is_leader(), "leader with two of five");
}

/// Guards against an election during a replacement that is decided by the voters before the replacement.
#[test]
fn uncommitted_replacement_applies_to_elections() {
    let mut replica = Replica::start(&["a", "b", "c"], &[Payload::Admit(member("d"))]);
    replica.tick(ConsensusOptions::default().max_election_timeout);
    replica.pre_vote("b", 10);
    assert_eq!(replica.consensus.term(), 1, "two of four would vote");
    replica.pre_vote("d", 10);
    replica.vote("b", 10);
    assert!(!replica.consensus.is_leader(), "two of four voted");
    replica.vote("d", 10);
    assert!(replica.consensus.is_leader());
    replica.acknowledge("b", 10, 1, BASE + 2);
    assert_eq!(replica.consensus.commit_index(), BASE, "two of four acknowledged");
    replica.acknowledge("d", 10, 1, BASE + 2);
    assert_eq!(replica.consensus.commit_index(), BASE + 2);

    let mut replica = Replica::start(&["a", "b", "c", "d"], &[Payload::Remove(member("c"))]);
    replica.tick(ConsensusOptions::default().max_election_timeout);
    replica.pre_vote("c", 10);
    assert_eq!(replica.consensus.term(), 1, "a removed voter would vote");
    replica.pre_vote("b", 10);
    replica.vote("c", 10);
    assert!(!replica.consensus.is_leader(), "a removed voter voted");
    replica.vote("b", 10);
    replica.acknowledge("c", 10, 1, BASE + 2);
    assert_eq!(replica.consensus.commit_index(), BASE, "a removed voter acknowledged");
    replica.acknowledge("b", 10, 1, BASE + 2);
    assert_eq!(replica.consensus.commit_index(), BASE + 2);
}

/// Guards against a leader that answers a read based on acknowledgements from before the read: it may have been frozen
/// since then, and another leader elected. It must also not answer before an entry of its term is committed.
#[test]
fn read_needs_a_round_started_after_it() {
    let mut replica = Replica::start(&["a", "b", "c"], &[]);
    replica.become_leader(&["b"]);
    let first = replica.round();
    replica.handle(ConsensusEvent::Read { id: 1 });
    replica.acknowledge("b", 10, first, BASE + 1);
    assert_eq!(replica.answer(1), None, "the round was started before the read");
    let second = replica.round();
    replica.acknowledge("b", 10, second, BASE + 1);
    assert_eq!(replica.answer(1), Some(&ProposalResult::Committed { index: BASE + 1 }));
    // Frozen, with a reply to an earlier round in the socket.
    replica.tick(MS * 150);
    let round = replica.round();
    replica.now += Duration::from_secs(5);
    replica.handle(ConsensusEvent::Read { id: 2 });
    replica.acknowledge("b", 10, round, BASE + 1);
    assert!(!matches!(replica.answer(2), Some(ProposalResult::Committed { .. })), "answered after a freeze");
    assert!(!replica.consensus.is_current(replica.now));

    let mut replica = Replica::start(&["a", "b", "c"], &[Payload::Noop]);
    replica.become_leader(&["b"]);
    replica.handle(ConsensusEvent::Read { id: 3 });
    let first = replica.round();
    replica.acknowledge("b", 10, first, BASE);
    let second = replica.round();
    replica.acknowledge("b", 10, second, BASE);
    assert_eq!(replica.answer(3), None, "the entries committed by earlier leaders are not known");
    replica.acknowledge("b", 10, second, BASE + 2);
    assert_eq!(replica.answer(3), Some(&ProposalResult::Committed { index: BASE + 2 }));
}

/// Guards against a data folder that takes part in forming a second group: the system was started before, so only a
/// proposal that was accepted then may be completed.
#[test]
fn replica_that_may_not_form_a_group_accepts_no_new_proposal() {
    let proposal = |ballot, incarnation| {
        let mut members = ["a", "b", "c"].map(member).to_vec();
        members[2].incarnation = incarnation;
        GroupProposal { ballot, members }
    };
    let recovered_replica = |may_form_group, group_proposal: Option<GroupProposal>| {
        let hard_state = HardState { group_proposal, ..HardState::default() };
        Replica::with(Recovered { incarnation: 10, hard_state, ..Recovered::default() }, may_form_group)
    };
    let hello = |replica: &mut Replica, from: &str, incarnation, group_proposal: Option<GroupProposal>| {
        replica.receive(from, incarnation, 0, MessageBody::Hello { group_proposal, empty: true });
    };
    for (may_form_group, before, ballot) in [(true, None, Some(1)), (false, None, None), (false, Some(1), None)] {
        let mut replica = recovered_replica(may_form_group, before.map(|ballot| proposal(ballot, 10)));
        hello(&mut replica, "b", 10, None);
        hello(&mut replica, "c", 11, None);
        let proposed = replica.saved_proposal().map(|proposal| proposal.ballot);
        assert_eq!(proposed, ballot, "{may_form_group}, {before:?}");
        assert_eq!(replica.consensus.last_index(), 0);
    }
    let mut replica = recovered_replica(false, Some(proposal(1, 10)));
    hello(&mut replica, "b", 10, Some(proposal(1, 10)));
    hello(&mut replica, "c", 10, Some(proposal(1, 10)));
    assert_eq!(replica.consensus.last_index(), 3, "a proposal that all accepted before is completed");
    // The same for a founder that does not propose.
    for (may_form_group, before, expected) in [(true, Some(1), Some(2)), (false, None, None), (false, Some(1), None)] {
        let hard_state =
            HardState { group_proposal: before.map(|ballot| proposal(ballot, 10)), ..HardState::default() };
        let recovered = Recovered { incarnation: 10, hard_state, ..Recovered::default() };
        let options = ConsensusOptions {
            replica: "b".into(),
            replicas: ["a", "b", "c"].map(Box::from).to_vec(),
            is_dynamic: true,
            may_form_group,
            ..ConsensusOptions::default()
        };
        let mut replica = Replica::with(Recovered::default(), false);
        replica.consensus =
            Consensus::new(replica.now, options, recovered, SmallRng::seed_from_u64(1), &mut replica.actions);
        replica.receive("a", 10, 0, MessageBody::Form(proposal(2, 10)));
        let saved_proposal = replica.saved_proposal().map(|proposal| proposal.ballot);
        assert_eq!(saved_proposal, expected, "{may_form_group}, {before:?}");
        replica.tick(MS * 50);
        let offers = |action: &ConsensusAction| {
            matches!(action, ConsensusAction::Send { message, .. }
                if matches!(message.body, MessageBody::Hello { empty: true, .. }))
        };
        assert_eq!(
            replica.actions.iter().any(offers),
            may_form_group || before.is_some(),
            "{may_form_group}, {before:?}"
        );
    }
}
