//! Faults of the fault matrix.

use {
    crate::fakes::{Cluster, Step},
    std::time::Duration,
};

/// Delay that exceeds an election timeout.
const LONG_DELAY: Duration = Duration::from_millis(700);
/// Delay that moves a message behind messages sent shortly after it.
const REORDER_DELAY: Duration = Duration::from_millis(5);
/// Duration of a freeze: longer than the maximum election timeout.
const FREEZE_TIME: Duration = Duration::from_millis(1_500);

/// Fsync time of a slow disk: longer than the minimum election timeout.
const SLOW_SYNC_TIME: Duration = Duration::from_millis(900);

/// Fault that is injected at one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process crashes and loses its unsynced writes.
    CrashBeforeSync(usize),
    /// The process crashes; only the first unsynced write survives.
    CrashPartialSync(usize),
    /// The process crashes after its writes became durable, but before it learns of that.
    CrashAfterSync(usize),
    /// The message is lost; an fsync is delayed.
    Drop,
    /// The message arrives now and again after a long delay.
    Duplicate,
    /// The message or the fsync completion is delayed.
    Delay,
    /// The message arrives after messages sent later.
    Reorder,
    /// All messages from the replica are lost.
    CutOutbound(usize),
    /// All messages to the replica are lost.
    CutInbound(usize),
    /// All messages from and to the replica are lost.
    Isolate(usize),
    /// The process is frozen.
    Freeze(usize),
    /// The process crashes and its data folder is erased.
    LoseDisk(usize),
    /// Every fsync is slow.
    SlowDisk(usize),
}

impl Fault {
    /// Returns every fault for a number of replicas.
    pub fn all(replicas: usize) -> Vec<Self> {
        let mut all = vec![Self::Drop, Self::Duplicate, Self::Delay, Self::Reorder];
        for node in 0..replicas {
            all.extend([
                Self::CrashBeforeSync(node),
                Self::CrashPartialSync(node),
                Self::CrashAfterSync(node),
                Self::CutOutbound(node),
                Self::CutInbound(node),
                Self::Isolate(node),
                Self::Freeze(node),
                Self::LoseDisk(node),
                Self::SlowDisk(node),
            ]);
        }
        all
    }

    /// Returns the replica that the fault affects; `None` if it affects a single step.
    pub fn node(self) -> Option<usize> {
        match self {
            Self::CrashBeforeSync(node)
            | Self::CrashPartialSync(node)
            | Self::CrashAfterSync(node)
            | Self::CutOutbound(node)
            | Self::CutInbound(node)
            | Self::Isolate(node)
            | Self::Freeze(node)
            | Self::LoseDisk(node)
            | Self::SlowDisk(node) => Some(node),
            Self::Drop | Self::Duplicate | Self::Delay | Self::Reorder => None,
        }
    }

    /// Injects the fault at a step; returns the step if it is still to be executed now.
    pub fn inject(self, cluster: &mut Cluster, step: Step) -> Option<Step> {
        let nodes = cluster.nodes.len();
        match self {
            Self::CrashBeforeSync(node) => cluster.crash(node, 0),
            Self::CrashPartialSync(node) => cluster.crash(node, 1),
            Self::CrashAfterSync(node) => cluster.crash(node, usize::MAX),
            Self::Drop => {
                if let Step::Synced(..) = step {
                    cluster.schedule(LONG_DELAY, step);
                }
                return None;
            }
            Self::Duplicate => {
                if let Step::Deliver(..) = step {
                    cluster.schedule(LONG_DELAY, step.clone());
                }
            }
            Self::Delay => {
                cluster.schedule(LONG_DELAY, step);
                return None;
            }
            Self::Reorder => {
                cluster.schedule(REORDER_DELAY, step);
                return None;
            }
            Self::CutOutbound(node) => cluster.net.cuts.extend((0..nodes).map(|other| (node, other))),
            Self::CutInbound(node) => cluster.net.cuts.extend((0..nodes).map(|other| (other, node))),
            Self::Isolate(node) => cluster.net.cuts.extend((0..nodes).flat_map(|other| [(node, other), (other, node)])),
            Self::Freeze(node) => {
                cluster.freeze(node, FREEZE_TIME);
                if step.node() == node {
                    cluster.schedule(FREEZE_TIME, step);
                    return None;
                }
            }
            Self::LoseDisk(node) => cluster.lose_disk(node),
            Self::SlowDisk(node) => cluster.nodes[node].set_sync_time(Some(SLOW_SYNC_TIME)),
        }
        Some(step)
    }
}
