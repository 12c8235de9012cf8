//! Configuration changes while instances fail.

use {
    crate::cluster::{APPLY_LIMIT, Cluster},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time limit for a restart of all instances including an election; no target is specified for it.
const RESTART_LIMIT: Duration = Duration::from_secs(15);

/// Guards against an accepted change that some instance does not apply within the specified 5 s.
#[test]
fn seven_instances_apply_an_accepted_change_within_5_s() {
    let cluster = Cluster::start(7, 3);
    let mut times = Vec::new();
    for number in 2..12 {
        let start = Instant::now();
        let output = cluster.submit(number as usize % 7, number, "");
        assert_eq!(output.code, 0, "{output:?}");
        cluster.wait_until(APPLY_LIMIT, "every instance applies the change", |cluster| {
            cluster.members.iter().all(|member| member.change_number() >= number)
        });
        times.push(start.elapsed());
    }
    times.sort();
    println!("submission to application on 7 instances: median {:?}, maximum {:?}", times[5], times[9]);
    assert!(times[9] < APPLY_LIMIT, "{times:?}");
}

/// Guards against accepting two different configurations with one change number, and against a different answer to a
/// resubmission.
#[test]
fn only_one_of_two_configurations_with_the_same_number_is_accepted() {
    let cluster = Cluster::start(5, 3);
    for number in 2..6 {
        let configurations = ["[customer first]\n", "[customer second-one]\n"];
        let codes: Vec<_> = thread::scope(|scope| {
            let submits: Vec<_> = configurations
                .iter()
                .enumerate()
                .map(|(index, extra_lines)| {
                    let cluster = &cluster;
                    scope.spawn(move || cluster.submit_until_final(index * 4, number, extra_lines, APPLY_LIMIT).code)
                })
                .collect();
            submits.into_iter().map(|submit| submit.join().expect("the submitting thread does not panic")).collect()
        });
        assert!(codes == [0, 3] || codes == [3, 0], "change {number}: exit codes {codes:?}");
        for (index, extra_lines) in configurations.iter().enumerate() {
            let resubmission = cluster.submit_until_final(2, number, extra_lines, APPLY_LIMIT);
            assert_eq!(resubmission.code, codes[index], "resubmission of change {number}: {resubmission:?}");
        }
    }
}

/// Guards against losing an accepted change, and against a change number that decreases, when leaders are killed.
#[test]
fn accepted_changes_survive_killed_leaders() {
    let mut cluster = Cluster::start(5, 3);
    let mut highest = 1;
    for round in 0..3 {
        let leader = cluster.leader_index();
        cluster.members[leader].kill();
        let target = (0..5).find(|index| *index != leader).expect("another instance");
        for _ in 0..3 {
            let output = cluster.submit_until_final(target, highest + 1, "", Duration::from_secs(15));
            assert_eq!(output.code, 0, "round {round}: {output:?}");
            highest += 1;
        }
        let running: Vec<_> = cluster.members.iter().filter(|member| member.process.is_some()).collect();
        assert!(running.iter().all(|member| member.change_number() <= highest));
        cluster.members[leader].start();
        cluster.wait_until(APPLY_LIMIT, "the restarted instance applies the latest change", |cluster| {
            cluster.members[leader].change_number() == highest && cluster.members[leader].is_ready()
        });
    }
}

/// Guards against an instance that has an older configuration after all instances were restarted.
#[test]
fn the_configuration_survives_a_restart_of_every_instance() {
    let mut cluster = Cluster::start(5, 3);
    assert_eq!(cluster.submit_until_final(0, 2, "", RESTART_LIMIT).code, 0);
    for member in &mut cluster.members {
        member.kill();
    }
    for member in &mut cluster.members {
        member.start();
    }
    cluster.wait_until(RESTART_LIMIT, "every instance applies the change", |cluster| {
        cluster.members.iter().all(|member| member.change_number() == 2 && member.is_ready())
    });
    let resubmit = |extra_lines| cluster.submit_until_final(4, 2, extra_lines, RESTART_LIMIT).code;
    assert_eq!(resubmit(""), 0, "resubmission of the same configuration");
    assert_eq!(resubmit("[customer other]\n"), 3, "another configuration with the same number");
}
