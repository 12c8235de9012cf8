//! Commands of the maximum size.

mod group;

use {
    group::{CONVERGENCE_LIMIT, SECOND, converge, formed_group},
    hemlockford_core::{
        config::MAX_CONFIG_BYTES,
        consensus::{ConsensusOptions, Entry, MAX_COMMAND_BYTES, MessageBody, ProposalResult},
        ledger::{Command, MAX_SUBMIT_BYTES},
    },
    hemlockford_scenario::{
        fakes::Step,
        group::{Group, GroupOptions},
    },
};

/// Bytes before the padding of a command.
const NUMBER: usize = 8;

fn options() -> GroupOptions {
    GroupOptions { padding: MAX_COMMAND_BYTES - NUMBER, is_busy: false, ..GroupOptions::default() }
}

/// Returns the number of held messages with entries for one receiver, and the size of the entries.
fn bytes_to(group: &Group, receiver: usize) -> (usize, usize) {
    let (mut messages, mut bytes) = (0, 0);
    for step in group.held_messages.iter().flatten() {
        if let Step::Deliver(_, to, message) = step
            && let MessageBody::Append { entries, .. } = &message.body
            && *to == receiver
            && !entries.is_empty()
        {
            messages += 1;
            bytes += entries.iter().map(Entry::size).sum::<usize>();
        }
    }
    (messages, bytes)
}

/// Guards against a configuration that operators may submit but that exceeds the size of a log command.
#[test]
fn longest_configuration_fits_a_command() {
    let submit = |bytes| Command::Submit { number: u64::MAX, text: "x".repeat(bytes).into() }.encode();
    assert_eq!(MAX_SUBMIT_BYTES, MAX_CONFIG_BYTES);
    assert!(submit(MAX_CONFIG_BYTES).is_ok());
    assert!(submit(MAX_COMMAND_BYTES).is_err());
}

/// Guards against large commands that are not committed, or that do not reach replicas that are far behind or new.
#[test]
fn large_commands_reach_every_replica() {
    let mut group = formed_group(3, options());
    let behind = (group.leader().unwrap() + 1) % 3;
    group.isolate(behind);
    for _ in 0..10 {
        let leader = group.leader().unwrap();
        let id = group.propose(leader);
        group.run_for(SECOND / 10);
        assert!(matches!(group.checks.answers.get(&id), Some(ProposalResult::Committed { .. })));
    }
    group.net.cuts.clear();
    let joined = group.add(&[0, 1, 2], false);
    converge(&mut group, CONVERGENCE_LIMIT);
    for at in [behind, joined] {
        assert!(group.applied(at) > 0 && group.replicas[at].node.state_machine.commands.len() == 10);
    }
}

/// Guards against unbounded memory for commands in flight to one replica and for pending commands in the leader's log.
#[test]
fn window_of_large_commands_is_bounded() {
    let mut group = formed_group(3, options());
    let leader = group.leader().unwrap();
    let others: Vec<_> = (0..3).filter(|at| *at != leader).collect();
    group.held_messages = Some(Vec::new());
    let ids: Vec<_> = (0..20).map(|_| group.propose(leader)).collect();
    let limits = ConsensusOptions::default();
    for other in others {
        let (messages, bytes) = bytes_to(&group, other);
        assert!(messages == 1 || bytes <= limits.max_in_flight_bytes, "{messages} messages with {bytes} bytes");
    }
    let refused = ids.iter().filter(|id| group.checks.answers.get(id) == Some(&ProposalResult::Busy)).count();
    assert_eq!(20 - refused, limits.max_pending_proposal_bytes / MAX_COMMAND_BYTES);
    // Small commands are limited by their number.
    let held = group.held_messages.take().unwrap();
    for step in held {
        if let Step::Deliver(from, to, message) = step {
            group.deliver(from, to, message);
        }
    }
    group.run_for(SECOND);
    assert!(ids[..3].iter().all(|id| matches!(group.checks.answers.get(id), Some(ProposalResult::Committed { .. }))));
    group.options.padding = 0;
    group.held_messages = Some(Vec::new());
    for _ in 0..500 {
        group.propose(leader);
    }
    let (messages, bytes) = bytes_to(&group, (leader + 1) % 3);
    assert_eq!(messages, limits.max_in_flight_messages);
    assert!(bytes < limits.max_in_flight_bytes);
}
