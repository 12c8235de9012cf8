//! What a caller is told at the end of a call, and what is recorded of it.

use {
    crate::{
        call::{CallRun, Next},
        caller::Gone,
        options::KEPT_BODY_LIMIT,
        reply::{self, Reply},
        request::Refusal,
        told::Told,
    },
    actix_http::Method,
    hemlockford_core::outcome::{NotRunReason, Outcome, UnknownReason},
    std::{io, time::Duration},
};

impl CallRun<'_> {
    /// Replaces *not run* by *unknown* when an earlier attempt may have run the request.
    fn honest(&self, outcome: Outcome) -> Outcome {
        match (outcome, self.may_have_run) {
            (Outcome::NotRun(_), Some(reason)) => Outcome::Unknown(reason),
            (outcome, _) => outcome,
        }
    }

    /// Returns that the request did not run, or that it is unknown.
    pub(crate) fn told(&mut self, reason: NotRunReason) -> Told {
        self.end(Outcome::NotRun(reason), self.shared.options.retry_after)
    }

    /// Returns what is told when no answer can be passed on any more.
    pub(crate) fn end(&mut self, outcome: Outcome, retry_after: Duration) -> Told {
        match self.kept.take() {
            Some(kept) => Told::Kept(kept),
            None => Told::Outcome(self.honest(outcome), retry_after),
        }
    }

    pub(crate) async fn conclude(mut self, told: Told) -> Next {
        let (outcome, next) = match told {
            Told::Answer(recorded) => {
                if let Some(claim) = self.claim.take() {
                    claim.settle(recorded.status, recorded.content_type, recorded.body);
                }
                (Some(Outcome::Answered), if self.writer.keep_alive() { Next::Keep } else { Next::Close })
            }
            Told::Kept(kept) => {
                self.prepare_head();
                let (dialect, once) = (&self.shared.options.dialect, self.once());
                let encoded = reply::encode_kept(dialect, kept, once, self.head.version, self.writer);
                (Some(Outcome::Answered), self.flush(encoded).await)
            }
            Told::Outcome(outcome, retry_after) => {
                let mut reply = Reply::outcome(outcome, None, retry_after, "");
                if matches!(outcome, Outcome::Unknown(_)) {
                    reply.once = self.once();
                }
                (Some(outcome), self.reply(reply).await)
            }
            Told::Reply(reply) => (Some(reply.outcome), self.reply(reply).await),
            Told::CutOff => (Some(Outcome::Unknown(UnknownReason::ConnectionLost)), Next::Cut),
            Told::Gone(Gone::Left) => (None, Next::Cut),
            Told::Gone(gone) if !self.writer.is_started() => {
                let refusal = match gone {
                    Gone::TooLarge => Refusal::TOO_LARGE,
                    _ => Refusal::malformed(None, "the request body was malformed or not sent in time"),
                };
                let outcome = self.honest(Outcome::NotRun(refusal.reason));
                let retry_after = self.shared.options.retry_after;
                self.writer.close_after();
                let reply = Reply::outcome(outcome, refusal.status, retry_after, refusal.detail);
                (Some(outcome), self.reply(reply).await)
            }
            Told::Gone(_) => (None, Next::Cut),
        };
        if let Some(claim) = self.claim.take()
            && matches!(outcome, None | Some(Outcome::NotRun(_)))
            && self.may_have_run.is_none()
        {
            claim.release();
        }
        self.shared.record(&self.call, outcome, self.start.elapsed(), self.attempts);
        next
    }

    /// Says how the request is kept from running twice, if it was sent.
    pub(crate) fn once(&self) -> Option<&'static str> {
        match (&self.claim, self.has_key || self.call.idempotent) {
            (Some(_), _) => Some("claimed"),
            (None, false) => Some("sent-once"),
            (None, true) => None,
        }
    }

    async fn reply(&mut self, reply: Reply) -> Next {
        self.prepare_head();
        let is_head = self.head.method == Method::HEAD;
        let encoded = reply.encode(&self.shared.options.dialect, self.writer, is_head);
        self.flush(encoded).await
    }

    /// Announces the close of the connection where no other request can follow.
    fn prepare_head(&mut self) {
        if self.reader.is_rest_long(KEPT_BODY_LIMIT) {
            self.writer.close_after();
        } else if self.shared.is_stopping() {
            self.writer.close_after_last();
        }
    }

    async fn flush(&mut self, encoded: io::Result<()>) -> Next {
        if encoded.is_err() || self.writer.flush_soon().await.is_err() {
            return Next::Cut;
        }
        if self.writer.keep_alive() { Next::Keep } else { Next::Close }
    }
}
