//! Requests of this instance that are forwarded to the leader.

use {
    super::{
        Answer, CLAIM_VALIDITY, ClaimAnswer, Reply, Request, RequestId, SubmitAnswer,
        pending::{Pending, Waiter},
    },
    crate::{
        collections::FastMap,
        ids::{ChangeNumber, Incarnation, InstanceId},
        ledger::{
            ClaimKey, ClaimOutcome, ContentDigest, Holder, LedgerOutcome, ReleaseOutcome, SettleOutcome,
            SettledOutcome, SubmitOutcome,
        },
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Maximum number of pending requests.
const MAX_PENDING: usize = 8_192;

/// Time for which a response or a release is resent until it is recorded. After that the claim stays in doubt until
/// its retention ends.
const RECORD_TIMEOUT: Duration = Duration::from_secs(60);

/// Results of handling replies and timeouts.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestResults {
    pub(super) answers: Vec<Answer>,
    /// Highest accepted change, queried after the start of this process.
    pub(super) current: Option<ChangeNumber>,
}

/// Requests of this instance that are forwarded to the leader.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequests {
    id: InstanceId,
    incarnation: Incarnation,
    next_sequence: u64,
    next_key: u64,
    next_attempt: u64,
    pending: BTreeMap<u64, Pending>,
    /// Keys of the requests by the sequence numbers of the messages that carried them.
    keys_by_sequence: FastMap<u64, u64>,
}

impl OutgoingRequests {
    pub(super) fn new(id: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            id,
            incarnation,
            next_sequence: 0,
            next_key: 0,
            next_attempt: 0,
            pending: BTreeMap::new(),
            keys_by_sequence: FastMap::default(),
        }
    }

    /// Returns the key of the next request.
    pub(super) fn next_key(&self) -> u64 {
        self.next_key + 1
    }

    /// Queries the highest accepted change until [`Self::stop_current_query`].
    pub(super) fn start_current_query(&mut self, now: Instant) {
        self.add(Pending::new(now, Request::Current, Waiter::Current, None));
    }

    /// Stops querying the highest accepted change.
    pub(super) fn stop_current_query(&mut self) {
        let is_current = |pending: &Pending| matches!(pending.waiter, Waiter::Current);
        let keys: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| is_current(pending)).map(|(key, _)| *key).collect();
        for key in keys {
            self.remove(key);
        }
    }

    pub(super) fn submit(
        &mut self,
        now: Instant,
        request: u64,
        number: ChangeNumber,
        text: Box<str>,
        timeout: Duration,
        results: &mut RequestResults,
    ) {
        if self.pending.len() >= MAX_PENDING {
            results.answers.push(Answer::Submit { request, answer: SubmitAnswer::NotAccepted });
            return;
        }
        let waiter = Waiter::Submit { request, number };
        self.add(Pending::new(now, Request::Submit { number, text }, waiter, Some(now + timeout)));
    }

    pub(super) fn claim(
        &mut self,
        now: Instant,
        request: u64,
        key: ClaimKey,
        request_digest: ContentDigest,
        deadline: Instant,
        results: &mut RequestResults,
    ) {
        let answer = match key.is_valid() {
            false => Some(ClaimAnswer::Invalid),
            true => (self.pending.len() >= MAX_PENDING).then_some(ClaimAnswer::NotRecorded),
        };
        if let Some(answer) = answer {
            results.answers.push(Answer::Claim { request, answer });
            return;
        }
        self.next_attempt += 1;
        let holder = Holder { instance: self.id.clone(), incarnation: self.incarnation, sequence: self.next_attempt };
        let waiter = Waiter::Claim { request, key: key.clone(), holder: holder.clone() };
        let deadline = deadline.min(now + CLAIM_VALIDITY);
        self.add(Pending::new(now, Request::Claim { key, holder, request_digest }, waiter, Some(deadline)));
    }

    pub(super) fn settle(&mut self, now: Instant, key: ClaimKey, holder: Holder, outcome: SettledOutcome) {
        let request = Request::Settle { key, holder, outcome };
        self.add(Pending::new(now, request, Waiter::Settle, Some(now + RECORD_TIMEOUT)));
    }

    pub(super) fn release(&mut self, now: Instant, key: ClaimKey, holder: Holder) {
        let request = Request::Release { key, holder };
        self.add(Pending::new(now, request, Waiter::Release, Some(now + RECORD_TIMEOUT)));
    }

    /// Returns the messages that are due, for the requests with keys of at least `first`.
    pub(super) fn take_due(&mut self, now: Instant, leader: &InstanceId, first: u64) -> Vec<(RequestId, Request)> {
        let mut due = Vec::new();
        for (key, pending) in self.pending.range_mut(first..) {
            if pending.is_expired(now) || !pending.is_due(now, leader) {
                continue;
            }
            self.next_sequence += 1;
            pending.record_send(now, leader, self.next_sequence);
            self.keys_by_sequence.insert(self.next_sequence, *key);
            let id = RequestId { incarnation: self.incarnation, sequence: self.next_sequence };
            due.push((id, pending.request.clone()));
        }
        due
    }

    /// Abandons the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Instant, results: &mut RequestResults) {
        let expired: Vec<u64> =
            self.pending.iter().filter(|(_, pending)| pending.is_expired(now)).map(|(key, _)| *key).collect();
        for key in expired {
            let Some(pending) = self.remove(key) else { continue };
            match pending.waiter {
                Waiter::Submit { request, .. } => {
                    let is_certain = pending.unresolved_sequences.is_empty();
                    let answer = if is_certain { SubmitAnswer::NotAccepted } else { SubmitAnswer::Unknown };
                    results.answers.push(Answer::Submit { request, answer });
                }
                Waiter::Claim { request, key, holder } => {
                    results.answers.push(Answer::Claim { request, answer: ClaimAnswer::NotRecorded });
                    if !pending.unresolved_sequences.is_empty() {
                        self.release(now, key, holder);
                    }
                }
                Waiter::Current | Waiter::Settle | Waiter::Release => {}
            }
        }
    }

    /// Handles a reply.
    pub(super) fn reply(&mut self, now: Instant, id: RequestId, reply: Reply, results: &mut RequestResults) {
        if id.incarnation != self.incarnation {
            return;
        }
        let Some(key) = self.keys_by_sequence.get(&id.sequence).copied() else { return };
        let Some(pending) = self.pending.get_mut(&key) else { return };
        // A suspended process may receive a reply long after it arrived; its request expires first.
        if pending.is_expired(now) {
            return self.expire(now, results);
        }
        match reply {
            Reply::NotLeader { .. } | Reply::Refused => pending.record_rejection(now, id.sequence),
            Reply::Unknown => pending.next_send_at = now,
            Reply::Accepted { digest, everywhere } => {
                if let Waiter::Submit { request, number } = pending.waiter {
                    let answer = SubmitAnswer::Accepted { number, digest, everywhere };
                    results.answers.push(Answer::Submit { request, answer });
                    self.remove(key);
                }
            }
            Reply::Outcome(outcome) => self.outcome(now, key, outcome, results),
        }
    }

    fn outcome(&mut self, now: Instant, key: u64, outcome: LedgerOutcome, results: &mut RequestResults) {
        let Some(pending) = self.pending.get(&key) else { return };
        let started = pending.started;
        match (pending.waiter.clone(), outcome) {
            (Waiter::Current, LedgerOutcome::Current(number)) => results.current = Some(number),
            (Waiter::Submit { request, number }, LedgerOutcome::Submit(outcome)) => {
                let answer = match outcome {
                    // `Reply::Accepted` follows once the install quorum is reached.
                    SubmitOutcome::Accepted { .. } => return,
                    SubmitOutcome::Conflict { winner } => SubmitAnswer::Conflict { number, winner },
                    SubmitOutcome::Superseded { current } => SubmitAnswer::Superseded { current },
                };
                results.answers.push(Answer::Submit { request, answer });
            }
            (Waiter::Claim { request, key, holder }, LedgerOutcome::Claim(outcome)) => {
                let is_granted = outcome == ClaimOutcome::Granted;
                if !is_granted && pending.unresolved_sequences.len() > 1 {
                    // Another copy of the claim may still be in transit and would hold the key without being used.
                    self.release(now, key, holder.clone());
                }
                let answer = match outcome {
                    ClaimOutcome::Granted => ClaimAnswer::Granted { holder, send_before: started + CLAIM_VALIDITY },
                    ClaimOutcome::Settled(outcome) => ClaimAnswer::Settled(outcome),
                    ClaimOutcome::InDoubt => ClaimAnswer::InDoubt,
                    ClaimOutcome::KeyReused => ClaimAnswer::KeyReused,
                    ClaimOutcome::Invalid => ClaimAnswer::Invalid,
                    ClaimOutcome::Released | ClaimOutcome::Full => ClaimAnswer::NotRecorded,
                };
                results.answers.push(Answer::Claim { request, answer });
            }
            (Waiter::Settle, LedgerOutcome::Settle(SettleOutcome::Recorded | SettleOutcome::NotHeld)) => {}
            (Waiter::Release, LedgerOutcome::Release(ReleaseOutcome::Released | ReleaseOutcome::Settled)) => {}
            _ => return,
        }
        self.remove(key);
    }

    fn add(&mut self, pending: Pending) {
        self.next_key += 1;
        if self.pending.len() >= 2 * MAX_PENDING {
            return;
        }
        self.pending.insert(self.next_key, pending);
    }

    fn remove(&mut self, key: u64) -> Option<Pending> {
        let pending = self.pending.remove(&key)?;
        for sequence in &pending.sent_sequences {
            self.keys_by_sequence.remove(sequence);
        }
        Some(pending)
    }
}
