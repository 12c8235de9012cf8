//! How a call ends and what the caller receives.

use {
    crate::{
        caller::CallerError, claims::ClaimDecision, pending_decision::PendingDecision,
        recorded_response::RecordedResponse, reply::Reply, saved_response::SavedResponse,
    },
    hemlockford_core::outcome::{NotRunReason, Outcome, UnknownReason},
    std::time::Duration,
};

/// How a call ended.
pub(crate) enum CallEnd {
    /// The response of a server was forwarded.
    Answered(RecordedResponse),
    /// The saved error response of a server is forwarded, because no better response is available. If the rest of its body
    /// does not arrive, the call ends with the outcome.
    SavedError(Box<SavedResponse>, Outcome, Duration),
    Outcome(Outcome, Duration),
    Reply(Reply),
    Truncated,
    CallerFailed(CallerError),
}

/// How a call continues after an attempt that did not complete an exchange.
pub(crate) enum NextStep {
    /// The dispatcher has been asked what to do next.
    AwaitDecision(PendingDecision),
    /// The call has ended.
    EndCall(CallEnd),
}

/// Returns the end of a call whose claim was not granted.
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
