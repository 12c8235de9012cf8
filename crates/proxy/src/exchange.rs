//! One attempt of a call on a connection to a server. The bodies of request and response are transferred
//! concurrently.

use {
    crate::{
        attempt::Attempt,
        body::{Progress, RequestBody},
        caller::CallerError,
        caller_writer::CallerWriter,
        claims::RECORDED_BODY_LIMIT,
        connection::{BufferedBody, Connection, Part, ResponseError, ServerReader},
        counters::ProxyCounters,
        dialect::RequestIdMatch,
        dispatcher::Decision,
        framing::Framing,
        headers,
        options::{BUFFER_LIMIT, BUFFERED_BODY_LIMIT},
        pending_decision::PendingDecision,
        reply,
        request_source::RequestSource,
        saved_response::SavedResponse,
        shared::Shared,
    },
    actix_http::{
        RequestHead, ResponseHead, StatusCode,
        header::{self, HeaderValue},
    },
    actix_rt::time::{sleep, sleep_until, timeout},
    bytes::{Bytes, BytesMut},
    hemlockford_core::{
        dispatch::{AttemptResult, Call, ServerNotice},
        outcome::NotRunReason,
    },
    std::{pin::pin, time::Duration},
    tokio::select,
};

/// Time to wait for the body of a server's error response after a retry is decided. Short bodies arrive with their
/// head.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a chunked response that no request follows is held until it is complete. Servers that write a short
/// response in several parts do so within milliseconds.
const MAX_STREAM_HOLD: Duration = Duration::from_millis(100);

/// Result of an exchange for the caller.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// The complete response was forwarded.
    Complete(RecordedResponse),
    /// A part of the response was forwarded, and the rest cannot be.
    Truncated,
    /// The caller's request cannot be continued.
    CallerFailed(CallerError),
    /// Nothing was sent to the caller; the dispatcher has not been asked how to continue.
    Failed(AttemptResult),
    /// An error response was not forwarded, and the dispatcher has chosen another server. There is no decision if the
    /// deadline has passed.
    Retry(Option<Decision>, SavedResponse),
    /// The response was truncated before anything was sent to the caller, and the dispatcher must not be asked again,
    /// as the attempt was reported already.
    ResponseLost,
    /// The deadline passed before anything was sent to the caller.
    DeadlineExceeded,
}

/// The part of a response to a claimed request that is recorded.
#[derive(Debug)]
pub(crate) struct RecordedResponse {
    pub(crate) status: u16,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Option<Bytes>,
}

/// One exchange.
pub(crate) struct Exchange<'a, 'b> {
    pub(crate) shared: &'a Shared,
    pub(crate) call: &'a Call,
    pub(crate) head: &'a RequestHead,
    pub(crate) id: Option<&'a HeaderValue>,
    pub(crate) body: &'a mut RequestBody,
    pub(crate) reader: &'a mut RequestSource<'b>,
    pub(crate) writer: &'a mut CallerWriter,
    pub(crate) attempt: &'a mut Attempt,
    pub(crate) progress: &'a Progress,
    pub(crate) repeat_protection: Option<&'static str>,
    /// Whether the exchange continues without the caller once the request is written, because its outcome is recorded
    /// for a repeated request.
    pub(crate) continues_without_caller: bool,
    /// Whether the request goes to another entry, which makes the attempts at servers.
    pub(crate) is_relay: bool,
}

enum Forwarded {
    Complete,
    Truncated,
    CallerDisconnected,
}

impl Exchange<'_, '_> {
    /// Sends the request, whose head is encoded already, and forwards the response.
    pub(crate) async fn run(self, connection: &mut Connection) -> ExchangeEnd {
        let is_first_exchange = connection.is_new;
        let Connection { reader: server, writer: server_writer, .. } = connection;
        let (progress, counters) = (self.progress, &self.shared.counters);
        let dialect = &self.shared.options.dialect;
        let continues_without_caller = self.continues_without_caller;
        let may_continue =
            |error| continues_without_caller && progress.is_complete.get() && error == CallerError::Disconnected;
        let mut upload = pin!(self.body.send(self.reader, server_writer, progress, counters));
        let mut deadline = pin!(sleep_until(self.call.deadline.into()));
        let mut caller_left = false;
        let response = {
            let mut response = pin!(server.read_head(&self.head.method, dialect.close_delimited));
            loop {
                // The upload is polled first, so that the request is written before a response is awaited.
                select! {
                    biased;
                    error = &mut upload, if !caller_left => {
                        if !may_continue(error) {
                            self.attempt.finish(AttemptResult::CallerLeft);
                            return ExchangeEnd::CallerFailed(error);
                        }
                        caller_left = true;
                    }
                    response = &mut response => break response,
                    () = &mut deadline => {
                        let has_started = progress.has_started.get();
                        let result = if has_started { AttemptResult::Timeout } else { AttemptResult::CallerLeft };
                        self.attempt.finish(result);
                        return ExchangeEnd::DeadlineExceeded;
                    }
                }
            }
        };
        let (mut head, mut framing) = match response {
            // Whatever the server sent, it cannot have seen the request.
            _ if !progress.has_started.get() => return ExchangeEnd::Failed(AttemptResult::RefusedBeforeWrite),
            Ok(response) => response,
            Err(ResponseError::ConnectionLost) => return ExchangeEnd::Failed(AttemptResult::BrokenAfterWrite),
            Err(ResponseError::Invalid) => return ExchangeEnd::Failed(AttemptResult::BadAnswer),
        };
        if self.is_relay
            && let Some(outcome) = head.headers.remove(headers::OUTCOME).next()
            && let Some(result) = result_of_relay(&outcome)
        {
            while matches!(server.buffered_part(), Part::Chunk(_)) {}
            return ExchangeEnd::Failed(result);
        }
        for notice in dialect.server_notices(&head).filter(|_| !self.is_relay) {
            self.attempt.report_notice(notice);
            if notice == ServerNotice::Leaving {
                server.close_after();
            }
        }
        let is_not_run = dialect.is_marked_not_run(&head) && !self.is_relay;
        let id_match = dialect.match_request_id(&head, self.id);
        if !self.is_relay {
            self.attempt.report_limit(self.shared, &head, id_match);
        }
        // An entry's own response has no id.
        let is_mismatch = match id_match {
            RequestIdMatch::Match => false,
            RequestIdMatch::Mismatch => true,
            RequestIdMatch::Missing => !self.is_relay,
        };
        if is_mismatch {
            // The response belongs to another request. Later responses on this connection cannot be matched either.
            server.close_after();
            // On a connection that was used before, a rejection without an id may be that of a health check, which has
            // none, while the server runs this request.
            let is_shed = is_not_run && id_match == RequestIdMatch::Missing && is_first_exchange;
            return ExchangeEnd::Failed(if is_shed { AttemptResult::Shed } else { AttemptResult::BadAnswer });
        }
        if !self.is_relay {
            self.attempt.set_load_report(dialect.load_report(&head));
        }
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST
            && dialect.expected_server_header.is_some()
            && !self.is_relay;
        if is_misdirected || is_not_run {
            // Consumes a body that has arrived, so that the connection can be reused.
            while matches!(server.buffered_part(), Part::Chunk(_)) {}
            return ExchangeEnd::Failed(if is_misdirected { AttemptResult::Misdirected } else { AttemptResult::Shed });
        }
        let is_error = head.status.is_server_error();
        let mut parts = Vec::new();
        // Another entry has made all attempts.
        if is_error && self.call.idempotent && self.call.replayable && !self.is_relay {
            let finish = self.attempt.end(AttemptResult::ServerError);
            let dispatcher = &self.shared.dispatcher;
            let mut pending = PendingDecision::new(dispatcher.clone(), self.call.id, dispatcher.attempt_failed(finish));
            let decision = select! {
                biased;
                error = &mut upload, if !caller_left => return ExchangeEnd::CallerFailed(error),
                decision = pending.wait() => Some(decision),
                () = &mut deadline => None,
            };
            let time = match &decision {
                Some(Some(Decision::Send { .. })) => Some(ERROR_BODY_TIMEOUT),
                Some(_) => None,
                // Only data that has arrived is taken.
                None => Some(Duration::ZERO),
            };
            if let Some(time) = time {
                let buffered = timeout(time, server.buffer_body(&mut parts, BUFFERED_BODY_LIMIT)).await;
                let is_complete = matches!(buffered, Ok(BufferedBody::Complete));
                return ExchangeEnd::Retry(decision.flatten(), SavedResponse::new(head, framing, &parts, is_complete));
            }
        }
        // A short response to a call that may be repeated is forwarded when it is complete, so that a truncated one can
        // be replaced instead of ending the connection together with the responses behind it. Only a chunked response
        // that nothing follows is forwarded after a while, as it may be a stream of events.
        let is_replaceable = self.call.idempotent && self.call.replayable;
        let may_be_short = match framing {
            Framing::Sized(length) => length <= BUFFER_LIMIT as u64,
            Framing::Chunked => progress.is_complete.get(),
            Framing::UntilClose => true,
            Framing::Empty(_) => false,
        };
        let mut is_whole = framing.is_empty();
        if framing == Framing::UntilClose || is_replaceable && may_be_short {
            let mut hold = pin!(sleep(MAX_STREAM_HOLD));
            let buffered = loop {
                let may_stream = framing == Framing::Chunked && !self.writer.is_followed();
                select! {
                    biased;
                    error = &mut upload, if !caller_left => {
                        if !may_continue(error) {
                            self.attempt.finish(AttemptResult::CallerLeft);
                            return ExchangeEnd::CallerFailed(error);
                        }
                        caller_left = true;
                    }
                    buffered = server.buffer_body(&mut parts, BUFFER_LIMIT) => break buffered,
                    () = &mut hold, if may_stream => break BufferedBody::TooLong,
                    () = &mut deadline => {
                        self.attempt.finish(AttemptResult::Timeout);
                        return ExchangeEnd::DeadlineExceeded;
                    }
                }
            };
            match buffered {
                // Nothing of it was sent to the caller yet.
                BufferedBody::Truncated if self.attempt.is_reported() => return ExchangeEnd::ResponseLost,
                BufferedBody::Truncated => return ExchangeEnd::Failed(AttemptResult::BrokenAfterWrite),
                BufferedBody::Complete => {
                    is_whole = true;
                    if framing == Framing::UntilClose {
                        framing = Framing::of_complete(&parts);
                    }
                }
                BufferedBody::TooLong => {}
            }
        }
        if self.shared.is_stopping() {
            self.writer.close_after_last();
        }
        let encoded = reply::encode_response_head(
            dialect,
            (&head, framing),
            self.repeat_protection,
            self.head.version,
            self.writer,
        );
        if encoded.is_err() {
            self.attempt.finish(AttemptResult::BadAnswer);
            return ExchangeEnd::Truncated;
        }
        let mut recorded = self.continues_without_caller.then(BytesMut::new);
        if is_whole {
            // The server has finished, however long the caller takes to read.
            self.attempt.finish(if is_error { AttemptResult::ServerError } else { AttemptResult::Complete });
        } else {
            self.writer.set_streaming(true);
        }
        let forwarded = {
            let mut forwarded = pin!(forward_body(server, parts, self.writer, framing, &mut recorded, counters));
            loop {
                select! {
                    biased;
                    error = &mut upload, if !caller_left => {
                        if !may_continue(error) {
                            self.attempt.finish(AttemptResult::CallerLeft);
                            return ExchangeEnd::CallerFailed(error);
                        }
                        caller_left = true;
                    }
                    forwarded = &mut forwarded => break Some(forwarded),
                    () = &mut deadline => break None,
                }
            }
        };
        if !is_whole {
            self.writer.set_streaming(false);
        }
        match forwarded {
            Some(Forwarded::Complete) => {
                self.attempt.finish(if is_error { AttemptResult::ServerError } else { AttemptResult::Complete });
                ExchangeEnd::Complete(RecordedResponse {
                    status: head.status.as_u16(),
                    content_type: header_text(&head, header::CONTENT_TYPE.as_str()).map(Into::into),
                    body: recorded.map(BytesMut::freeze),
                })
            }
            Some(Forwarded::Truncated) => {
                self.attempt.finish(AttemptResult::BrokenAfterWrite);
                ExchangeEnd::Truncated
            }
            Some(Forwarded::CallerDisconnected) => {
                self.attempt.finish(AttemptResult::CallerLeft);
                ExchangeEnd::CallerFailed(CallerError::Disconnected)
            }
            None => {
                // A caller that does not read is not a fault of the server.
                let is_caller_blocked = self.writer.is_blocked();
                self.attempt.finish(if is_caller_blocked { AttemptResult::CallerLeft } else { AttemptResult::Timeout });
                ExchangeEnd::Truncated
            }
        }
    }
}

/// Forwards a body, starting with the parts that are buffered already. A part is read only after the parts before it
/// were written, so that a caller that does not read slows down the server.
async fn forward_body(
    server: &mut ServerReader,
    buffered: Vec<Bytes>,
    writer: &mut CallerWriter,
    framing: Framing,
    recorded: &mut Option<BytesMut>,
    counters: &ProxyCounters,
) -> Forwarded {
    let forwarded = counters.bytes.with_label_values(&["answer"]);
    let mut buffered = buffered.into_iter();
    loop {
        let part = match buffered.next() {
            Some(chunk) => Part::Chunk(chunk),
            None if framing.is_empty() => Part::End,
            None => server.buffered_part(),
        };
        match part {
            Part::Chunk(chunk) => {
                forwarded.inc_by(chunk.len() as u64);
                if let Some(body) = recorded {
                    body.extend_from_slice(&chunk);
                }
                if recorded.as_ref().is_some_and(|body| body.len() > RECORDED_BODY_LIMIT) {
                    *recorded = None;
                }
                if writer.encode_part(Some(chunk)).is_err() {
                    return Forwarded::Truncated;
                }
                if writer.is_full() && writer.flush().await.is_err() {
                    return Forwarded::CallerDisconnected;
                }
            }
            Part::End => {
                if !framing.is_empty() && writer.encode_part(None).is_err() {
                    return Forwarded::Truncated;
                }
                // A complete response that waits behind others is not subject to the deadline any more.
                let is_delivered = writer.is_awaiting_turn() || writer.flush().await.is_ok();
                return if is_delivered { Forwarded::Complete } else { Forwarded::CallerDisconnected };
            }
            Part::Truncated => return Forwarded::Truncated,
            Part::Pending => {
                if writer.flush().await.is_err() {
                    return Forwarded::CallerDisconnected;
                }
                if !server.fill().await {
                    return Forwarded::Truncated;
                }
            }
        }
    }
}

/// Returns the result of a call that another entry did not run, from the outcome that it states. Any other response of
/// the entry is final, as it has made all attempts.
fn result_of_relay(outcome: &HeaderValue) -> Option<AttemptResult> {
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

fn header_text<'a>(head: &'a ResponseHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
