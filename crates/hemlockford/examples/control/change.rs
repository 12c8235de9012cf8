//! Measures the time from the submission of a change until every instance applies it.

use {
    crate::{
        configuration::configuration,
        results::Results,
        support::{group::InstanceGroup, http::post},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Interval between polls of the change number of an instance, which is also the error of the measured time.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time without polls between two changes, so that each change starts with idle instances.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Specified time within which every instance must apply a change. If a change takes longer, the program fails.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Submits changes to the instances in turn.
pub fn measure(group: &mut InstanceGroup, changes: usize, results: &mut Results) {
    let (mut apply_times, mut answer_times) = (Vec::new(), Vec::new());
    for change in 0..changes {
        group.change_number += 1;
        let (number, target) = (group.change_number, change % group.instances.len());
        let config = format!("[change]\nnumber = {number}\n{}", configuration(number));
        let start = Instant::now();
        let times: Vec<Duration> = thread::scope(|scope| {
            let polls: Vec<_> = group
                .instances
                .iter()
                .map(|instance| {
                    scope.spawn(move || {
                        while instance.change_number() < number {
                            assert!(
                                start.elapsed() < APPLY_LIMIT,
                                "{} did not apply change {number} within {APPLY_LIMIT:?}",
                                instance.name
                            );
                            thread::sleep(POLL_INTERVAL);
                        }
                        start.elapsed()
                    })
                })
                .collect();
            let (status, body) = post(&group.instances[target].admin_address, "/submit", &config);
            assert_eq!(status, 200, "{body}");
            answer_times.push(start.elapsed());
            polls.into_iter().map(|poll| poll.join().expect("the polling thread does not panic")).collect()
        });
        apply_times.extend(times.iter().max());
        thread::sleep(CHANGE_INTERVAL);
    }
    results.add_times("change", "submit to in force on all", "all", apply_times);
    results.add_times("change", "submit to answer", "all", answer_times);
}

/// Submits changes up to a change number, without polling the instances in between.
pub fn submit_up_to(group: &mut InstanceGroup, last_number: u64) {
    while group.change_number < last_number {
        group.change_number += 1;
        let config = format!("[change]\nnumber = {}\n{}", group.change_number, configuration(group.change_number));
        let (status, body) = post(&group.instances[0].admin_address, "/submit", &config);
        assert_eq!(status, 200, "{body}");
    }
    group.wait_until("every instance applies every change", |group| {
        group.instances.iter().all(|instance| instance.change_number() == group.change_number)
    });
}
