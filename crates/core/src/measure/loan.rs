//! Loans of measuring budget between entries.

use {
    super::{CLOCK_MARGIN, LOAN_DURATION, MeasureCost, PROBE_TIMEOUT, WINDOW},
    crate::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Maximum number of loans that an entry gives or takes at a time, which bounds its memory.
const MAX_LOANS: usize = 16;

/// Requests a part of another entry's budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Incarnation of the borrower, so that it does not accept a loan that it requested before a restart.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation.
    pub number: u64,
    /// Amount per window.
    pub amount: MeasureCost,
}

/// Grants a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Incarnation of the borrower.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub number: u64,
    /// Amount per window.
    pub amount: MeasureCost,
}

/// Loans to other entries.
#[derive(Clone, Debug, Default)]
pub(super) struct LoansGiven(Vec<(Instant, MeasureCost)>);

impl LoansGiven {
    /// Records a loan; returns whether there is room for it.
    pub(super) fn push(&mut self, now: Instant, amount: MeasureCost) -> bool {
        self.0.retain(|(end, _)| now < *end);
        if self.0.len() >= MAX_LOANS {
            return false;
        }
        // For the borrower the loan ends earlier, because it counts from the request. Its last use leaves the
        // window one window length later.
        self.0.push((now + LOAN_DURATION + WINDOW + CLOCK_MARGIN, amount));
        true
    }

    pub(super) fn sum(&self, now: Instant) -> MeasureCost {
        let valid = self.0.iter().filter(|(end, _)| now < *end);
        valid.fold(MeasureCost::default(), |sum, (_, amount)| sum.plus(*amount))
    }
}

#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    from: InstanceId,
    requested_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct TakenLoan {
    begin: Instant,
    end: Instant,
    amount: MeasureCost,
}

/// Loans requested from other entries and granted by them.
#[derive(Clone, Debug)]
pub(super) struct LoansTaken {
    incarnation: Incarnation,
    last_number: u64,
    pending: Vec<PendingRequest>,
    taken: Vec<TakenLoan>,
}

impl LoansTaken {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, last_number: 0, pending: Vec::new(), taken: Vec::new() }
    }

    /// Creates a request to an entry, unless one is pending.
    pub(super) fn request(&mut self, now: Instant, from: &str, amount: MeasureCost) -> Option<LoanRequest> {
        self.pending.retain(|pending| now < pending.requested_at + LOAN_DURATION);
        self.taken.retain(|taken| now < taken.end);
        let is_pending = self.pending.iter().any(|pending| &*pending.from == from);
        if is_pending || self.pending.len() + self.taken.len() >= MAX_LOANS {
            return None;
        }
        self.last_number += 1;
        self.pending.push(PendingRequest { number: self.last_number, from: from.into(), requested_at: now });
        Some(LoanRequest { incarnation: self.incarnation, number: self.last_number, amount })
    }

    /// Accepts a loan that was requested.
    pub(super) fn take(&mut self, now: Instant, from: &str, loan: &Loan) -> bool {
        let matches_request = |pending: &PendingRequest| pending.number == loan.number && &*pending.from == from;
        let Some(place) =
            self.pending.iter().position(matches_request).filter(|_| loan.incarnation == self.incarnation)
        else {
            return false;
        };
        let pending = self.pending.swap_remove(place);
        // What the lender spent before it granted the loan must first have left every window.
        let begin = now + WINDOW + CLOCK_MARGIN;
        let end = pending.requested_at + LOAN_DURATION;
        if begin < end {
            self.taken.push(TakenLoan { begin, end, amount: loan.amount });
        }
        begin < end
    }

    /// Returns the sum of the loans that cover a use that starts now and takes at most `duration`.
    pub(super) fn sum(&self, now: Instant, duration: Duration) -> MeasureCost {
        debug_assert!(duration <= PROBE_TIMEOUT);
        let valid = self.taken.iter().filter(|taken| taken.begin <= now && now + duration <= taken.end);
        valid.fold(MeasureCost::default(), |sum, taken| sum.plus(taken.amount))
    }
}
