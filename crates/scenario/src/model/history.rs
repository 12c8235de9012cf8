//! Events on a path that the checked properties depend on.

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

/// Events on a path, recorded independently of the state machines under test.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Violated properties.
    pub violations: Vec<Violation>,
    /// Highest index of a change that was acknowledged to a client.
    pub confirmed: LogIndex,
    leaders: BTreeMap<Term, usize>,
    /// Granted votes: term, candidate and voter.
    votes: BTreeSet<(Term, usize, usize)>,
    /// Entries that data folders contained when they were lost.
    lost: BTreeSet<(usize, LogIndex, Term)>,
    /// Hash of every committed entry, with the term of the replica that committed it first.
    committed: BTreeMap<LogIndex, (u64, Term)>,
    /// For each read, the highest index acknowledged when the read started.
    min_read_indexes: BTreeMap<u64, LogIndex>,
    accepted_digests: BTreeMap<ChangeNumber, ContentDigest>,
}

impl Hash for History {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // The accepted digests follow from the committed entries.
        (self.confirmed, &self.leaders, &self.votes, &self.lost, &self.committed, &self.min_read_indexes).hash(hasher);
    }
}

fn digest(entry: &Entry) -> u64 {
    let mut hasher = FastHasher::default();
    entry.hash(&mut hasher);
    hasher.finish()
}

impl History {
    /// Records a violation.
    pub fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Records a granted vote.
    pub fn record_vote(&mut self, term: Term, candidate: usize, voter: usize) {
        self.votes.insert((term, candidate, voter));
    }

    /// Records the entries of a data folder that is about to be lost.
    pub fn record_lost_folder(&mut self, at: usize, replica: &ModelReplica) {
        let entries = &replica.node.disk.durable.entries;
        self.lost.extend(entries.iter().map(|entry| (at, entry.index, entry.term)));
    }

    /// Returns whether a non-empty data folder was lost.
    pub fn has_lost(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Returns whether a lost data folder of the replica contained an entry.
    pub fn was_lost(&self, at: usize, index: LogIndex, term: Term) -> bool {
        self.lost.contains(&(at, index, term))
    }

    /// Records a new leader. It must be the only one in its term, have a majority of votes, and have every entry
    /// committed in earlier terms.
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

    /// Checks the entries that a replica has committed since the last check. Two separate groups would commit different
    /// entries at the same index. The entries that form a group are checked only with the first entry after them: a
    /// founder may lose its data folder before any other replica learns of the group, which then has committed nothing.
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

    /// Records an accepted change and checks that no other content was accepted under its number.
    pub fn record_accepted(&mut self, number: ChangeNumber, digest: ContentDigest) {
        if *self.accepted_digests.entry(number).or_insert(digest) != digest {
            self.report(Violation::ConflictingChanges(number));
        }
    }

    /// Records the start of a read.
    pub fn record_read(&mut self, id: u64) {
        self.min_read_indexes.insert(id, self.confirmed);
    }

    /// Checks a read that was answered with the state at `index`.
    pub fn check_read(&mut self, id: u64, index: LogIndex) {
        if self.min_read_indexes.remove(&id).is_some_and(|min_index| index < min_index) {
            self.report(Violation::StaleRead(id));
        }
    }
}
