//! Sends the caller the end of a call and records the call.

use {
    crate::{
        call::{CallHandler, ConnectionAction},
        call_end::CallEnd,
        caller::CallerError,
        options::BUFFERED_BODY_LIMIT,
        reply::Reply,
        request::Refusal,
    },
    actix_http::Method,
    hemlockford_core::outcome::{NotRunReason, Outcome, UnknownReason},
    std::{io, time::Duration},
};

impl CallHandler<'_> {
    /// Replaces *not run* by *unknown* if an earlier attempt may have run the request.
    pub(crate) fn outcome_after_attempts(&self, outcome: Outcome) -> Outcome {
        match (outcome, self.may_have_run) {
            (Outcome::NotRun(_), Some(reason)) => Outcome::Unknown(reason),
            (outcome, _) => outcome,
        }
    }

    /// Ends the call with *not run*, or with *unknown* if an earlier attempt may have run the request.
    pub(crate) fn not_run(&mut self, reason: NotRunReason) -> CallEnd {
        self.end_call(Outcome::NotRun(reason), self.shared.options.retry_after)
    }

    /// Ends the call without a server response: with the saved error response if there is one, otherwise with the
    /// outcome.
    pub(crate) fn end_call(&mut self, outcome: Outcome, retry_after: Duration) -> CallEnd {
        match self.saved_error.take() {
            Some(response) => CallEnd::SavedError(response, outcome, retry_after),
            None => CallEnd::Outcome(self.outcome_after_attempts(outcome), retry_after),
        }
    }

    pub(crate) async fn conclude(mut self, end: CallEnd) -> ConnectionAction {
        if let Some(mut saved) = self.saved_error.take() {
            saved.release();
        }
        let end = match end {
            CallEnd::SavedError(response, outcome, retry_after) => {
                self.read_saved_error(response, outcome, retry_after).await
            }
            end => end,
        };
        let (outcome, next) = match end {
            CallEnd::Answered(recorded) => {
                if let Some(claim) = self.claim.take() {
                    claim.settle(recorded.status, recorded.content_type, recorded.body);
                }
                (
                    Some(Outcome::Answered),
                    if self.writer.keep_alive() { ConnectionAction::KeepOpen } else { ConnectionAction::Close },
                )
            }
            CallEnd::SavedError(response, ..) => self.send_saved_error(*response).await,
            CallEnd::Outcome(outcome, retry_after) => {
                let mut reply = Reply::outcome(outcome, None, retry_after, "");
                if matches!(outcome, Outcome::Unknown(_)) {
                    reply.repeat_protection = self.repeat_protection();
                }
                (Some(outcome), self.reply(reply).await)
            }
            CallEnd::Reply(reply) => (Some(reply.outcome), self.reply(reply).await),
            CallEnd::Truncated => (Some(Outcome::Unknown(UnknownReason::ConnectionLost)), ConnectionAction::Reset),
            CallEnd::CallerFailed(CallerError::Disconnected) => (None, ConnectionAction::Reset),
            CallEnd::CallerFailed(error) if !self.writer.has_started() => {
                let refusal = match error {
                    CallerError::BodyTooLarge => Refusal::TOO_LARGE,
                    _ => Refusal::malformed(None, "the request body was malformed or not sent in time"),
                };
                let outcome = self.outcome_after_attempts(Outcome::NotRun(refusal.reason));
                let retry_after = self.shared.options.retry_after;
                self.writer.close_after();
                let reply = Reply::outcome(outcome, refusal.status, retry_after, refusal.detail);
                (Some(outcome), self.reply(reply).await)
            }
            CallEnd::CallerFailed(_) => (None, ConnectionAction::Reset),
        };
        if let Some(claim) = self.claim.take()
            && matches!(outcome, None | Some(Outcome::NotRun(_)))
            && self.may_have_run.is_none()
        {
            claim.release();
        }
        self.shared.record(&self.call, outcome, self.start.elapsed(), self.attempt_time);
        next
    }

    /// Returns the value of `hemlockford-once`, which states how a non-idempotent request is kept from running twice.
    pub(crate) fn repeat_protection(&self) -> Option<&'static str> {
        match (&self.claim, self.has_key || self.call.idempotent) {
            (Some(_), _) => Some("claimed"),
            (None, false) => Some("sent-once"),
            (None, true) => None,
        }
    }

    async fn reply(&mut self, reply: Reply) -> ConnectionAction {
        self.prepare_head();
        let is_head = self.head.method == Method::HEAD;
        let encoded = reply.encode(&self.shared.options.dialect, self.writer, is_head);
        self.flush(encoded).await
    }

    /// Announces that the connection closes if no other request can follow.
    pub(crate) fn prepare_head(&mut self) {
        if self.reader.has_long_remainder(BUFFERED_BODY_LIMIT) {
            self.writer.close_after();
        } else if self.shared.is_stopping() {
            self.writer.close_after_last();
        }
    }

    pub(crate) async fn flush(&mut self, encoded: io::Result<()>) -> ConnectionAction {
        if encoded.is_err() || self.writer.flush_with_timeout().await.is_err() {
            return ConnectionAction::Reset;
        }
        if self.writer.keep_alive() { ConnectionAction::KeepOpen } else { ConnectionAction::Close }
    }
}
