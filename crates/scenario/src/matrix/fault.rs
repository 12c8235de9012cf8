//! Faults of the matrix.

use {
    crate::fakes::{Cluster, Step},
    std::time::Duration,
};

/// Delay of a message that arrives after an election timeout.
const LATE: Duration = Duration::from_millis(700);
/// Delay of a message that arrives behind those sent a moment later.
const BEHIND: Duration = Duration::from_millis(5);
/// Time for which a process is frozen: longer than the longest election timeout.
const FROZEN: Duration = Duration::from_millis(1_500);

/// Time that a fsync takes on a slow disk: longer than the shortest election timeout.
const SLOW: Duration = Duration::from_millis(900);

/// A fault that is injected at one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends; unsynced writes are gone.
    CrashBeforeSync(usize),
    /// The process ends; only the first unsynced write survives.
    CrashPartialSync(usize),
    /// The process ends after its writes became durable, before it knows.
    CrashAfterSync(usize),
    /// The message is lost; a fsync takes long.
    Drop,
    /// The message arrives now and once more late.
    Duplicate,
    /// The message arrives late; a fsync takes long.
    Delay,
    /// The message arrives behind later ones.
    Reorder,
    /// Nothing that the replica sends arrives.
    CutOutbound(usize),
    /// Nothing that is sent to the replica arrives.
    CutInbound(usize),
    /// Both.
    Isolate(usize),
    /// The process stands still.
    Freeze(usize),
    /// The process ends and its folder is emptied.
    LoseDisk(usize),
    /// Each fsync takes long.
    SlowDisk(usize),
}

impl Fault {
    /// Every fault for a number of replicas.
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

    /// The replica that the fault befalls; `None` if it befalls one message.
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

    /// Injects the fault at a step; returns the step if it still happens now.
    pub fn inject(self, cluster: &mut Cluster, step: Step) -> Option<Step> {
        let nodes = cluster.nodes.len();
        match self {
            Self::CrashBeforeSync(node) => cluster.crash(node, 0),
            Self::CrashPartialSync(node) => cluster.crash(node, 1),
            Self::CrashAfterSync(node) => cluster.crash(node, usize::MAX),
            Self::Drop => {
                if let Step::Synced(..) = step {
                    cluster.schedule(LATE, step);
                }
                return None;
            }
            Self::Duplicate => {
                if let Step::Deliver(..) = step {
                    cluster.schedule(LATE, step.clone());
                }
            }
            Self::Delay => {
                cluster.schedule(LATE, step);
                return None;
            }
            Self::Reorder => {
                cluster.schedule(BEHIND, step);
                return None;
            }
            Self::CutOutbound(node) => cluster.net.cuts.extend((0..nodes).map(|other| (node, other))),
            Self::CutInbound(node) => cluster.net.cuts.extend((0..nodes).map(|other| (other, node))),
            Self::Isolate(node) => cluster.net.cuts.extend((0..nodes).flat_map(|other| [(node, other), (other, node)])),
            Self::Freeze(node) => {
                cluster.freeze(node, FROZEN);
                if step.node() == node {
                    cluster.schedule(FROZEN, step);
                    return None;
                }
            }
            Self::LoseDisk(node) => cluster.lose_disk(node),
            Self::SlowDisk(node) => cluster.nodes[node].set_sync_time(Some(SLOW)),
        }
        Some(step)
    }
}
