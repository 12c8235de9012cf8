//! Time from the submission of a change until it is in force on every instance.

use {
    crate::{
        results::Results,
        support::{group::Group, http::post},
        text::text,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two looks at the change in force on an instance; the error of the time measured.
const POLL: Duration = Duration::from_millis(2);
/// Time without polls between two changes, so that each finds idle instances.
const PAUSE: Duration = Duration::from_millis(20);
/// Stated target for a change to be in force everywhere; a change that takes longer ends the program.
const LIMIT: Duration = Duration::from_secs(5);

/// Submits changes in turn to every instance.
pub fn measure(group: &mut Group, changes: usize, results: &mut Results) {
    let (mut in_force, mut answered) = (Vec::new(), Vec::new());
    for change in 0..changes {
        group.number += 1;
        let (number, asked) = (group.number, change % group.instances.len());
        let text = format!("[change]\nnumber = {number}\n{}", text(number));
        let start = Instant::now();
        let times: Vec<Duration> = thread::scope(|scope| {
            let polls: Vec<_> = group
                .instances
                .iter()
                .map(|instance| {
                    scope.spawn(move || {
                        while instance.number() < number {
                            assert!(start.elapsed() < LIMIT, "change {number} is not in force on {}", instance.name);
                            thread::sleep(POLL);
                        }
                        start.elapsed()
                    })
                })
                .collect();
            let (status, body) = post(&group.instances[asked].admin, "/submit", &text);
            assert_eq!(status, 200, "{body}");
            answered.push(start.elapsed());
            polls.into_iter().map(|poll| poll.join().expect("the poll ends")).collect()
        });
        in_force.extend(times.iter().max());
        thread::sleep(PAUSE);
    }
    results.add_times("change", "submit to in force on all", "all", in_force);
    results.add_times("change", "submit to answer", "all", answered);
}

/// Submits changes until a number is reached, without looking at the instances in between.
pub fn submit_until(group: &mut Group, last: u64) {
    while group.number < last {
        group.number += 1;
        let text = format!("[change]\nnumber = {}\n{}", group.number, text(group.number));
        let (status, body) = post(&group.instances[0].admin, "/submit", &text);
        assert_eq!(status, 200, "{body}");
    }
    group.wait("every change is in force", |group| group.instances.iter().all(|one| one.number() == group.number));
}
