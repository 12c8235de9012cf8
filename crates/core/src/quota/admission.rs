//! Decision on the admission of a call.

use {super::CreditTicket, std::time::Duration};

/// Decision on the admission of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The customer has no limit.
    Unlimited,
    /// The call is admitted and has taken credit.
    Admitted(CreditTicket),
    /// There is no credit now, but it is asked for at once.
    Wait,
    /// The call is refused.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// Time until credit for it may be expected.
        retry_after: Duration,
    },
}

/// Why a call got no credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// The customer exceeds its rate.
    Limit,
    /// The leader did not lend credit in time.
    NoAnswer,
    /// This entry is cut off from the leader and has used up its own part of the rate.
    CutOff,
}
