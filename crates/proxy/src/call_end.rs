//! What a caller is told at the end of its call.

use {
    crate::{
        caller::CallerError, claims::ClaimDecision, exchange::RecordedResponse, pending_decision::PendingDecision,
        reply::Reply, saved_response::SavedResponse,
    },
    hemlockford_core::outcome::{NotRunReason, Outcome, UnknownReason},
    std::time::Duration,
};

/// How a call ended.
pub(crate) enum CallEnd {
    /// A server's answer was passed on.
    Answered(RecordedResponse),
    /// A server's error was kept, and no better answer can be had.
    SavedError(SavedResponse),
    Outcome(Outcome, Duration),
    Reply(Reply),
    Truncated,
    CallerFailed(CallerError),
}

/// Why an attempt has no end of its own.
pub(crate) enum NextStep {
    /// The dispatcher has been asked what to do next.
    AwaitDecision(PendingDecision),
    /// The call has ended.
    EndCall(CallEnd),
}

/// Returns what a caller is told whose claim was not granted.
pub(crate) fn of_refused_claim(refused: ClaimDecision, retry_after: Duration) -> CallEnd {
    match refused {
        ClaimDecision::Replay { status, content_type, body } => CallEnd::Reply(Reply {
            status,
            outcome: Outcome::Answered,
            retry_after: None,
            repeat_protection: Some(if body.is_some() { "replayed" } else { "replayed; body not recorded" }),
            content_type,
            body: body.unwrap_or_default(),
        }),
        ClaimDecision::InDoubt => CallEnd::Outcome(Outcome::Unknown(UnknownReason::InDoubt), retry_after),
        ClaimDecision::KeyReused => CallEnd::Outcome(Outcome::NotRun(NotRunReason::KeyReused), retry_after),
        ClaimDecision::Unavailable | ClaimDecision::Granted { .. } => {
            CallEnd::Outcome(Outcome::NotRun(NotRunReason::ClaimUnavailable), retry_after)
        }
    }
}
