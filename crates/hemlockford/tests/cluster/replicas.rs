//! Lost replicas and lost data folders.

use {
    crate::{
        cluster::{APPLY_LIMIT, Cluster},
        member::Member,
    },
    std::{thread, time::Duration},
};

/// Time after which entries that miss messages would have stopped being ready: the window of 2 s, the grace period of 2 s
/// and a margin.
const UNREADY_TIME: Duration = Duration::from_secs(5);

/// Time limit for the admission of a replica; no target is specified for it.
const ADMISSION_LIMIT: Duration = Duration::from_secs(20);

/// Guards against losing accepted changes when a second replica loses its disk right after the first one, which had lost
/// its own, was repaired.
#[test]
fn no_change_is_lost_when_a_second_replica_fails_after_a_repair() {
    let mut cluster = Cluster::start(5, 3);
    let output = cluster.submit_until_final(4, 2, "", Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
    cluster.members[0].kill();
    cluster.members[0].remove_data_folder();
    let output = cluster.submit_until_final(4, 3, "", Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
    cluster.members[0].start();
    cluster.wait_until(APPLY_LIMIT, "the repaired instance applies the change", |cluster| {
        cluster.members[0].change_number() == 3 && cluster.members[0].is_ready()
    });
    // The repair is complete when the replica is admitted as a voter. If another replica is lost before that, no majority
    // has the changes.
    cluster.wait_until(ADMISSION_LIMIT, "the repaired replica is a voter", |cluster| {
        cluster.members[0].status()["replica"] == "voting"
    });
    // The next change needs the vote of the repaired replica, and so shows that it counts again.
    cluster.members[1].kill();
    cluster.members[1].remove_data_folder();
    let output = cluster.submit_until_final(4, 4, "", Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
    let resubmit = |extra_lines| cluster.submit_until_final(4, 2, extra_lines, Duration::from_secs(15)).code;
    assert_eq!(resubmit(""), 0, "resubmission of an earlier change");
    assert_eq!(resubmit("[customer other]\n"), 3, "another configuration with the same number");
}

/// Guards against an outage of all entries when the control replicas are lost.
#[test]
fn entries_serve_without_any_control_replica() {
    let mut cluster = Cluster::start(7, 3);
    for replica in 0..3 {
        cluster.members[replica].kill();
    }
    thread::sleep(UNREADY_TIME);
    assert!(cluster.members[3..].iter().all(Member::is_ready), "an entry is not ready without control replicas");
    assert_ne!(cluster.submit(4, 2, "").code, 0, "a change was accepted without control replicas");
    for replica in 0..3 {
        cluster.members[replica].start();
    }
    let output = cluster.submit_until_final(4, 2, "", Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
}
