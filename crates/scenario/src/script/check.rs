//! Invariants of the control plane, checked every 50 ms of simulated time.

use {
    super::{Node, Server},
    hemlockford_core::{
        control::{Answer, ClaimAnswer, SubmitAnswer},
        freshness::FRESHNESS_WINDOW,
        ids::ChangeNumber,
        ledger::{ClaimKey, ContentDigest, Holder},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time after a server has left or stopped announcing itself during which entries may still send it new calls.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// Records what clients and operators were told, and compares it with the state of the instances.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// Accepted changes with their digests and the times at which the operator was notified.
    accepted: BTreeMap<ChangeNumber, (ContentDigest, Instant)>,
    /// Digest of the accepted content of each change number, as seen in any ledger or answer.
    accepted_digests: BTreeMap<ChangeNumber, ContentDigest>,
    /// Holders that may have sent their request, by claim key, with the end of the retention time.
    holders: BTreeMap<ClaimKey, (Holder, Instant)>,
}

impl Checks {
    /// Returns the highest change that was reported to an operator as accepted.
    pub fn highest_accepted(&self) -> ChangeNumber {
        self.accepted.keys().last().copied().unwrap_or(0)
    }

    pub(super) fn check_answer(
        &mut self,
        now: Instant,
        answer: &Answer,
        key: Option<&ClaimKey>,
        retention: Duration,
    ) -> Result<(), String> {
        match answer {
            Answer::Submit { answer: SubmitAnswer::Accepted { number, digest, .. }, .. } => {
                self.accepted.entry(*number).or_insert((*digest, now));
                self.check_accepted_digest(*number, *digest)
            }
            Answer::Submit { answer: SubmitAnswer::Conflict { number, winner }, .. } => {
                self.check_accepted_digest(*number, *winner)
            }
            Answer::Claim { answer: ClaimAnswer::Granted { holder, .. }, .. } => {
                let Some(key) = key else { return Err("claim granted without a request".into()) };
                match self.holders.get(key) {
                    Some((other, until)) if now < *until => {
                        Err(format!("claim {} granted to {holder:?} and {other:?}", key.key))
                    }
                    _ => {
                        self.holders.insert(key.clone(), (holder.clone(), now + retention));
                        Ok(())
                    }
                }
            }
            _ => Ok(()),
        }
    }

    /// Records that a claim was released without sending its request.
    pub(super) fn record_release(&mut self, key: &ClaimKey) {
        self.holders.remove(key);
    }

    pub(super) fn check(
        &mut self,
        now: Instant,
        now_ms: u64,
        nodes: &mut [Node],
        servers: &[Server],
    ) -> Result<(), String> {
        for node in nodes {
            let Some(control) = &node.control else { continue };
            if control.installed() < node.installed {
                return Err(format!(
                    "{}: installed change {} after change {}",
                    node.id,
                    control.installed(),
                    node.installed
                ));
            }
            node.installed = control.installed();
            if let Some(ledger) = control.ledger()
                && let Some(digest) = ledger.change_digest(ledger.change_number())
            {
                self.check_accepted_digest(ledger.change_number(), digest).map_err(|e| format!("{}: {e}", node.id))?;
            }
            if let Some(source) = control.configuration_source() {
                let digest = ContentDigest::of(source.as_bytes());
                self.check_accepted_digest(control.installed(), digest).map_err(|e| format!("{}: {e}", node.id))?;
            }
            // A frozen process is checked too: whether it may serve is evaluated at the time of use.
            if control.may_serve(now).is_ok() {
                if control.installed() < node.served {
                    return Err(format!(
                        "{}: serves with change {} after change {}",
                        node.id,
                        control.installed(),
                        node.served
                    ));
                }
                node.served = control.installed();
                let newer =
                    self.accepted.range(control.installed() + 1..).find(|(_, (_, at))| now > *at + FRESHNESS_WINDOW);
                if let Some((number, (_, at))) = newer {
                    let since = (now - *at).as_millis();
                    return Err(format!(
                        "{}: serves with change {} {since} ms after change {number} was accepted",
                        node.id,
                        control.installed()
                    ));
                }
            }
            for server in servers {
                let Some(left) = server.silent_since.filter(|left| now_ms > left + LEAVE_LIMIT_MS) else { continue };
                let views = control.registry().views(now, &server.service);
                if views.iter().any(|view| view.id == server.id) {
                    return Err(format!(
                        "{}: server {} is usable {} ms after it left",
                        node.id,
                        server.id,
                        now_ms - left
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that no accepted change was lost. Every instance must be running and every link restored.
    pub(super) fn check_final(&self, nodes: &[Node]) -> Result<(), String> {
        let highest = self.highest_accepted();
        for node in nodes.iter().filter(|node| node.is_up()) {
            let Some(control) = &node.control else { continue };
            if control.installed() < highest {
                return Err(format!(
                    "{}: installed change {}, but change {highest} was accepted",
                    node.id,
                    control.installed()
                ));
            }
            let Some(ledger) = control.ledger() else { continue };
            for (number, (digest, _)) in &self.accepted {
                if ledger.change_digest(*number) != Some(*digest) {
                    return Err(format!("{}: ledger does not contain accepted change {number}", node.id));
                }
            }
        }
        Ok(())
    }

    fn check_accepted_digest(&mut self, number: ChangeNumber, digest: ContentDigest) -> Result<(), String> {
        let accepted = *self.accepted_digests.entry(number).or_insert(digest);
        match accepted == digest {
            true => Ok(()),
            false => Err(format!("two different configurations were accepted as change {number}")),
        }
    }
}
