//! Stands in for the replicated log until it is merged.

use {
    crate::consensus::{ConsensusAction, ConsensusEvent, ConsensusOptions, Recovered},
    rand::rngs::SmallRng,
    std::time::Instant,
};

pub(super) struct Consensus;

impl Consensus {
    pub(super) fn new(_: ConsensusOptions, _: Recovered, _: Instant, _: SmallRng) -> Self {
        Self
    }

    pub(super) fn handle(&mut self, _: Instant, _: ConsensusEvent, _: &mut Vec<ConsensusAction>) {}
}
