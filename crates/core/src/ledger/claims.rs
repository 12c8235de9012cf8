//! The claims in the ledger.

use {
    super::{
        ClaimKey, ClaimOutcome, ContentDigest, Holder, ReleaseOutcome, SettleOutcome, SettledOutcome, claim::Claim,
        releases::Releases,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum number of claims. Further requests with idempotency keys are rejected without being sent.
pub const MAX_CLAIMS: usize = 32_768;

/// Minimum retention of a claim, regardless of the configuration: longer than the time between the proposal of an
/// attempt and its last delayed duplicates.
pub const MIN_RETENTION_MS: u64 = 60_000;

/// Maximum total size of recorded bodies. Beyond it, responses are recorded without bodies, which keeps the control
/// plane of an instance within its 32 MB.
const MAX_BODIES_BYTES: usize = 8 << 20;

/// The claims in the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claims {
    claims: BTreeMap<ClaimKey, Claim>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    bodies_bytes: usize,
    releases: Releases,
}

impl Claims {
    pub(super) fn len(&self) -> usize {
        self.claims.len()
    }

    pub(super) fn holder(&self, key: &ClaimKey) -> Option<&Holder> {
        self.claims.get(key).map(|claim| &claim.holder)
    }

    pub(super) fn claim(
        &mut self,
        clock: u64,
        key: ClaimKey,
        holder: Holder,
        request_digest: ContentDigest,
        retention_ms: u64,
    ) -> ClaimOutcome {
        if !key.is_valid() {
            return ClaimOutcome::Invalid;
        }
        if let Some(claim) = self.claims.get(&key) {
            return match &claim.outcome {
                _ if claim.request_digest != request_digest => ClaimOutcome::KeyReused,
                Some(outcome) => ClaimOutcome::Settled(outcome.clone()),
                // This is a duplicate of the command.
                None if claim.holder == holder => ClaimOutcome::Granted,
                None => ClaimOutcome::InDoubt,
            };
        }
        if self.releases.contains(&holder) {
            return ClaimOutcome::Released;
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        let retention_ms = retention_ms.max(MIN_RETENTION_MS);
        let expires_ms = clock.saturating_add(retention_ms);
        self.expiry.insert((expires_ms, key.clone()));
        self.claims.insert(key, Claim { holder, request_digest, retention_ms, expires_ms, outcome: None });
        ClaimOutcome::Granted
    }

    pub(super) fn settle(
        &mut self,
        clock: u64,
        key: &ClaimKey,
        holder: &Holder,
        mut outcome: SettledOutcome,
    ) -> SettleOutcome {
        let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.holder == *holder) else {
            return SettleOutcome::NotHeld;
        };
        if claim.outcome.is_some() {
            return SettleOutcome::Recorded;
        }
        if self.bodies_bytes + outcome.body.len() > MAX_BODIES_BYTES {
            outcome.is_truncated |= !outcome.body.is_empty();
            outcome.body = Box::default();
        }
        self.bodies_bytes += outcome.body.len();
        claim.outcome = Some(outcome);
        self.expiry.remove(&(claim.expires_ms, key.clone()));
        claim.expires_ms = clock.saturating_add(claim.retention_ms);
        self.expiry.insert((claim.expires_ms, key.clone()));
        SettleOutcome::Recorded
    }

    pub(super) fn release(&mut self, clock: u64, key: &ClaimKey, holder: Holder) -> ReleaseOutcome {
        if let Some(claim) = self.claims.get(key).filter(|claim| claim.holder == holder) {
            if claim.outcome.is_some() {
                return ReleaseOutcome::Settled;
            }
            self.expiry.remove(&(claim.expires_ms, key.clone()));
            self.claims.remove(key);
        }
        self.releases.add(clock, holder);
        ReleaseOutcome::Released
    }

    pub(super) fn prune(&mut self, clock: u64) {
        while let Some((_, key)) = self.expiry.first().filter(|(expires, _)| *expires <= clock) {
            if let Some(outcome) = self.claims.remove(key).and_then(|claim| claim.outcome) {
                self.bodies_bytes -= outcome.body.len();
            }
            self.expiry.pop_first();
        }
        self.releases.prune(clock);
    }
}
