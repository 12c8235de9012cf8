//! Lost replicas and lost data folders.

use {
    crate::{
        cluster::{Cluster, IN_FORCE_LIMIT},
        member::Member,
    },
    std::{thread, time::Duration},
};

/// Time after which entries would have left the balancer, had they missed anything: the window of 2 s, the
/// grace of 2 s and a margin.
const PAST_WINDOWS: Duration = Duration::from_secs(5);

/// Time for the admission of a replica, for which there is no stated target.
const ADMISSION_LIMIT: Duration = Duration::from_secs(20);

/// Guards against confirmed changes that are lost when a second replica fails right after the first one,
/// whose disk was lost, has been repaired.
#[test]
fn a_second_loss_after_a_repair_loses_nothing() {
    let mut cluster = Cluster::start(5, 3);
    let ended = cluster.submit_until_final(4, 2, "", Duration::from_secs(15));
    assert_eq!(ended.code, 0, "{ended:?}");
    cluster.members[0].kill();
    cluster.members[0].lose_disk();
    let ended = cluster.submit_until_final(4, 3, "", Duration::from_secs(15));
    assert_eq!(ended.code, 0, "{ended:?}");
    cluster.members[0].start();
    cluster.expect_within(IN_FORCE_LIMIT, "the repaired instance has the change", |cluster| {
        cluster.members[0].number() == 3 && cluster.members[0].is_ready()
    });
    // The repair ends with the admission; a replica that is lost before leaves no majority that remembers.
    cluster.expect_within(ADMISSION_LIMIT, "the repaired replica votes", |cluster| {
        cluster.members[0].status()["replica"] == "voting"
    });
    // A change that needs the repaired replica shows that it counts again.
    cluster.members[1].kill();
    cluster.members[1].lose_disk();
    let ended = cluster.submit_until_final(4, 4, "", Duration::from_secs(15));
    assert_eq!(ended.code, 0, "{ended:?}");
    let again = |more| cluster.submit_until_final(4, 2, more, Duration::from_secs(15)).code;
    assert_eq!(again(""), 0, "an earlier change is remembered");
    assert_eq!(again("[customer other]\n"), 3, "another text with its number");
}

/// Guards against an outage of every entry when the control replicas are lost.
#[test]
fn entries_serve_without_any_control_replica() {
    let mut cluster = Cluster::start(7, 3);
    for replica in 0..3 {
        cluster.members[replica].kill();
    }
    thread::sleep(PAST_WINDOWS);
    assert!(cluster.members[3..].iter().all(Member::is_ready), "an entry left without control");
    assert_ne!(cluster.submit(4, 2, "").code, 0, "a change was accepted without control");
    for replica in 0..3 {
        cluster.members[replica].start();
    }
    let ended = cluster.submit_until_final(4, 2, "", Duration::from_secs(15));
    assert_eq!(ended.code, 0, "{ended:?}");
}
