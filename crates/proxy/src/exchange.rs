//! One attempt of a call on one connection to a server, with both bodies on their way at the same time.

use {
    crate::{
        attempt::Attempt,
        body::{Progress, RequestBody},
        caller::{CallerReader, Gone},
        caller_writer::CallerWriter,
        claims::RECORDED_BODY_LIMIT,
        connection::{Connection, Gathered, NoAnswer, Part, ServerReader},
        counters::ProxyCounters,
        dialect::Belongs,
        dispatcher::Decision,
        framing::Framing,
        kept::KeptAnswer,
        options::{BUFFER_LIMIT, KEPT_BODY_LIMIT},
        reply,
        shared::Shared,
        waiting::Waiting,
    },
    actix_http::{
        RequestHead, ResponseHead, StatusCode,
        header::{self, HeaderValue},
    },
    actix_rt::time::{sleep_until, timeout},
    bytes::{Bytes, BytesMut},
    hemlockford_core::dispatch::{AttemptResult, Call},
    std::{pin::pin, time::Duration},
    tokio::select,
};

/// Time for which the body of a server's error is waited for once a retry is decided. Short bodies arrive with
/// their head.
const KEEP_TIME: Duration = Duration::from_millis(20);

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
    /// The caller was told nothing of a server's error, and the dispatcher has chosen another server, unless the
    /// deadline has passed.
    Again(Option<Decision>, KeptAnswer),
    /// The caller was told nothing, the answer was cut off, and the dispatcher is not to be asked any more.
    Lost,
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
    pub(crate) shared: &'a Shared,
    pub(crate) call: &'a Call,
    pub(crate) head: &'a RequestHead,
    pub(crate) id: Option<&'a HeaderValue>,
    pub(crate) body: &'a mut RequestBody,
    pub(crate) reader: &'a mut CallerReader,
    pub(crate) writer: &'a mut CallerWriter,
    pub(crate) attempt: &'a mut Attempt,
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
        let (progress, counters) = (self.progress, &self.shared.counters);
        let dialect = &self.shared.options.dialect;
        // Whether the exchange goes on without its caller.
        let outlives_caller = self.outlives_caller;
        let goes_on = |gone| outlives_caller && progress.is_whole.get() && gone == Gone::Left;
        let mut upload = pin!(self.body.send(self.reader, server_writer, progress, counters));
        let mut expiry = pin!(sleep_until(self.call.deadline.into()));
        let mut is_gone = false;
        let answer = {
            let mut answer = pin!(server.read_head(&self.head.method, dialect.close_delimited));
            loop {
                // The upload is polled first, so that the request is written before an answer is awaited.
                select! {
                    biased;
                    gone = &mut upload, if !is_gone => {
                        if !goes_on(gone) {
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
        let (head, mut framing) = match answer {
            // Whatever the server sent, it cannot have seen the request.
            _ if !progress.is_begun.get() => return Ended::Failed(AttemptResult::RefusedBeforeWrite),
            Ok(answer) => answer,
            Err(NoAnswer::Cut) => return Ended::Failed(AttemptResult::BrokenAfterWrite),
            Err(NoAnswer::Bad) => return Ended::Failed(AttemptResult::BadAnswer),
        };
        let is_not_run = dialect.is_not_run(&head);
        let belongs = dialect.belongs(&head, self.id);
        if belongs != Belongs::Own {
            // An answer to another request, after which nothing on this connection can be told apart.
            server.close_after();
            let is_shed = is_not_run && belongs == Belongs::Unnamed;
            return Ended::Failed(if is_shed { AttemptResult::Shed } else { AttemptResult::BadAnswer });
        }
        self.attempt.set_report(dialect.load(&head));
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST && dialect.expected_server_header.is_some();
        if is_misdirected || is_not_run {
            // Takes a body that has arrived, so that the connection can be used again.
            while matches!(server.buffered_part(), Part::Chunk(_)) {}
            return Ended::Failed(if is_misdirected { AttemptResult::Misdirected } else { AttemptResult::Shed });
        }
        let is_error = head.status.is_server_error();
        let mut parts = Vec::new();
        if is_error && self.call.idempotent && self.call.replayable {
            let finish = self.attempt.end(AttemptResult::ServerError);
            let dispatcher = &self.shared.dispatcher;
            let mut waiting = Waiting::new(dispatcher.clone(), self.call.id, dispatcher.fail(finish));
            let decision = select! {
                biased;
                gone = &mut upload, if !is_gone => return Ended::Gone(gone),
                decision = waiting.decided() => Some(decision),
                () = &mut expiry => None,
            };
            let time = match &decision {
                Some(Some(Decision::Send { .. })) => Some(KEEP_TIME),
                Some(_) => None,
                // Only what has arrived is taken.
                None => Some(Duration::ZERO),
            };
            if let Some(time) = time {
                let gathered = timeout(time, server.gather(&mut parts, KEPT_BODY_LIMIT)).await;
                let is_whole = matches!(gathered, Ok(Gathered::Whole));
                return Ended::Again(decision.flatten(), KeptAnswer::new(head, framing, &parts, is_whole));
            }
        }
        if framing == Framing::Close {
            let gathered = loop {
                select! {
                    biased;
                    gone = &mut upload, if !is_gone => {
                        if !goes_on(gone) {
                            self.attempt.finish(AttemptResult::CallerLeft);
                            return Ended::Gone(gone);
                        }
                        is_gone = true;
                    }
                    gathered = server.gather(&mut parts, BUFFER_LIMIT) => break gathered,
                    () = &mut expiry => {
                        self.attempt.finish(AttemptResult::Timeout);
                        return Ended::Expired;
                    }
                }
            };
            match gathered {
                // The caller has seen nothing of it yet.
                Gathered::Cut if self.attempt.is_reported() => return Ended::Lost,
                Gathered::Cut => return Ended::Failed(AttemptResult::BrokenAfterWrite),
                Gathered::Whole => framing = Framing::of_whole(&parts),
                Gathered::Long => {}
            }
        }
        if self.shared.is_stopping() {
            self.writer.close_after_last();
        }
        let encoded = reply::encode_head(dialect, (&head, framing), self.once, self.head.version, self.writer);
        if encoded.is_err() {
            self.attempt.finish(AttemptResult::BadAnswer);
            return Ended::CutOff;
        }
        let mut recorded = self.outlives_caller.then(BytesMut::new);
        let passed = {
            let mut passed = pin!(pass_on(server, parts, self.writer, framing, &mut recorded, counters));
            loop {
                select! {
                    biased;
                    gone = &mut upload, if !is_gone => {
                        if !goes_on(gone) {
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

/// Passes a body on, after the parts of it that were gathered. A part is read only after the parts before it were written, so that a caller that
/// does not read holds the server back.
async fn pass_on(
    server: &mut ServerReader,
    gathered: Vec<Bytes>,
    writer: &mut CallerWriter,
    framing: Framing,
    recorded: &mut Option<BytesMut>,
    counters: &ProxyCounters,
) -> Passed {
    let passed = counters.bytes.with_label_values(&["answer"]);
    let mut gathered = gathered.into_iter();
    loop {
        let part = match gathered.next() {
            Some(chunk) => Part::Chunk(chunk),
            None if framing.is_empty() => Part::End,
            None => server.buffered_part(),
        };
        match part {
            Part::Chunk(chunk) => {
                passed.inc_by(chunk.len() as u64);
                if let Some(body) = recorded {
                    body.extend_from_slice(&chunk);
                }
                if recorded.as_ref().is_some_and(|body| body.len() > RECORDED_BODY_LIMIT) {
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
