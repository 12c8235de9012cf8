//! Configuration changes and reads: no accepted change is lost or reverted, and no read returns a change older than one
//! that was accepted before.

mod fleet_support;

use {
    fleet_support::{World, ms, text},
    hemlockford_core::{fleet::ReplicaAnswer, ledger::Command},
};

const SEEDS: std::ops::Range<u64> = 0..25;

fn is_accepted(world: &World, id: u64) -> bool {
    matches!(world.answers.get(&id), Some((_, ReplicaAnswer::Accepted { .. })))
}

/// Guards against entries that miss a change, including when the replica that accepted it is killed.
#[test]
fn a_change_reaches_every_entry() {
    for seed in SEEDS {
        for replica in 0..3 {
            for is_killed in [false, true] {
                let mut world = World::settled(seed, 3, 6, 3);
                let id = world.submit(replica, &text(2));
                world.run_until(ms(4_000), |world| world.answers.contains_key(&id));
                assert!(is_accepted(&world, id), "seed {seed}: {:?}", world.answers[&id]);
                if is_killed {
                    world.kill_replica(replica);
                }
                // 2 s after the answer if the group is stable, and 5 s more if it is not.
                let limit = if is_killed { ms(7_000) } else { ms(2_000) };
                world.run_until(limit, |world| world.entries.iter().all(|entry| entry.change == 2));
            }
        }
    }
}

/// Guards against rejection of a submission that is repeated because its answer was lost.
#[test]
fn a_repeated_submission_is_never_refused() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 3, 3);
        let mut submissions = Vec::new();
        for number in 2..12 {
            let leader = world.leader();
            for _ in 0..4 {
                for replica in 0..3 {
                    let id = world.submit(replica, &text(number));
                    submissions.push(id);
                }
                world.run(ms(20));
            }
            if let (Some(leader), 0) = (leader, number % 4) {
                world.kill_replica(leader);
                world.run(ms(2_000));
                world.start_replica(leader);
            }
            world.run(ms(500));
        }
        // Resubmits changes that were followed by others.
        for number in 2..12 {
            submissions.push(world.submit(number as usize % 3, &text(number)));
        }
        world.run(ms(6_000));
        let mut accepted = 0;
        for id in submissions {
            match world.answers.get(&id) {
                Some((_, ReplicaAnswer::Accepted { .. })) => accepted += 1,
                // The process was killed, or the majority did not answer in time.
                None | Some((_, ReplicaAnswer::Unavailable)) => {}
                Some((at, answer)) => panic!("seed {seed}: {answer:?} at {at:?}"),
            }
        }
        assert!(accepted > 60, "seed {seed}: {accepted} accepted");
        world.run_until(ms(4_000), |world| world.entries.iter().all(|entry| entry.change == 11));
    }
}

/// Guards against a new leader that answers a read before it knows what the lost leader had committed.
#[test]
fn a_new_leader_reads_what_the_lost_one_accepted() {
    for seed in 0..60 {
        let mut world = World::settled(seed, 3, 1, 1);
        let leader = world.leader().expect("leader");
        let others: Vec<_> = (0..3).filter(|replica| *replica != leader).collect();
        // Packets are lost before and after, but not here: behind the cut nothing is repeated, and a change whose log
        // entry does not arrive is not accepted.
        let loss = std::mem::take(&mut world.links.loss);
        let id = world.submit(leader, &text(2));
        // The log entry is in transit; the notification of its commit is lost.
        for other in &others {
            let link = (world.replicas[leader].name.clone(), world.replicas[*other].name.clone());
            world.links.cuts.insert(link);
        }
        world.run_until(ms(500), |world| world.answers.contains_key(&id));
        assert!(is_accepted(&world, id), "seed {seed}");
        world.links.loss = loss;
        world.kill_replica(leader);
        let mut reads = Vec::new();
        for step in 0..600 {
            reads.push(world.read(others[step % 2]));
            world.run(ms(5));
        }
        world.run(ms(4_000));
        let read = |id: &u64| match &world.answers[id].1 {
            ReplicaAnswer::Current { number, .. } => Some(*number),
            _ => None,
        };
        let read: Vec<_> = reads.iter().filter_map(read).collect();
        assert!(!read.is_empty() && read.iter().all(|number| *number == 2), "seed {seed}: {read:?}");
    }
}

/// Guards against reads and repeated submissions that write to the log, which would cost an fsync on a majority each.
#[test]
fn reads_and_repetitions_write_nothing() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 1, 1);
        let id = world.submit(0, &text(2));
        world.run(ms(2_000));
        assert!(is_accepted(&world, id), "seed {seed}");
        let appended = |world: &World| world.replicas.iter().map(|node| node.disk.appended).collect::<Vec<_>>();
        let before = appended(&world);
        let mut ids = Vec::new();
        for replica in (0..3).cycle().take(30) {
            ids.push((world.submit(replica, &text(2)), true));
            ids.push((world.read(replica), false));
            world.run(ms(50));
        }
        world.run(ms(2_000));
        for (id, is_submission) in ids {
            let is_read = matches!(world.answers[&id].1, ReplicaAnswer::Current { number: 2, .. });
            assert!(if is_submission { is_accepted(&world, id) } else { is_read }, "seed {seed}");
        }
        assert_eq!(appended(&world), before, "seed {seed}");
    }
}

/// Guards against acceptance of a second change with the same number, or of one with a number below the current one.
#[test]
fn conflicting_and_outdated_submissions_are_rejected() {
    let mut world = World::settled(1, 3, 1, 1);
    let first = world.submit(0, &text(5));
    world.run(ms(500));
    let other = world.submit(1, &format!("{}[customer kovar]\n", text(5)));
    let lower = world.submit(2, &text(3));
    let invalid = world.submit(2, "[change]\nnumber = 0\n");
    let long = world.submit(2, &format!("{}{}", text(6), "# comment\n".repeat(1 << 18)));
    world.run(ms(500));
    assert!(is_accepted(&world, first));
    assert!(matches!(world.answers[&other].1, ReplicaAnswer::Conflict { number: 5, .. }));
    assert_eq!(world.answers[&lower].1, ReplicaAnswer::Superseded { current: 5 });
    assert!(matches!(&world.answers[&invalid].1, ReplicaAnswer::Invalid(faults) if faults.len() == 1));
    assert_eq!(world.answers[&long].1, ReplicaAnswer::TooLong);
}

/// Guards against reads from a replica that was isolated, frozen or restarted and returns a change older than one that
/// was accepted before the read.
#[test]
fn a_read_is_never_older_than_an_accepted_change() {
    for seed in SEEDS {
        let mut world = World::settled(seed, 3, 1, 1);
        let (mut accepted, mut reads, mut submitted) = (1, Vec::new(), Vec::new());
        for round in 0..12_u64 {
            let victim = (seed + round) as usize % 3;
            match round % 4 {
                0 => world.freeze_replica(victim),
                1 => world.isolate_replica(victim),
                2 => world.kill_replica(victim),
                _ => {}
            }
            for step in 0..10 {
                let number = 2 + round * 10 + step;
                let id = world.submit((victim + 1) % 3, &text(number));
                submitted.push((number, id));
                // A frozen replica processes its socket buffers when it is thawed.
                for replica in 0..3 {
                    let id = world.read(replica);
                    reads.push((id, accepted));
                }
                world.run(ms(250));
                let done = submitted.iter().filter(|(_, id)| is_accepted(&world, *id));
                accepted = done.map(|(number, _)| *number).max().unwrap_or(1).max(accepted);
                if step == 7 {
                    if world.replicas[victim].is_frozen {
                        world.thaw_replica(victim);
                    }
                    world.heal();
                    if world.replicas[victim].replica.is_none() {
                        world.start_replica(victim);
                    }
                }
            }
        }
        world.run(ms(5_000));
        let mut answered = 0;
        for (id, accepted) in &reads {
            match world.answers.get(id) {
                Some((at, ReplicaAnswer::Current { number, .. })) => {
                    answered += 1;
                    assert!(number >= accepted, "seed {seed}: {number} read at {at:?}, {accepted} was accepted");
                }
                Some((_, ReplicaAnswer::Unavailable)) | None => {}
                Some((at, answer)) => panic!("seed {seed}: {answer:?} at {at:?}"),
            }
        }
        assert!(answered > reads.len() / 2, "seed {seed}: {answered} of {} answered", reads.len());
    }
}

/// Guards against a replica that goes on as if it had applied a command which only a later version can read, and then
/// answers reads and snapshots without it.
#[test]
fn a_replica_stops_at_a_command_that_it_cannot_read() {
    let mut world = World::settled(1, 3, 2, 2);
    let id = world.submit(0, &text(2));
    world.run(ms(2_000));
    assert!(is_accepted(&world, id));
    for replica in 0..3 {
        world.kill_replica(replica);
        // An unknown kind of command, in the encoding that is known.
        world.replicas[replica]
            .disk
            .replace_commands(|command| matches!(command, Command::Submit { number: 2, .. }).then(|| vec![1, 99, 0]));
        world.start_replica(replica);
    }
    world.checks.collect_violations = true;
    world.run(ms(5_000));
    let is_named = |violation: &String| violation.contains("a command in the log cannot be read by this version");
    assert!(world.checks.violations.iter().any(is_named), "{:?}", world.checks.violations);
}
