//! One attempt of a call on a connection to a server. The bodies of request and response are transferred
//! concurrently.

use {
    crate::{
        attempt::Attempt,
        body::{Progress, RequestBody},
        caller::CallerError,
        caller_writer::CallerWriter,
        connection::{BufferedBody, Connection, Part, ResponseError},
        copy_call::{CopyAnswer, CopyEnd, CopyRace},
        copy_wait::{Answer, CopyWait, report_end, report_failed, wait_for_copy},
        dialect::RequestIdMatch,
        dispatcher::Decision,
        forwarding::{Forwarded, forward_body},
        framing::Framing,
        headers,
        options::{BUFFER_LIMIT, BUFFERED_BODY_LIMIT},
        pending_decision::PendingDecision,
        recorded_response::RecordedResponse,
        reply,
        request_source::RequestSource,
        response_check::{check_response, result_of_relay},
        saved_response::SavedResponse,
        shared::Shared,
    },
    actix_http::{
        RequestHead, ResponseHead,
        header::{self, HeaderValue},
    },
    actix_rt::time::{sleep, sleep_until, timeout},
    bytes::BytesMut,
    hemlockford_core::{
        dispatch::{AttemptResult, Call},
        ids::ServerId,
    },
    std::{net::SocketAddr, pin::pin, time::Duration},
    tokio::select,
};

/// Time to wait for the body of a server's error response before a retry. Short bodies arrive with their head, and their
/// connection can be reused.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a chunked response that no request follows is held until it is complete. Servers that write a short
/// response in several parts do so within milliseconds.
pub(crate) const MAX_STREAM_HOLD: Duration = Duration::from_millis(100);

/// Result of an exchange for the caller.
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
    Retry(Option<Decision>, Box<SavedResponse>),
    /// The response was truncated before anything was sent to the caller, and the dispatcher must not be asked again,
    /// as the attempt was reported already.
    ResponseLost,
    /// The deadline passed before anything was sent to the caller.
    DeadlineExceeded,
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
    /// A second copy that may run at the same time.
    pub(crate) race: Option<CopyRace<'a>>,
    /// Attempts that failed while the other copy ran, and were reported.
    pub(crate) failed: &'a mut Vec<(ServerId, SocketAddr, AttemptResult)>,
}

impl Exchange<'_, '_> {
    /// Sends the request, whose head is encoded already, and forwards the response.
    pub(crate) async fn run(mut self, connection: &mut Connection) -> ExchangeEnd {
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
        let mut answer_of_copy = None;
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
                    response = &mut response => break Some(response),
                    end = CopyRace::next(&mut self.race) => match end {
                        CopyEnd::Answered(answer) => {
                            answer_of_copy = Some(answer);
                            break None;
                        }
                        CopyEnd::Failed(attempt, result) => report_failed(*attempt, result, self.failed),
                    },
                    () = &mut deadline => {
                        let has_started = progress.has_started.get();
                        let result = if has_started { AttemptResult::Timeout } else { AttemptResult::CallerLeft };
                        self.attempt.finish(result);
                        // The copy may run although the first attempt does not.
                        if self.race.as_ref().is_some_and(CopyRace::is_running) {
                            progress.has_started.set(true);
                        }
                        return ExchangeEnd::DeadlineExceeded;
                    }
                }
            }
        };
        // `None` stands for the answer of the copy.
        let received = match response {
            None => None,
            // Whatever the server sent, it cannot have seen the request.
            Some(_) if !progress.has_started.get() => Some(Err(AttemptResult::RefusedBeforeWrite)),
            Some(Ok(response)) => Some(Ok(response)),
            Some(Err(ResponseError::ConnectionLost)) => Some(Err(AttemptResult::BrokenAfterWrite)),
            Some(Err(ResponseError::Invalid)) => Some(Err(AttemptResult::BadAnswer)),
        };
        let received = match received {
            Some(Ok((mut head, framing))) if self.is_relay => {
                let outcome = head.headers.remove(headers::OUTCOME).next();
                if let Some(result) = outcome.as_ref().and_then(result_of_relay) {
                    while matches!(server.buffered_part(), Part::Chunk(_)) {}
                    return ExchangeEnd::Failed(result);
                }
                // An entry's own response has no id.
                match dialect.match_request_id(&head, self.id) {
                    RequestIdMatch::Mismatch => {
                        server.close_after();
                        return ExchangeEnd::Failed(AttemptResult::BadAnswer);
                    }
                    RequestIdMatch::Match | RequestIdMatch::Missing => Some(Ok((head, framing))),
                }
            }
            Some(Ok((head, framing))) => {
                let checked = check_response(self.shared, server, self.attempt, &head, self.id, is_first_exchange);
                Some(checked.map(|()| (head, framing)))
            }
            other => other,
        };
        let (mut parts, mut is_whole) = (Vec::new(), false);
        let received = match received {
            Some(Ok((head, framing))) => {
                let is_error = head.status.is_server_error();
                // Another entry has made all attempts.
                if is_error && self.call.idempotent && self.call.replayable && !self.is_relay {
                    let mut result = AttemptResult::ServerError;
                    if CopyRace::withdraw_offer(&mut self.race) {
                        report_end(self.attempt, result, self.failed);
                        progress.has_started.set(true);
                        match wait_for_copy(&mut self.race, upload.as_mut(), deadline.as_mut()).await {
                            CopyWait::Ended(CopyEnd::Answered(answer)) => answer_of_copy = Some(answer),
                            CopyWait::Ended(CopyEnd::Failed(attempt, copy_result)) => {
                                (*self.attempt, result) = (*attempt, copy_result);
                            }
                            CopyWait::CallerFailed(error) => return ExchangeEnd::CallerFailed(error),
                            CopyWait::DeadlineExceeded => {}
                        }
                    }
                    if answer_of_copy.is_none() {
                        let decision = if self.attempt.is_reported() {
                            None
                        } else {
                            let finish = self.attempt.end(result);
                            let dispatcher = &self.shared.dispatcher;
                            let decision = dispatcher.attempt_failed(finish);
                            let mut pending = PendingDecision::new(dispatcher.clone(), self.call.id, decision);
                            select! {
                                biased;
                                error = &mut upload, if !caller_left => return ExchangeEnd::CallerFailed(error),
                                decision = pending.wait() => Some(decision),
                                () = &mut deadline => None,
                            }
                        };
                        let time = match &decision {
                            Some(Some(Decision::Send { .. })) => Some(ERROR_BODY_TIMEOUT),
                            Some(_) => None,
                            // Only data that has arrived is taken.
                            None => Some(Duration::ZERO),
                        };
                        if let Some(time) = time {
                            let buffered = timeout(time, server.buffer_body(&mut parts, BUFFERED_BODY_LIMIT)).await;
                            let saved = SavedResponse::new(head, framing, parts, buffered.ok());
                            return ExchangeEnd::Retry(decision.flatten(), Box::new(saved));
                        }
                    }
                }
                if answer_of_copy.is_some() { None } else { Some(Ok((head, framing))) }
            }
            other => other,
        };
        // A short response to a call that may be repeated is forwarded when it is complete, so that a truncated one can
        // be replaced instead of ending the connection together with the responses behind it. Only a chunked response
        // that nothing follows is forwarded after a while, as it may be a stream of events.
        let received = match received {
            Some(Ok((head, mut framing))) => {
                let is_replaceable = self.call.idempotent && self.call.replayable;
                let may_be_short = match framing {
                    Framing::Sized(length) => length <= BUFFER_LIMIT as u64,
                    Framing::Chunked => progress.is_complete.get(),
                    Framing::UntilClose => true,
                    Framing::Empty(_) => false,
                };
                is_whole = framing.is_empty();
                let mut failure = None;
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
                            buffered = server.buffer_body(&mut parts, BUFFER_LIMIT) => break Some(buffered),
                            end = CopyRace::next(&mut self.race) => match end {
                                CopyEnd::Answered(answer) => {
                                    answer_of_copy = Some(answer);
                                    break None;
                                }
                                CopyEnd::Failed(attempt, result) => report_failed(*attempt, result, self.failed),
                            },
                            () = &mut hold, if may_stream => break Some(BufferedBody::TooLong),
                            () = &mut deadline => {
                                self.attempt.finish(AttemptResult::Timeout);
                                return ExchangeEnd::DeadlineExceeded;
                            }
                        }
                    };
                    match buffered {
                        // Nothing of it was sent to the caller yet.
                        Some(BufferedBody::Truncated) if self.attempt.is_reported() => {
                            return ExchangeEnd::ResponseLost;
                        }
                        Some(BufferedBody::Truncated) => failure = Some(AttemptResult::BrokenAfterWrite),
                        Some(BufferedBody::Complete) => {
                            is_whole = true;
                            if framing == Framing::UntilClose {
                                framing = Framing::of_complete(&parts);
                            }
                        }
                        Some(BufferedBody::TooLong) | None => {}
                    }
                }
                match (failure, &answer_of_copy) {
                    (Some(result), _) => Some(Err(result)),
                    (None, Some(_)) => None,
                    (None, None) => Some(Ok((head, framing))),
                }
            }
            other => other,
        };
        // The copy is not needed once the first attempt is answered, and may answer the call if that failed.
        let answer = match received {
            Some(Ok((head, framing))) => Answer::First(head, framing, parts, is_whole),
            Some(Err(result)) => {
                if !CopyRace::withdraw_offer(&mut self.race) {
                    return ExchangeEnd::Failed(result);
                }
                report_end(self.attempt, result, self.failed);
                progress.has_started.set(true);
                match wait_for_copy(&mut self.race, upload.as_mut(), deadline.as_mut()).await {
                    CopyWait::Ended(CopyEnd::Answered(answer)) => Answer::Copy(answer),
                    CopyWait::Ended(CopyEnd::Failed(attempt, result)) => {
                        *self.attempt = *attempt;
                        return ExchangeEnd::Failed(result);
                    }
                    CopyWait::CallerFailed(error) => return ExchangeEnd::CallerFailed(error),
                    CopyWait::DeadlineExceeded => return ExchangeEnd::DeadlineExceeded,
                }
            }
            None => match answer_of_copy {
                Some(answer) => Answer::Copy(answer),
                None => return ExchangeEnd::ResponseLost,
            },
        };
        // Dropping the race cancels the copy before anything is sent to the caller.
        self.race = None;
        let mut connection_of_copy;
        let (server, head, framing, parts, is_whole) = match answer {
            Answer::First(head, framing, parts, is_whole) => (server, head, framing, parts, is_whole),
            Answer::Copy(answer) => {
                let CopyAnswer { attempt, connection, head, framing, parts, is_whole } = *answer;
                self.attempt.finish(AttemptResult::Superseded);
                *self.attempt = attempt;
                connection_of_copy = connection;
                let Some(connection) = connection_of_copy.get_mut() else { return ExchangeEnd::ResponseLost };
                (&mut connection.reader, head, framing, parts, is_whole)
            }
        };
        let is_error = head.status.is_server_error();
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

fn header_text<'a>(head: &'a ResponseHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
