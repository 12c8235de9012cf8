//! Loans of budget between entries.

use {
    super::{CLOCK_MARGIN, LOAN_DURATION, MeasureCost, PROBE_TIMEOUT, WINDOW},
    crate::ids::{Incarnation, InstanceId},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Loans that an entry takes or gives at a time; a bound of its memory.
const MAX_LOANS: usize = 16;

/// Asks another entry for a part of its budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Incarnation of the borrower, so that it does not take a loan from before its restart.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation.
    pub number: u64,
    /// Amount for each window.
    pub amount: MeasureCost,
}

/// Consents to a loan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// Incarnation of the borrower.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub number: u64,
    /// Amount for each window.
    pub amount: MeasureCost,
}

/// Loans given.
#[derive(Clone, Debug, Default)]
pub(super) struct LoansGiven(Vec<(Instant, MeasureCost)>);

impl LoansGiven {
    /// Notes a loan; returns whether there is room for it.
    pub(super) fn push(&mut self, now: Instant, amount: MeasureCost) -> bool {
        self.0.retain(|(end, _)| now < *end);
        if self.0.len() >= MAX_LOANS {
            return false;
        }
        // The borrower counts from its request, which came before; its last use lapses one window later.
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

/// Loans asked for and taken.
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

    /// Makes a request to an entry, unless one is pending.
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

    /// Takes a loan that was asked for.
    pub(super) fn take(&mut self, now: Instant, from: &str, loan: &Loan) -> bool {
        let matches_request = |pending: &PendingRequest| pending.number == loan.number && &*pending.from == from;
        let Some(place) =
            self.pending.iter().position(matches_request).filter(|_| loan.incarnation == self.incarnation)
        else {
            return false;
        };
        let pending = self.pending.swap_remove(place);
        // What the lender spent before its consent must first have left every window.
        let begin = now + WINDOW + CLOCK_MARGIN;
        let end = pending.requested_at + LOAN_DURATION;
        if begin < end {
            self.taken.push(TakenLoan { begin, end, amount: loan.amount });
        }
        begin < end
    }

    /// Sum of the loans that cover a use which begins now and takes at most `length`.
    pub(super) fn sum(&self, now: Instant, duration: Duration) -> MeasureCost {
        debug_assert!(duration <= PROBE_TIMEOUT);
        let valid = self.taken.iter().filter(|taken| taken.begin <= now && now + duration <= taken.end);
        valid.fold(MeasureCost::default(), |sum, taken| sum.plus(taken.amount))
    }
}
