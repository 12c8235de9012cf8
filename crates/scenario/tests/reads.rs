//! Linearizable reads in a dynamic group.

use {
    hemlockford_core::consensus::ProposalResult,
    hemlockford_scenario::group::{Group, GroupOptions},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);

fn formed_group() -> Group {
    let mut group = Group::new(GroupOptions { is_busy: false, ..GroupOptions::default() });
    for _ in 0..3 {
        group.add(&[0, 1, 2], true);
    }
    assert!(group.run_until_condition(SECOND * 5, |group| group.leader().is_some()));
    group.run_for(SECOND);
    let leader = group.leader().unwrap();
    group.propose(leader);
    group.run_for(SECOND / 10);
    group
}

fn is_answered(group: &Group, id: u64) -> bool {
    matches!(group.checks.reads.get(&id), Some(ProposalResult::Committed { .. }))
}

/// Guards against reads that wait for the next heartbeat, and against reads that miss a committed command.
#[test]
fn read_takes_one_round_trip_and_sees_every_committed_command() {
    let mut group = formed_group();
    let leader = group.leader().unwrap();
    for _ in 0..20 {
        let id = group.propose(leader);
        group.run_for(Duration::from_millis(20));
        assert!(matches!(group.checks.answers.get(&id), Some(ProposalResult::Committed { .. })));
        let reads: Vec<_> = (0..3).map(|_| group.read(leader)).collect();
        group.run_for(Duration::from_millis(5));
        assert!(reads.iter().all(|id| is_answered(&group, *id)));
    }
    assert_eq!(group.checks.violations, []);
}

/// Guards against a read answered by a replica that is not the leader.
#[test]
fn follower_names_the_leader() {
    let mut group = formed_group();
    let leader = group.leader().unwrap();
    let id = group.read((leader + 1) % 3);
    let expected = ProposalResult::NotLeader { leader: Some(Group::name(leader)) };
    assert_eq!(group.checks.reads.get(&id), Some(&expected));
}

/// Guards against an isolated leader that has not noticed its isolation and answers with outdated state.
#[test]
fn deposed_leader_answers_no_read() {
    let mut group = formed_group();
    let old = group.leader().unwrap();
    group.isolate(old);
    let id = group.read(old);
    group.run_for(SECOND / 2);
    assert!(group.replicas[old].node.is_leader(), "the old leader has not noticed its isolation yet");
    let late = group.read(old);
    let next = |group: &Group| (0..3).find(|at| *at != old && group.replicas[*at].node.is_leader());
    assert!(group.run_until_condition(SECOND * 3, |group| next(group).is_some()));
    let at = next(&group).unwrap();
    let command = group.propose(at);
    group.run_for(SECOND / 10);
    assert!(matches!(group.checks.answers.get(&command), Some(ProposalResult::Committed { .. })));
    let after = group.read(old);
    group.run_for(SECOND);
    group.net.cuts.clear();
    group.run_for(SECOND);
    assert!([id, late, after].iter().all(|id| group.checks.reads.contains_key(id) && !is_answered(&group, *id)));
    assert_eq!(group.checks.violations, []);
}

/// Guards against a leader that was frozen while another one was elected and answers when it resumes, even if replies
/// to its earlier heartbeat rounds are still queued.
#[test]
fn frozen_leader_answers_no_read() {
    for ms in [700, 1_500, 5_000] {
        let mut group = formed_group();
        let old = group.leader().unwrap();
        group.run_for(Duration::from_millis(149));
        let before = group.read(old);
        group.freeze(old, Duration::from_millis(ms));
        let next = |group: &Group| (0..3).find(|at| *at != old && group.replicas[*at].node.is_leader());
        if group.run_until_condition(Duration::from_millis(ms - 50), |group| next(group).is_some()) {
            let at = next(&group).unwrap();
            group.propose(at);
            group.run_until_condition(Duration::from_millis(ms), |group| {
                group.replicas[old].node.frozen_until <= group.now
            });
        }
        group.freeze(old, Duration::ZERO);
        let after = group.read(old);
        group.run_for(SECOND * 2);
        assert!(group.checks.reads.contains_key(&before) && group.checks.reads.contains_key(&after));
        assert_eq!(group.checks.violations, [], "frozen for {ms} ms");
    }
}

/// Guards against a new leader that answers before it knows which entries of earlier terms are committed.
#[test]
fn read_after_a_lost_leader() {
    let mut group = formed_group();
    for round in 0..6 {
        let old = group.leader().unwrap();
        let command = group.propose(old);
        // The command is committed, but no follower has learned of the commit.
        assert!(group.run_until_condition(SECOND, |group| group.checks.answers.contains_key(&command)));
        group.kill(old);
        assert!(group.run_until_condition(SECOND * 5, |group| group.leader().is_some()));
        let leader = group.leader().unwrap();
        let id = group.read(leader);
        group.run_for(SECOND / 10);
        assert!(is_answered(&group, id), "round {round}");
        assert_eq!(group.checks.violations, []);
        group.start(old);
        group.run_for(SECOND);
    }
}

/// Guards against a commit index that reaches followers only with the next heartbeat.
#[test]
fn followers_learn_of_a_commit_at_once() {
    let mut group = formed_group();
    group.run_for(Duration::from_millis(30));
    for _ in 0..10 {
        let leader = group.leader().unwrap();
        let id = group.propose(leader);
        // Append 1 ms, fsync 2 ms, reply 1 ms, commit index 1 ms.
        group.run_for(Duration::from_millis(6));
        let Some(ProposalResult::Committed { index }) = group.checks.answers.get(&id) else { panic!("not committed") };
        assert!((0..3).all(|at| group.applied(at) == *index));
    }
}

/// Guards against a leader that remains leader while its own disk is full or hangs.
#[test]
fn leader_with_a_hanging_disk_transfers_leadership() {
    let mut group = formed_group();
    let old = group.leader().unwrap();
    group.replicas[old].node.set_sync_time(Some(SECOND * 60));
    let id = group.propose(old);
    group.run_for(SECOND * 9 / 10);
    assert_eq!(group.leader(), Some(old), "transferred leadership too early");
    group.run_for(SECOND / 2);
    assert!(group.leader().is_some_and(|leader| leader != old), "still leader after 1.4 s");
    assert!(matches!(group.checks.answers.get(&id), Some(ProposalResult::Committed { .. })));
    assert_eq!(group.checks.violations, []);
}
