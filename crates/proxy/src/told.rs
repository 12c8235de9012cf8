//! What a caller is told at the end of its call.

use {
    crate::{
        caller::Gone, claims::ClaimDecision, exchange::Recorded, kept::KeptAnswer, reply::Reply, waiting::Waiting,
    },
    hemlockford_core::outcome::{NotRunReason, Outcome, UnknownReason},
    std::time::Duration,
};

/// How a call ended.
pub(crate) enum Told {
    /// A server's answer was passed on.
    Answer(Recorded),
    /// A server's error was kept, and no better answer can be had.
    Kept(KeptAnswer),
    Outcome(Outcome, Duration),
    Reply(Reply),
    CutOff,
    Gone(Gone),
}

/// Why an attempt has no end of its own.
pub(crate) enum Unsent {
    /// The dispatcher has been asked what to do next.
    Asked(Waiting),
    /// The call has ended.
    Told(Told),
}

/// Returns what a caller is told whose claim was not granted.
pub(crate) fn refuse(refused: ClaimDecision, retry_after: Duration) -> Told {
    match refused {
        ClaimDecision::Replay { status, content_type, body } => Told::Reply(Reply {
            status,
            outcome: Outcome::Answered,
            retry_after: None,
            once: Some(if body.is_some() { "replayed" } else { "replayed; body not recorded" }),
            content_type,
            body: body.unwrap_or_default(),
        }),
        ClaimDecision::InDoubt => Told::Outcome(Outcome::Unknown(UnknownReason::InDoubt), retry_after),
        ClaimDecision::KeyReused => Told::Outcome(Outcome::NotRun(NotRunReason::KeyReused), retry_after),
        ClaimDecision::Unavailable | ClaimDecision::Granted { .. } => {
            Told::Outcome(Outcome::NotRun(NotRunReason::ClaimUnavailable), retry_after)
        }
    }
}
