//! Message exchanges of the replicated log into which faults are injected.

use {
    crate::fakes::{Cluster, ClusterOptions},
    hemlockford_core::consensus::ProposalResult,
    std::time::Duration,
};

/// Bytes added to a snapshot so that it is transferred in three pieces.
const PADDING: usize = 150_000;
/// Time for which a follower is isolated before it catches up.
const ISOLATION_TIME: Duration = Duration::from_millis(1_200);
/// Time limit for a group to form without faults.
const FORMATION_LIMIT: Duration = Duration::from_secs(5);

/// Message exchange of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exchange {
    /// Empty replicas form a group.
    Formation,
    /// The leader crashes and another one is elected.
    Election,
    /// Commands are replicated.
    Append,
    /// Replicas take snapshots and truncate their logs.
    Snapshot,
    /// A replica that was isolated receives a snapshot in pieces.
    CatchUp,
    /// A follower lost its folder and is admitted again.
    Admit,
    /// The leader lost its folder and is admitted again.
    AdmitLeader,
    /// The leader stops as planned.
    LeadershipTransfer,
}

impl Exchange {
    /// Every exchange.
    pub const ALL: [Self; 8] = [
        Self::Formation,
        Self::Election,
        Self::Append,
        Self::Snapshot,
        Self::CatchUp,
        Self::Admit,
        Self::AdmitLeader,
        Self::LeadershipTransfer,
    ];

    /// Creates a cluster at the start of the exchange; returns it with the replica that the exchange concerns.
    /// `adjust` is applied once the group has formed.
    pub fn prepare(self, replicas: usize, seed: u64, adjust: impl Fn(&mut Cluster)) -> (Cluster, usize) {
        let snapshot_entries = match self {
            Self::Snapshot => 8,
            Self::CatchUp => 16,
            _ => 256,
        };
        let padding = if self == Self::CatchUp { PADDING } else { 0 };
        let mut cluster = Cluster::new(ClusterOptions { replicas, snapshot_entries, padding, seed });
        if self != Self::Formation {
            let end = cluster.now + FORMATION_LIMIT;
            while !cluster.has_converged() && cluster.now < end {
                cluster.run_for(Duration::from_millis(100));
                cluster.run_without_proposals(Duration::from_millis(300));
            }
        }
        adjust(&mut cluster);
        let leader = cluster.leader().unwrap_or_default();
        let follower = (leader + 1) % replicas;
        match self {
            Self::Formation | Self::Append | Self::Snapshot => {}
            Self::Election => cluster.crash(leader, usize::MAX),
            Self::CatchUp => {
                cluster.net.cuts.extend((0..replicas).flat_map(|other| [(follower, other), (other, follower)]));
                cluster.run_for(ISOLATION_TIME);
                cluster.net.cuts.clear();
            }
            Self::Admit => cluster.lose_disk(follower),
            Self::AdmitLeader => cluster.lose_disk(leader),
            Self::LeadershipTransfer => cluster.stop(leader),
        }
        let subject = if matches!(self, Self::CatchUp | Self::Admit) { follower } else { leader };
        (cluster, subject)
    }

    /// Returns whether the exchange is complete; `last_proposal` is the ID of the last proposal before its start.
    pub fn is_complete(self, cluster: &Cluster, subject: usize, last_proposal: u64) -> bool {
        let is_confirmed = |id: &u64| matches!(cluster.checks.answers.get(id), Some(ProposalResult::Committed { .. }));
        let confirmed = (last_proposal + 1..=cluster.last_proposal).filter(is_confirmed).count();
        let node = &cluster.nodes[subject];
        match self {
            Self::Formation | Self::Election | Self::LeadershipTransfer => confirmed >= 1,
            Self::Append => confirmed >= 4,
            Self::Snapshot => confirmed >= 12,
            Self::CatchUp => node.state_machine.commands.len() + 1 >= cluster.checks.applied.len(),
            Self::Admit | Self::AdmitLeader => node.is_admitted() && confirmed >= 1,
        }
    }
}
