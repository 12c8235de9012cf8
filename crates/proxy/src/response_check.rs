//! Checks of the head of a response, before any of it is forwarded.

use {
    crate::{
        attempt::Attempt,
        connection::{Part, ServerReader},
        dialect::RequestIdMatch,
        shared::Shared,
    },
    actix_http::{ResponseHead, StatusCode, header::HeaderValue},
    hemlockford_core::{
        dispatch::{AttemptResult, ServerNotice},
        outcome::NotRunReason,
    },
};

/// Checks whether the head of a server's response belongs to the request and the server has run it, and reports what
/// else the server states.
pub(crate) fn check_response(
    shared: &Shared,
    server: &mut ServerReader,
    attempt: &mut Attempt,
    head: &ResponseHead,
    id: Option<&HeaderValue>,
    is_first_exchange: bool,
) -> Result<(), AttemptResult> {
    let dialect = &shared.options.dialect;
    for notice in dialect.server_notices(head) {
        attempt.report_notice(notice);
        if notice == ServerNotice::Leaving {
            server.close_after();
        }
    }
    let is_not_run = dialect.is_marked_not_run(head);
    let id_match = dialect.match_request_id(head, id);
    attempt.report_limit(shared, head, id_match);
    if id_match != RequestIdMatch::Match {
        // The response belongs to another request. Later responses on this connection cannot be matched either.
        server.close_after();
        // On a connection that was used before, a rejection without an id may be that of a health check, which has
        // none, while the server runs this request.
        let is_shed = is_not_run && id_match == RequestIdMatch::Missing && is_first_exchange;
        return Err(if is_shed { AttemptResult::Shed } else { AttemptResult::BadAnswer });
    }
    attempt.set_load_report(dialect.load_report(head));
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST && dialect.expected_server_header.is_some();
    if is_misdirected || is_not_run {
        // Consumes a body that has arrived, so that the connection can be reused.
        while matches!(server.buffered_part(), Part::Chunk(_)) {}
        return Err(if is_misdirected { AttemptResult::Misdirected } else { AttemptResult::Shed });
    }
    Ok(())
}

/// Returns the result of a call that another entry did not run, from the outcome that it states. Any other response of
/// the entry is final, as it has made all attempts.
pub(crate) fn result_of_relay(outcome: &HeaderValue) -> Option<AttemptResult> {
    let reason = outcome.to_str().ok()?.strip_prefix("not-run; ")?;
    // Yet another entry may serve the call.
    let is_entry_unable = [
        NotRunReason::NoServer,
        NotRunReason::ShuttingDown,
        NotRunReason::ConfigurationNotCurrent,
        NotRunReason::UnknownService,
    ];
    let is_entry_unable = is_entry_unable.iter().any(|unable| *reason == unable.to_string());
    Some(if is_entry_unable { AttemptResult::Misdirected } else { AttemptResult::Shed })
}
