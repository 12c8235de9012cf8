//! Cell of the fault matrix: an exchange with faults injected at given steps.

use {
    super::{Exchange, Fault},
    crate::fakes::{Cluster, LostWrites, Tampering, Violation},
    hemlockford_core::{collections::FastSet, consensus::ProposalResult},
    std::time::Duration,
};

/// Time from the start of the exchange until all faults end.
const WINDOW: Duration = Duration::from_millis(2_000);
/// Time limit from the end of all faults until every replica is admitted and has applied every entry. An election
/// takes about 1 s, and replicas may have to be admitted one after another.
const PROGRESS_LIMIT: Duration = Duration::from_secs(10);
/// Time limit for a fault-free majority to commit a command while the faults of the other replicas persist.
const MAJORITY_PROGRESS_LIMIT: Duration = Duration::from_secs(5);
/// Interval between proposals.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(30);

/// Time without proposals after which followers have applied every entry: two heartbeats.
const CATCH_UP_TIME: Duration = Duration::from_millis(300);

/// Defect injected into the fakes to show that the checks detect it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    #[default]
    None,
    /// Disks report writes as durable but lose them in a crash.
    Disk(LostWrites),
    /// The network tampers with messages.
    Net(Tampering),
}

/// Cell of the fault matrix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Exchange to run.
    pub exchange: Exchange,
    /// Number of replicas.
    pub replicas: usize,
    /// Random seed.
    pub seed: u64,
    /// Faults with the steps at which they are injected.
    pub faults: Vec<(usize, Fault)>,
    /// Injected defect.
    pub defect: Defect,
}

/// Result of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellResult {
    /// Violated properties.
    pub violations: Vec<Violation>,
    /// Number of steps until the exchange was complete, if it completed.
    pub steps: Option<usize>,
    /// Whether a majority of data folders was lost before the replicas were durably admitted again, so that no
    /// progress is possible.
    pub is_majority_lost: bool,
    /// Whether no data folder contained an entry any more, so that the replicas form a new group.
    pub is_all_lost: bool,
    /// Time from the end of all faults until every replica had caught up.
    pub recovery: Duration,
}

impl Cell {
    /// Runs the cell.
    pub fn run(&self) -> CellResult {
        let (mut cluster, subject) = self.exchange.prepare(self.replicas, self.seed, |cluster| match self.defect {
            Defect::None => {}
            Defect::Disk(lost_writes) => cluster.nodes.iter_mut().for_each(|node| node.disk.lost_writes = lost_writes),
            Defect::Net(tampering) => cluster.net.tampering = tampering,
        });
        let mut result = CellResult::default();
        let mut lost = FastSet::default();
        if matches!(self.exchange, Exchange::Admit | Exchange::AdmitLeader) {
            lost.insert(subject);
        }
        self.run_window(&mut cluster, subject, &mut lost, &mut result);
        if result.is_all_lost {
            return result;
        }
        self.check_majority(&mut cluster, &lost);
        self.heal(&mut cluster, &mut result);
        result.violations = cluster.checks.violations;
        result
    }

    fn run_window(&self, cluster: &mut Cluster, subject: usize, lost: &mut FastSet<usize>, result: &mut CellResult) {
        let (last_proposal, end) = (cluster.last_proposal, cluster.now + WINDOW);
        let (mut count, mut next_proposal) = (0, cluster.now);
        while let Some(mut step) = cluster.next_step() {
            if cluster.now >= end {
                cluster.schedule(Duration::ZERO, step);
                break;
            }
            if cluster.now >= next_proposal {
                next_proposal = cluster.now + PROPOSAL_INTERVAL;
                cluster.propose();
            }
            if step.is_exchange() {
                let mut kept = Some(step);
                for (_, fault) in self.faults.iter().filter(|(at, _)| *at == count) {
                    self.record_disk_loss(cluster, *fault, lost, result);
                    kept = kept.and_then(|step| fault.inject(cluster, step));
                    result.is_all_lost |=
                        result.is_majority_lost && cluster.nodes.iter().all(|node| node.disk.is_empty());
                }
                count += 1;
                let Some(kept) = kept else { continue };
                step = kept;
            }
            cluster.run(step);
            if result.steps.is_none() && self.exchange.is_complete(cluster, subject, last_proposal) {
                result.steps = Some(count);
            }
        }
    }

    fn record_disk_loss(&self, cluster: &Cluster, fault: Fault, lost: &mut FastSet<usize>, result: &mut CellResult) {
        let Fault::LoseDisk(node) = fault else { return };
        lost.retain(|node| !cluster.nodes[*node].disk.durable.hard_state.admitted);
        let at = &cluster.nodes[node];
        if cluster.checks.is_admitted(at) || at.disk.cached.hard_state.group_proposal.is_some() {
            lost.insert(node);
        }
        result.is_majority_lost |= lost.len() > self.replicas - (self.replicas / 2 + 1);
    }

    /// Checks that a fault-free majority makes progress while the faults of the other replicas persist. The formation
    /// of a group is exempt because it needs all replicas.
    fn check_majority(&self, cluster: &mut Cluster, lost: &FastSet<usize>) {
        let mut faulty: FastSet<_> = self.faults.iter().filter_map(|(_, fault)| fault.node()).collect();
        faulty.extend(lost);
        if self.exchange == Exchange::Formation || faulty.len() > self.replicas - (self.replicas / 2 + 1) {
            return;
        }
        let (start, last_proposal) = (cluster.now, cluster.last_proposal);
        while !is_confirmed_after(cluster, last_proposal) && cluster.checks.violations.is_empty() {
            if cluster.now >= start + MAJORITY_PROGRESS_LIMIT {
                cluster.checks.report_no_progress(Violation::NoProgressOfMajority);
            }
            cluster.run_for(PROPOSAL_INTERVAL);
        }
    }

    fn heal(&self, cluster: &mut Cluster, result: &mut CellResult) {
        cluster.heal();
        let (start, last_proposal) = (cluster.now, cluster.last_proposal);
        while cluster.now < start + PROGRESS_LIMIT && cluster.checks.violations.is_empty() {
            cluster.run_for(PROPOSAL_INTERVAL);
            // Followers learn the commit index from a later message.
            cluster.run_without_proposals(CATCH_UP_TIME);
            let is_confirmed = |id| matches!(cluster.checks.answers.get(&id), Some(ProposalResult::Committed { .. }));
            if cluster.has_converged() && (last_proposal + 1..=cluster.last_proposal).any(is_confirmed) {
                result.recovery = cluster.now - start;
                cluster.checks.check_answers();
                return;
            }
        }
        if !result.is_majority_lost && cluster.checks.violations.is_empty() {
            cluster.checks.report_no_progress(Violation::NoProgress);
        }
    }
}

fn is_confirmed_after(cluster: &Cluster, last_proposal: u64) -> bool {
    let is_confirmed = |id| matches!(cluster.checks.answers.get(&id), Some(ProposalResult::Committed { .. }));
    (last_proposal + 1..=cluster.last_proposal).any(is_confirmed)
}
