//! The invariants, checked every 50 ms of scenario time.

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

/// Time after a server's last word for which it may still get new work (P5).
const LEAVE_LIMIT_MS: u64 = 3_000;

/// What was promised, to be compared with what is the case.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// Accepted changes with their digests and the times at which the operator was told.
    accepted: BTreeMap<ChangeNumber, (ContentDigest, Instant)>,
    /// Winners by number, as any ledger or answer named them.
    winners: BTreeMap<ChangeNumber, ContentDigest>,
    /// Attempts that may have sent, by key, with the ends of their retention.
    holders: BTreeMap<ClaimKey, (Holder, Instant)>,
}

impl Checks {
    /// Returns the highest change of which an operator was told that it is accepted.
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
                self.winner(*number, *digest)
            }
            Answer::Submit { answer: SubmitAnswer::Conflict { number, winner }, .. } => self.winner(*number, *winner),
            Answer::Claim { answer: ClaimAnswer::Granted { holder, .. }, .. } => {
                let Some(key) = key else { return Err("claim granted that nobody asked for".into()) };
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

    /// Takes the news that an attempt was given up without sending.
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
                return Err(format!("{}: installed {} after {}", node.id, control.installed(), node.installed));
            }
            node.installed = control.installed();
            if let Some(ledger) = control.ledger()
                && let Some(digest) = ledger.change_digest(ledger.change_number())
            {
                self.winner(ledger.change_number(), digest).map_err(|e| format!("{}: {e}", node.id))?;
            }
            if let Some(source) = control.configuration_source() {
                let digest = ContentDigest::of(source.as_bytes());
                self.winner(control.installed(), digest).map_err(|e| format!("{}: {e}", node.id))?;
            }
            // The process is judged also while it is frozen: the rule holds at the time of use.
            if control.may_serve(now).is_ok() {
                if control.installed() < node.served {
                    return Err(format!("{}: serves under {} after {}", node.id, control.installed(), node.served));
                }
                node.served = control.installed();
                let newer =
                    self.accepted.range(control.installed() + 1..).find(|(_, (_, at))| now > *at + FRESHNESS_WINDOW);
                if let Some((number, (_, at))) = newer {
                    let since = (now - *at).as_millis();
                    return Err(format!(
                        "{}: serves under {} {since} ms after {number} was accepted",
                        node.id,
                        control.installed()
                    ));
                }
            }
            for server in servers {
                let Some(quiet) = server.silent_since.filter(|quiet| now_ms > quiet + LEAVE_LIMIT_MS) else { continue };
                let views = control.registry().views(now, &server.service);
                if views.iter().any(|view| view.id == server.id) {
                    return Err(format!("{}: {} is usable {} ms after it left", node.id, server.id, now_ms - quiet));
                }
            }
        }
        Ok(())
    }

    /// Checks at the end, with every instance up and every link healed, that nothing confirmed was lost.
    pub(super) fn check_final(&self, nodes: &[Node]) -> Result<(), String> {
        let highest = self.highest_accepted();
        for node in nodes.iter().filter(|node| node.is_up()) {
            let Some(control) = &node.control else { continue };
            if control.installed() < highest {
                return Err(format!("{}: installed {} of {highest} accepted", node.id, control.installed()));
            }
            let Some(ledger) = control.ledger() else { continue };
            for (number, (digest, _)) in &self.accepted {
                if ledger.change_digest(*number) != Some(*digest) {
                    return Err(format!("{}: ledger does not hold accepted change {number}", node.id));
                }
            }
        }
        Ok(())
    }

    fn winner(&mut self, number: ChangeNumber, digest: ContentDigest) -> Result<(), String> {
        let winner = *self.winners.entry(number).or_insert(digest);
        match winner == digest {
            true => Ok(()),
            false => Err(format!("two texts won number {number}")),
        }
    }
}
