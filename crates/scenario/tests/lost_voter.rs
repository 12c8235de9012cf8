//! Voters of a dynamic group that lose their data folders while messages of the old incarnation are still in flight.

mod group;

use {
    group::{SECOND, converge, formed_group},
    hemlockford_core::consensus::{Message, MessageBody, ProposalResult},
    hemlockford_scenario::{
        fakes::Step,
        group::{Group, GroupOptions},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

/// Random seeds of the runs with slow disks.
const SEEDS: std::ops::Range<u64> = 0..40;
const MS: Duration = Duration::from_millis(1);

fn cut(group: &mut Group, a: usize, b: usize) {
    group.net.cuts.extend([(a, b), (b, a)]);
}

/// Runs while holding all messages until a matching one is sent on a link, and returns it. The others are lost.
fn intercept(group: &mut Group, from: usize, to: usize, is_match: impl Fn(&MessageBody) -> bool) -> Message {
    group.held_messages = Some(Vec::new());
    for _ in 0..20 {
        group.run_for(MS);
        for step in group.held_messages.iter_mut().flat_map(std::mem::take) {
            if let Step::Deliver(sender, receiver, message) = step
                && (sender, receiver) == (from, to)
                && is_match(&message.body)
            {
                group.held_messages = None;
                return message;
            }
        }
    }
    panic!("no matching message from {from} to {to}");
}

/// Guards against two majorities without a common replica: the leader commits with the new incarnation of a replica
/// while a vote granted by its lost incarnation elects another leader.
#[test]
fn vote_of_a_lost_incarnation_elects_no_second_majority() {
    for seed in 0..20 {
        let mut group = formed_group(3, GroupOptions { is_busy: false, seed, ..GroupOptions::default() });
        let leader = group.leader().unwrap();
        let term = |group: &Group, at: usize| group.replicas[at].consensus().unwrap().term();
        let old_term = term(&group, leader);
        // An fsync of slightly more than 1 s makes the leader start a leadership transfer and then remain leader.
        group.replicas[leader].node.set_sync_time(Some(MS * 1_060));
        group.propose(leader);
        let has_new_term = |group: &Group| (0..3).any(|at| term(group, at) > old_term);
        while !has_new_term(&group) {
            group.run_for(MS);
            assert!(group.now < SECOND * 20, "seed {seed}: no leadership transfer");
        }
        let candidate = (0..3).find(|at| term(&group, *at) > old_term).unwrap();
        let voter = 3 - leader - candidate;
        cut(&mut group, leader, candidate);
        let request = intercept(&mut group, candidate, voter, |body| matches!(body, MessageBody::VoteRequest { .. }));
        group.deliver(candidate, voter, request);
        let granted = |body: &MessageBody| matches!(body, MessageBody::Vote { granted: true, .. });
        let vote = intercept(&mut group, voter, candidate, granted);
        cut(&mut group, voter, candidate);
        group.replicas[leader].node.set_sync_time(None);
        group.lose_disk(voter);
        group.run_for(MS * 250);
        let lost = group.propose(leader);
        group.run_for(MS * 50);
        group.deliver(voter, candidate, vote);
        group.run_for(MS * 20);
        assert!(group.replicas[candidate].node.is_leader(), "seed {seed}: the late vote did not elect the candidate");
        let is_committed = matches!(group.checks.answers.get(&lost), Some(ProposalResult::Committed { .. }));
        assert!(
            !is_committed,
            "seed {seed}: committed by a majority that does not overlap with that of the next leader"
        );
        group.net.cuts.clear();
        converge(&mut group, SECOND * 6);
    }
}

/// Guards against a group of four that has no leader after the loss of one voter: a voter whose log contains its own
/// removal, and is therefore the longest, does not become a candidate and rejects the vote requests of the others.
#[test]
fn removed_voter_does_not_block_the_others() {
    for seed in 0..20 {
        let mut group = formed_group(3, GroupOptions { is_busy: false, seed, ..GroupOptions::default() });
        let learner = group.add(&[0, 1, 2], false);
        group.run_for(SECOND);
        let leader = group.leader().unwrap();
        let isolated = (leader + 1) % 3;
        let others = [3 - leader - isolated, learner];
        group.isolate(isolated);
        for (count, limit) in [(4, SECOND * 3), (3, SECOND)] {
            let end = group.now + limit;
            while group.voters().len() != count {
                group.run_for(MS / 4);
                assert!(group.now < end, "seed {seed}: {:?}", group.voters());
            }
        }
        // The removal reaches no other replica, except if the leader sends it to the removed replica.
        group.net.cuts.clear();
        for other in others {
            group.net.cuts.insert((leader, other));
        }
        group.run_for(MS * 400);
        group.kill(leader);
        group.net.cuts.clear();
        assert!(group.run_until_condition(SECOND * 4, |group| group.leader().is_some()), "seed {seed}: no leader");
        let next = group.leader().unwrap();
        let id = group.propose(next);
        group.run_for(SECOND);
        assert!(matches!(group.checks.answers.get(&id), Some(ProposalResult::Committed { .. })), "seed {seed}");
        assert_eq!(group.checks.violations, [], "seed {seed}");
    }
}

/// Guards against a vote, an acknowledgement or a stop that precedes the writes of a slow disk, while data folders are
/// lost, voters are replaced and leadership is transferred.
#[test]
fn messages_wait_for_slow_disks() {
    println!("seeds {SEEDS:?}");
    for seed in SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let jitter = MS * rng.random_range(0..30);
        let mut group = formed_group(3, GroupOptions { jitter, snapshot_entries: 60, seed, ..GroupOptions::default() });
        group.add(&[0, 1, 2], false);
        converge(&mut group, SECOND * 6);
        for round in 0..4 {
            for replica in &mut group.replicas {
                replica.node.set_sync_time(Some(MS * rng.random_range(1..120)));
            }
            let voters = group.voters();
            let at = voters[rng.random_range(0..voters.len())];
            match (round + seed) % 4 {
                0 => group.stop(group.leader().unwrap()),
                1 => group.kill(at),
                _ => group.lose_disk(at),
            }
            group.run_for(MS * rng.random_range(50..1_500));
            // A voter that returns before it is removed would remain as a surplus voter.
            let is_down = group.replicas.iter().any(|replica| replica.consensus().is_none());
            group.run_for(if is_down { SECOND * 5 } else { Duration::ZERO });
            group.heal();
            converge(&mut group, SECOND * 10);
        }
    }
}
