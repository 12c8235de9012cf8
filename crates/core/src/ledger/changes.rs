//! Accepted configuration changes.

use {
    super::{ContentDigest, SubmitOutcome},
    crate::ids::ChangeNumber,
    derive_more::Debug,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Number of accepted changes whose digests are kept: two days at the design target of 4,800 changes a day. A
/// resubmission of an older change is answered as superseded.
pub const MAX_CHANGE_DIGESTS: usize = 9_600;

/// Accepted configuration changes: the text of the last one and the digests of the last [`MAX_CHANGE_DIGESTS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Changes {
    pub(super) number: ChangeNumber,
    #[debug("{} bytes", text.len())]
    pub(super) text: Box<str>,
    digests: BTreeMap<ChangeNumber, ContentDigest>,
}

impl Changes {
    pub(super) fn submit(&mut self, number: ChangeNumber, text: Box<str>) -> SubmitOutcome {
        let digest = ContentDigest::of(text.as_bytes());
        if number > self.number {
            self.number = number;
            self.text = text;
            self.digests.insert(number, digest);
            if self.digests.len() > MAX_CHANGE_DIGESTS {
                self.digests.pop_first();
            }
            return SubmitOutcome::Accepted { digest };
        }
        self.outcome_of_known_number(number, digest)
    }

    /// Outcome of a submission whose number is not above the current one; `None` for a higher number.
    pub(super) fn resubmission_outcome(&self, number: ChangeNumber, digest: ContentDigest) -> Option<SubmitOutcome> {
        (number <= self.number).then(|| self.outcome_of_known_number(number, digest))
    }

    fn outcome_of_known_number(&self, number: ChangeNumber, digest: ContentDigest) -> SubmitOutcome {
        match self.digests.get(&number) {
            Some(winner) if *winner == digest => SubmitOutcome::Accepted { digest },
            Some(winner) => SubmitOutcome::Conflict { winner: *winner },
            None => SubmitOutcome::Superseded { current: self.number },
        }
    }

    pub(super) fn digest(&self, number: ChangeNumber) -> Option<ContentDigest> {
        self.digests.get(&number).copied()
    }
}
