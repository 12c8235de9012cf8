//! Elections and leadership transfer on a virtual clock.

use {
    hemlockford_core::consensus::{Consensus, ConsensusOptions, ProposalResult},
    hemlockford_scenario::fakes::{Cluster, ClusterOptions},
    std::time::Duration,
};

fn converged_cluster(replicas: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(ClusterOptions { replicas, seed, ..ClusterOptions::default() });
    cluster.run_for(Duration::from_secs(2));
    cluster.run_without_proposals(Duration::from_millis(300));
    assert!(cluster.has_converged(), "seed {seed}");
    cluster
}

fn term(cluster: &Cluster) -> Option<u64> {
    cluster.leader().and_then(|leader| cluster.nodes[leader].consensus.as_ref().map(Consensus::term))
}

/// Guards against a replica that was isolated, in one direction or both, and deposes the leader when it returns or
/// while it receives no messages.
#[test]
fn returning_replica_does_not_depose_the_leader() {
    for (seed, cuts_inbound, cuts_outbound) in [(1, true, true), (2, true, false), (3, false, true)] {
        let mut cluster = converged_cluster(3, seed);
        let (leader, before) = (cluster.leader(), term(&cluster));
        let follower = (leader.unwrap() + 1) % 3;
        for other in 0..3 {
            cluster.net.cuts.extend(cuts_inbound.then_some((other, follower)));
            cluster.net.cuts.extend(cuts_outbound.then_some((follower, other)));
        }
        cluster.run_for(Duration::from_secs(5));
        assert_eq!((cluster.leader(), term(&cluster)), (leader, before), "seed {seed}, isolated");
        cluster.heal();
        cluster.run_for(Duration::from_secs(5));
        assert_eq!((cluster.leader(), term(&cluster)), (leader, before), "seed {seed}, reconnected");
        assert_eq!(cluster.checks.violations, []);
    }
}

/// Guards against a replica that is cut off from the leader but not from the third replica, and deposes the leader
/// although the third replica still receives its messages. Nothing is proposed, so that its log is as recent as the
/// others.
#[test]
fn partly_cut_replica_does_not_depose_the_leader() {
    let mut cluster = converged_cluster(3, 5);
    let (leader, before) = (cluster.leader().unwrap(), term(&cluster));
    let follower = (leader + 1) % 3;
    cluster.net.cuts.extend([(leader, follower), (follower, leader)]);
    cluster.run_without_proposals(Duration::from_secs(5));
    assert_eq!((cluster.leader(), term(&cluster)), (Some(leader), before), "link cut");
    cluster.heal();
    cluster.run_without_proposals(Duration::from_secs(5));
    assert_eq!((cluster.leader(), term(&cluster)), (Some(leader), before), "link restored");
    assert_eq!(cluster.checks.violations, []);
}

/// Guards against a leader that steps down because all disks are slow: replies to heartbeats must not wait for an fsync
/// of entries.
#[test]
fn slow_disks_do_not_depose_the_leader() {
    let mut cluster = converged_cluster(3, 6);
    let (leader, before) = (cluster.leader(), term(&cluster));
    cluster.nodes.iter_mut().for_each(|node| node.set_sync_time(Some(Duration::from_millis(900))));
    let confirmed = cluster.checks.applied.len();
    cluster.run_for(Duration::from_secs(10));
    assert_eq!((cluster.leader(), term(&cluster)), (leader, before));
    assert!(cluster.checks.applied.len() > confirmed + 100, "{} confirmed", cluster.checks.applied.len() - confirmed);
    assert_eq!(cluster.checks.violations, []);
}

/// Guards against a planned stop that waits for an election timeout or loses proposals.
#[test]
fn planned_stop_transfers_leadership_at_once() {
    for replicas in [3, 5] {
        let mut cluster = converged_cluster(replicas, 4);
        cluster.run_for(Duration::from_millis(100));
        let leader = cluster.leader().unwrap();
        let (start, confirmed) = (cluster.now, cluster.checks.applied.len());
        cluster.propose();
        cluster.stop(leader);
        while cluster.leader().is_none_or(|now| now == leader) || cluster.checks.applied.len() < confirmed + 2 {
            cluster.run_for(Duration::from_millis(5));
            assert!(cluster.now < start + ConsensusOptions::default().min_election_timeout, "no leadership transfer");
        }
        println!("{replicas} replicas: the next leader commits after {:?}", cluster.now - start);
        assert!(!cluster.checks.answers.values().any(|result| *result == ProposalResult::Unknown));
        assert_eq!(cluster.checks.violations, []);
    }
}

/// Guards against repeated split votes: a crashed leader is replaced in about 1 s.
#[test]
fn lost_leader_is_replaced() {
    let mut longest = Duration::ZERO;
    for seed in 0..50 {
        let mut cluster = converged_cluster(3, seed);
        let leader = cluster.leader().unwrap();
        cluster.crash(leader, 0);
        cluster.freeze(leader, Duration::from_secs(60));
        let start = cluster.now;
        while cluster.leader().is_none() {
            cluster.run_for(Duration::from_millis(10));
            assert!(cluster.now < start + Duration::from_secs(3), "seed {seed}: no leader");
        }
        longest = longest.max(cluster.now - start);
    }
    println!("seeds 0 to 49: new leader after at most {longest:?}");
}
