//! One attempt of a call on one connection to a server, with both bodies on their way at the same time.

use {
    crate::{
        attempt::Attempt,
        body::{Progress, RequestBody},
        caller::{CallerReader, CallerWriter, Gone},
        claims::SETTLED_BODY_LIMIT,
        connection::{Connection, NoAnswer, Part, ServerReader},
        counters::ProxyCounters,
        framing::Framing,
        gate::{Decision, Gate},
        headers, reply,
        waiting::Waiting,
    },
    actix_http::{RequestHead, ResponseHead, StatusCode, header},
    actix_rt::time::sleep_until,
    bytes::{Bytes, BytesMut},
    hemlockford_core::dispatch::{AttemptResult, Call, LOAD_HEADER, LoadReport},
    std::pin::pin,
    tokio::select,
};

/// How an exchange ended for the caller.
#[derive(Debug)]
pub(crate) enum Ended {
    /// The whole answer was passed on.
    Whole(Recorded),
    /// A part of the answer was passed on, and there is no more.
    CutOff,
    /// The caller is gone.
    Gone(Gone),
    /// The caller was told nothing; the dispatcher has yet to be asked.
    Failed(AttemptResult),
    /// The caller was told nothing, and the dispatcher has chosen another server.
    Again(Decision),
    /// The deadline passed before the caller was told anything.
    Expired,
}

/// What is recorded of an answer to a claimed request.
#[derive(Debug)]
pub(crate) struct Recorded {
    pub(crate) status: u16,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Option<Bytes>,
}

/// One exchange.
pub(crate) struct Exchange<'a> {
    pub(crate) call: &'a Call,
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a mut RequestBody,
    pub(crate) reader: &'a mut CallerReader,
    pub(crate) writer: &'a mut CallerWriter,
    pub(crate) attempt: &'a mut Attempt,
    pub(crate) gate: &'a Gate,
    pub(crate) counters: &'a ProxyCounters,
    pub(crate) progress: &'a Progress,
    pub(crate) once: Option<&'static str>,
    /// Whether the exchange goes on without the caller once the request is written, as its outcome is
    /// recorded for a copy of the request.
    pub(crate) outlives_caller: bool,
}

enum Passed {
    Whole,
    Cut,
    CallerGone,
}

impl Exchange<'_> {
    /// Sends the request, whose head is encoded already, and passes the answer on.
    pub(crate) async fn run(self, connection: &mut Connection) -> Ended {
        let Connection { reader: server, writer: server_writer, .. } = connection;
        let progress = self.progress;
        let mut upload = pin!(self.body.send(self.reader, server_writer, progress, self.counters));
        let mut expiry = pin!(sleep_until(self.call.deadline.into()));
        let mut is_gone = false;
        let answer = {
            let mut answer = pin!(server.read_head(&self.head.method));
            loop {
                // The upload is polled first, so that the request is written before an answer is awaited.
                select! {
                    biased;
                    gone = &mut upload, if !is_gone => {
                        if !(self.outlives_caller && progress.is_whole.get() && gone == Gone::Left) {
                            self.attempt.finish(AttemptResult::CallerLeft);
                            return Ended::Gone(gone);
                        }
                        is_gone = true;
                    }
                    answer = &mut answer => break answer,
                    () = &mut expiry => {
                        let is_begun = progress.is_begun.get();
                        let result = if is_begun { AttemptResult::Timeout } else { AttemptResult::CallerLeft };
                        self.attempt.finish(result);
                        return Ended::Expired;
                    }
                }
            }
        };
        let (head, framing) = match answer {
            Ok(answer) => answer,
            Err(NoAnswer::Cut) if !progress.is_begun.get() => return Ended::Failed(AttemptResult::RefusedBeforeWrite),
            Err(NoAnswer::Cut) => return Ended::Failed(AttemptResult::BrokenAfterWrite),
            Err(NoAnswer::Bad) => return Ended::Failed(AttemptResult::BadAnswer),
        };
        self.attempt.set_report(text(&head, LOAD_HEADER).and_then(LoadReport::parse));
        if head.status == StatusCode::SERVICE_UNAVAILABLE && text(&head, headers::SHED.as_str()) == Some("1") {
            // Takes a body that has arrived, so that the connection can be used again.
            while matches!(server.buffered_part(), Part::Chunk(_)) {}
            return Ended::Failed(AttemptResult::Shed);
        }
        let is_error = head.status.is_server_error();
        if is_error && self.call.idempotent && self.call.replayable {
            let finish = self.attempt.end(AttemptResult::ServerError);
            let mut waiting = Waiting::new(self.gate.clone(), self.call.id, self.gate.fail(finish));
            select! {
                biased;
                gone = &mut upload, if !is_gone => return Ended::Gone(gone),
                decision = waiting.decided() => if let Some(decision @ Decision::Send { .. }) = decision {
                    return Ended::Again(decision);
                },
                () = &mut expiry => return Ended::Expired,
            }
        }
        if reply::encode_head((&head, framing), self.once, self.head.version, self.writer).is_err() {
            self.attempt.finish(AttemptResult::BadAnswer);
            return Ended::CutOff;
        }
        let mut recorded = self.outlives_caller.then(BytesMut::new);
        let passed = {
            let mut passed = pin!(pass_on(server, self.writer, framing, &mut recorded, self.counters));
            loop {
                select! {
                    biased;
                    gone = &mut upload, if !is_gone => {
                        if !(self.outlives_caller && progress.is_whole.get() && gone == Gone::Left) {
                            self.attempt.finish(AttemptResult::CallerLeft);
                            return Ended::Gone(gone);
                        }
                        is_gone = true;
                    }
                    passed = &mut passed => break Some(passed),
                    () = &mut expiry => break None,
                }
            }
        };
        match passed {
            Some(Passed::Whole) => {
                self.attempt.finish(if is_error { AttemptResult::ServerError } else { AttemptResult::Complete });
                Ended::Whole(Recorded {
                    status: head.status.as_u16(),
                    content_type: text(&head, header::CONTENT_TYPE.as_str()).map(Into::into),
                    body: recorded.map(BytesMut::freeze),
                })
            }
            Some(Passed::Cut) => {
                self.attempt.finish(AttemptResult::BrokenAfterWrite);
                Ended::CutOff
            }
            Some(Passed::CallerGone) => {
                self.attempt.finish(AttemptResult::CallerLeft);
                Ended::Gone(Gone::Left)
            }
            None => {
                // A caller that does not read is no fault of the server.
                let is_caller = self.writer.is_blocked();
                self.attempt.finish(if is_caller { AttemptResult::CallerLeft } else { AttemptResult::Timeout });
                Ended::CutOff
            }
        }
    }
}

/// Passes a body on. A part is read only after the parts before it were written, so that a caller that
/// does not read holds the server back.
async fn pass_on(
    server: &mut ServerReader,
    writer: &mut CallerWriter,
    framing: Framing,
    recorded: &mut Option<BytesMut>,
    counters: &ProxyCounters,
) -> Passed {
    let passed = counters.bytes.with_label_values(&["answer"]);
    loop {
        let part = if framing.is_empty() { Part::End } else { server.buffered_part() };
        match part {
            Part::Chunk(chunk) => {
                passed.inc_by(chunk.len() as u64);
                if let Some(body) = recorded {
                    body.extend_from_slice(&chunk);
                }
                if recorded.as_ref().is_some_and(|body| body.len() > SETTLED_BODY_LIMIT) {
                    *recorded = None;
                }
                if writer.part(Some(chunk)).is_err() {
                    return Passed::Cut;
                }
                if writer.is_full() && writer.flush().await.is_err() {
                    return Passed::CallerGone;
                }
            }
            Part::End => {
                if !framing.is_empty() && writer.part(None).is_err() {
                    return Passed::Cut;
                }
                return if writer.flush().await.is_ok() { Passed::Whole } else { Passed::CallerGone };
            }
            Part::Cut => return Passed::Cut,
            Part::Pending => {
                if writer.flush().await.is_err() {
                    return Passed::CallerGone;
                }
                if !server.fill().await {
                    return Passed::Cut;
                }
            }
        }
    }
}

fn text<'a>(head: &'a ResponseHead, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
