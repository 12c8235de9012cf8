//! What happened on a path, as far as the rules ask for it.

use {
    super::ModelReplica,
    crate::fakes::Violation,
    hemlockford_core::{
        collections::FastHasher,
        consensus::Entry,
        ids::{ChangeNumber, LogIndex, Term},
        ledger::ContentDigest,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{Hash, Hasher},
    },
};

/// What happened on a path, kept apart from the state machines that are checked.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Rules that did not hold.
    pub violations: Vec<Violation>,
    /// Last entry of a change that was acknowledged to anyone.
    pub confirmed: LogIndex,
    leaders: BTreeMap<Term, usize>,
    /// Votes granted: term, candidate and voter.
    votes: BTreeSet<(Term, usize, usize)>,
    /// Entries that folders held when they were lost.
    lost: BTreeSet<(usize, LogIndex, Term)>,
    /// Every committed entry as a hash, with the term of the replica that committed it first.
    committed: BTreeMap<LogIndex, (u64, Term)>,
    /// For each read, the last entry that was acknowledged before it.
    min_read_indexes: BTreeMap<u64, LogIndex>,
    accepted_digests: BTreeMap<ChangeNumber, ContentDigest>,
}

impl Hash for History {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // The winners follow from what is committed.
        (self.confirmed, &self.leaders, &self.votes, &self.lost, &self.committed, &self.min_read_indexes).hash(hasher);
    }
}

fn digest(entry: &Entry) -> u64 {
    let mut hasher = FastHasher::default();
    entry.hash(&mut hasher);
    hasher.finish()
}

impl History {
    /// Notes a rule that did not hold.
    pub fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// A replica grants its vote.
    pub fn record_vote(&mut self, term: Term, candidate: usize, voter: usize) {
        self.votes.insert((term, candidate, voter));
    }

    /// A replica loses its folder.
    pub fn record_lost_folder(&mut self, at: usize, replica: &ModelReplica) {
        let entries = &replica.node.disk.durable.entries;
        self.lost.extend(entries.iter().map(|entry| (at, entry.index, entry.term)));
    }

    /// Whether a folder was lost.
    pub fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Whether a folder that was lost held an entry.
    pub fn was_lost(&self, at: usize, index: LogIndex, term: Term) -> bool {
        self.lost.contains(&(at, index, term))
    }

    /// A replica leads from here on, by the votes of a majority. It must hold everything that was committed in
    /// earlier terms.
    pub fn record_leader(&mut self, at: usize, replica: &ModelReplica, term: Term) {
        if self.leaders.insert(term, at).is_some_and(|leader| leader != at) {
            self.violations.push(Violation::TwoLeaders(term));
        }
        let votes =
            self.votes.iter().filter(|(vote_term, candidate, _)| (*vote_term, *candidate) == (term, at)).count();
        let voters = replica.consensus().map_or(0, |consensus| consensus.voters().count());
        if votes + 1 < voters / 2 + 1 {
            self.violations.push(Violation::LeaderWithoutMajority(term));
        }
        for (index, (committed_digest, committed_in)) in &self.committed {
            if *committed_in < term
                && !replica.covers(*index)
                && replica.entry(*index).map(digest) != Some(*committed_digest)
            {
                return self.violations.push(Violation::LogsDiffer(replica.node.replica.clone(), *index));
            }
        }
    }

    /// Takes what a replica has committed since it was looked at last. Two groups would commit different entries at
    /// one index. The entries that form a group count with the first entry after them: a founder may lose its folder
    /// before it has told anyone of the group, which then has committed nothing.
    pub fn check_committed(&mut self, replica: &mut ModelReplica) {
        let Some(consensus) = replica.consensus() else { return };
        let (commit, term) = (consensus.commit_index(), consensus.term());
        if replica.entry(commit).is_some_and(|entry| entry.term == 0) {
            return;
        }
        for index in replica.last_checked + 1..=commit {
            let Some(entry) = replica.entry(index) else { continue };
            let entry = digest(entry);
            if self.committed.entry(index).or_insert((entry, term)).0 != entry {
                self.report(Violation::LogsDiffer(replica.node.replica.clone(), index));
            }
        }
        replica.last_checked = commit;
    }

    /// A replica has accepted a change.
    pub fn record_accepted(&mut self, number: ChangeNumber, digest: ContentDigest) {
        if *self.accepted_digests.entry(number).or_insert(digest) != digest {
            self.report(Violation::ConflictingChanges(number));
        }
    }

    /// A read arrives at a replica.
    pub fn record_read(&mut self, id: u64) {
        self.min_read_indexes.insert(id, self.confirmed);
    }

    /// A read was answered with the state as of an entry.
    pub fn check_read(&mut self, id: u64, index: LogIndex) {
        if self.min_read_indexes.remove(&id).is_some_and(|floor| index < floor) {
            self.report(Violation::StaleRead(id));
        }
    }
}
