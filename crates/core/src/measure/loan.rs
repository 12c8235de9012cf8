//! Loans of budget between entries.

use {
    super::{CLOCK_MARGIN, LOAN_LENGTH, MeasureCost, PROBE_TIMEOUT, WINDOW},
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
pub(super) struct Lent(Vec<(Instant, MeasureCost)>);

impl Lent {
    /// Notes a loan; returns whether there is room for it.
    pub(super) fn push(&mut self, now: Instant, amount: MeasureCost) -> bool {
        self.0.retain(|(end, _)| now < *end);
        if self.0.len() >= MAX_LOANS {
            return false;
        }
        // The borrower counts from its request, which came before; its last use lapses one window later.
        self.0.push((now + LOAN_LENGTH + WINDOW + CLOCK_MARGIN, amount));
        true
    }

    pub(super) fn sum(&self, now: Instant) -> MeasureCost {
        let valid = self.0.iter().filter(|(end, _)| now < *end);
        valid.fold(MeasureCost::default(), |sum, (_, amount)| sum.plus(*amount))
    }
}

#[derive(Clone, Debug)]
struct Pending {
    number: u64,
    from: InstanceId,
    asked: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Taken {
    begin: Instant,
    end: Instant,
    amount: MeasureCost,
}

/// Loans asked for and taken.
#[derive(Clone, Debug)]
pub(super) struct Borrowed {
    incarnation: Incarnation,
    last_number: u64,
    pending: Vec<Pending>,
    taken: Vec<Taken>,
}

impl Borrowed {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, last_number: 0, pending: Vec::new(), taken: Vec::new() }
    }

    /// Makes a request to an entry, unless one is pending.
    pub(super) fn request(&mut self, now: Instant, from: &str, amount: MeasureCost) -> Option<LoanRequest> {
        self.pending.retain(|pending| now < pending.asked + LOAN_LENGTH);
        self.taken.retain(|taken| now < taken.end);
        let is_pending = self.pending.iter().any(|pending| &*pending.from == from);
        if is_pending || self.pending.len() + self.taken.len() >= MAX_LOANS {
            return None;
        }
        self.last_number += 1;
        self.pending.push(Pending { number: self.last_number, from: from.into(), asked: now });
        Some(LoanRequest { incarnation: self.incarnation, number: self.last_number, amount })
    }

    /// Takes a loan that was asked for.
    pub(super) fn take(&mut self, now: Instant, from: &str, loan: &Loan) -> bool {
        let is_asked = |pending: &Pending| pending.number == loan.number && &*pending.from == from;
        let Some(place) = self.pending.iter().position(is_asked).filter(|_| loan.incarnation == self.incarnation)
        else {
            return false;
        };
        let pending = self.pending.swap_remove(place);
        // What the lender spent before its consent must first have left every window.
        let begin = now + WINDOW + CLOCK_MARGIN;
        let end = pending.asked + LOAN_LENGTH;
        if begin < end {
            self.taken.push(Taken { begin, end, amount: loan.amount });
        }
        begin < end
    }

    /// Sum of the loans that cover a use which begins now and takes at most `length`.
    pub(super) fn sum(&self, now: Instant, length: Duration) -> MeasureCost {
        debug_assert!(length <= PROBE_TIMEOUT);
        let valid = self.taken.iter().filter(|taken| taken.begin <= now && now + length <= taken.end);
        valid.fold(MeasureCost::default(), |sum, taken| sum.plus(taken.amount))
    }
}
