//! One call, from the caller's request to the end of the answer.

use {
    crate::{
        attempt::Attempt,
        body::{Progress, RequestBody},
        caller::{CallerReader, Gone},
        caller_writer::CallerWriter,
        claims::{Claim, Claimed, HeldClaim, PendingClaim},
        connection::Connection,
        digest::Digest,
        dispatcher::Decision,
        exchange::{Ended, Exchange},
        headers::{self, Outgoing},
        kept::KeptAnswer,
        request::Parsed,
        shared::Shared,
        told::{self, Told, Unsent},
        waiting::Waiting,
    },
    actix_http::{RequestHead, header::HeaderValue},
    actix_rt::time::sleep_until,
    hemlockford_core::{
        dispatch::{AttemptResult, Call},
        outcome::{NotRunReason, Outcome, UnknownReason},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::select,
};

/// What becomes of the caller's connection after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// It may carry another request.
    Keep,
    /// It is closed.
    Close,
    /// It is reset, as an answer on it is not whole.
    Cut,
}

/// One call that is being handled.
pub(crate) struct CallRun<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) reader: &'a mut CallerReader,
    pub(crate) writer: &'a mut CallerWriter,
    pub(crate) head: &'a RequestHead,
    pub(crate) peer: SocketAddr,
    pub(crate) start: Instant,
    pub(crate) call: Call,
    pub(crate) body: RequestBody,
    /// Id by which the server's answer is told from others.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) has_key: bool,
    pub(crate) expects_continue: bool,
    pub(crate) claim: Option<HeldClaim>,
    /// Time spent in attempts.
    pub(crate) attempts: Duration,
    /// Set once an attempt may have run the request; from then on *not run* is never told.
    pub(crate) may_have_run: Option<UnknownReason>,
    /// The first server's error that was followed by a retry.
    pub(crate) kept: Option<KeptAnswer>,
}

impl<'a> CallRun<'a> {
    pub(crate) fn new(
        shared: &'a Shared,
        (reader, writer): (&'a mut CallerReader, &'a mut CallerWriter),
        head: &'a RequestHead,
        peer: SocketAddr,
        start: Instant,
        parsed: Parsed,
    ) -> Self {
        let Parsed { call, framing, key, id, expects_continue } = parsed;
        let body = RequestBody::new(framing, call.replayable);
        Self {
            shared,
            reader,
            writer,
            head,
            peer,
            start,
            call,
            body,
            id,
            has_key: key.is_some(),
            key,
            expects_continue,
            claim: None,
            attempts: Duration::ZERO,
            may_have_run: None,
            kept: None,
        }
    }

    /// Handles the call and tells the caller its end.
    pub(crate) async fn run(mut self) -> Next {
        let told = match self.claim().await {
            Ok(()) => self.dispatch().await,
            Err(told) => told,
        };
        self.conclude(told).await
    }

    /// Claims the idempotency key, before any server may see the request.
    async fn claim(&mut self) -> Result<(), Told> {
        let Some(key) = self.key.take() else { return Ok(()) };
        let Some(claims) = &self.shared.claims else { return Err(self.told(NotRunReason::ClaimUnavailable)) };
        let deadline = self.call.deadline;
        let mut digest = Digest::new();
        digest.text(self.head.method.as_str());
        digest.text(self.head.uri.path_and_query().map_or("/", |target| target.as_str()));
        self.allow_body().await?;
        select! {
            biased;
            digested = self.body.digest(self.reader, &mut digest) => digested.map_err(Told::Gone)?,
            () = sleep_until(deadline.into()) => return Err(self.told(NotRunReason::Deadline)),
        }
        let claim = Claim {
            service: self.call.service.clone(),
            customer: self.call.customer.clone(),
            key,
            request_digest: digest.value(),
        };
        let mut pending = PendingClaim::ask(claims, claim);
        let claimed = select! {
            biased;
            claimed = pending.decided() => claimed,
            gone = self.reader.watch() => return Err(Told::Gone(gone)),
            () = sleep_until(deadline.into()) => return Err(self.told(NotRunReason::ClaimUnavailable)),
        };
        match claimed {
            Claimed::Held(claim) => {
                self.claim = Some(claim);
                self.writer.outlive_caller();
                Ok(())
            }
            Claimed::Refused(refused) => Err(told::refuse(refused, self.shared.options.retry_after)),
        }
    }

    async fn dispatch(&mut self) -> Told {
        let dispatcher = self.shared.dispatcher.clone();
        let decision = dispatcher.arrive(self.call.clone());
        let mut waiting = Waiting::new(dispatcher, self.call.id, decision);
        loop {
            let decision = match self.decision(waiting).await {
                Ok(decision) => decision,
                Err(told) => return told,
            };
            let mut ended = self.attempt(decision).await;
            while let Ok(Ended::Again(decision, failure)) = ended {
                let reason = if decision.is_some() { UnknownReason::ConnectionLost } else { UnknownReason::Timeout };
                self.may_have_run = Some(reason);
                if self.shared.options.dialect.keeps_server_errors {
                    self.kept.get_or_insert(failure);
                }
                let Some(decision) = decision else { return self.told(NotRunReason::Deadline) };
                ended = self.attempt(decision).await;
            }
            match ended {
                Ok(Ended::Whole(recorded)) => return Told::Answer(recorded),
                Ok(Ended::CutOff) => return Told::CutOff,
                Ok(Ended::Gone(gone)) => return Told::Gone(gone),
                Ok(Ended::Expired | Ended::Again(..)) => {
                    return self.told(NotRunReason::Deadline);
                }
                Ok(Ended::Lost) => {
                    self.may_have_run = Some(UnknownReason::ConnectionLost);
                    return self.told(NotRunReason::Refused);
                }
                Ok(Ended::Failed(_)) => {
                    return self.told(NotRunReason::Refused);
                }
                Err(Unsent::Asked(next)) => waiting = next,
                Err(Unsent::Told(told)) => return told,
            }
        }
    }

    /// Waits for a decision while watching the caller and the deadline.
    async fn decision(&mut self, mut waiting: Waiting) -> Result<Decision, Told> {
        select! {
            biased;
            decision = waiting.decided() => match decision {
                Some(decision @ Decision::Send { .. }) => Ok(decision),
                // The dispatcher has yet to learn of the text, or of a newer one, which is no lack of the service.
                Some(Decision::Reject { outcome: Outcome::NotRun(NotRunReason::UnknownService), .. }) => {
                    Err(self.told(NotRunReason::ConfigurationNotCurrent))
                }
                Some(Decision::Reject { outcome, retry_after }) => {
                    Err(self.end(outcome, retry_after))
                }
                None => Err(self.told(NotRunReason::ShuttingDown)),
            },
            gone = self.reader.watch() => Err(Told::Gone(gone)),
            () = sleep_until(self.call.deadline.into()) => Err(self.told(NotRunReason::Deadline)),
        }
    }

    /// Makes one attempt; a failed one asks the dispatcher what to do next.
    async fn attempt(&mut self, decision: Decision) -> Result<Ended, Unsent> {
        let Decision::Send { server, address, fresh_connection, pass_allowance, want_report } = decision else {
            return Ok(Ended::Expired);
        };
        let shared = self.shared;
        let mut attempt =
            Attempt::new(shared.dispatcher.clone(), shared.counters.clone(), self.call.id, server.clone());
        let is_repeat = self.may_have_run.is_some() && !self.call.idempotent;
        if is_repeat || !self.body.is_at_hand() {
            // Whatever was decided: the request must not run twice, or its body is gone in part.
            return Ok(Ended::Failed(AttemptResult::CallerLeft));
        }
        let mut connection = match self.connect(&mut attempt, address, fresh_connection).await? {
            Some(connection) => connection,
            None => return Err(self.failed(&mut attempt, AttemptResult::RefusedBeforeWrite)),
        };
        self.allow_body().await.map_err(Unsent::Told)?;
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        let outgoing = Outgoing {
            from: self.head,
            caller: self.peer,
            server: &server,
            address,
            id: self.id.as_ref(),
            left,
            depth: self.call.depth,
            pass_allowance,
            want_report,
        };
        let head = headers::request_head(&shared.options.dialect, &outgoing);
        if connection.writer.start(head, self.body.framing().size()).is_err() {
            return Err(self.failed(&mut attempt, AttemptResult::RefusedBeforeWrite));
        }
        if self.claim.as_ref().is_some_and(|claim| !claim.is_valid()) {
            return Err(Unsent::Told(self.told(NotRunReason::ClaimUnavailable)));
        }
        let once = self.once();
        let start = attempt.elapsed();
        let progress = Progress::default();
        let exchange = Exchange {
            shared,
            call: &self.call,
            head: self.head,
            id: self.id.as_ref(),
            body: &mut self.body,
            reader: self.reader,
            writer: self.writer,
            attempt: &mut attempt,
            progress: &progress,
            once,
            outlives_caller: self.claim.is_some(),
        };
        let ended = exchange.run(&mut connection).await;
        self.attempts += attempt.elapsed() - start;
        if progress.is_begun.get() && matches!(ended, Ended::Gone(_) | Ended::Expired) {
            let is_malformed = matches!(ended, Ended::Gone(Gone::Malformed | Gone::TooLarge));
            let reason = if is_malformed { UnknownReason::ConnectionLost } else { UnknownReason::Timeout };
            self.may_have_run = Some(reason);
        }
        connection.release();
        match ended {
            Ended::Failed(result) => Err(self.failed(&mut attempt, result)),
            ended => Ok(ended),
        }
    }

    /// Opens or reuses a connection; `None` means that the server refused it.
    async fn connect(
        &mut self,
        attempt: &mut Attempt,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Option<Connection>, Unsent> {
        select! {
            biased;
            opened = self.shared.pool.acquire(address, fresh || !self.call.idempotent) => Ok(opened.ok()),
            gone = self.reader.watch() => {
                attempt.finish(AttemptResult::CallerLeft);
                Err(Unsent::Told(Told::Gone(gone)))
            }
            () = sleep_until(self.call.deadline.into()) => {
                attempt.finish(AttemptResult::RefusedBeforeWrite);
                Err(Unsent::Told(self.told(NotRunReason::Deadline)))
            }
        }
    }

    /// Notes what a failed attempt may have done and asks for another decision.
    fn failed(&mut self, attempt: &mut Attempt, result: AttemptResult) -> Unsent {
        match result {
            AttemptResult::BrokenAfterWrite => self.may_have_run = Some(UnknownReason::ConnectionLost),
            AttemptResult::BadAnswer => self.may_have_run = Some(UnknownReason::BadAnswer),
            _ => {}
        }
        let decision = self.shared.dispatcher.fail(attempt.end(result));
        Unsent::Asked(Waiting::new(self.shared.dispatcher.clone(), self.call.id, decision))
    }

    /// Lets a caller that waits for it send its body.
    async fn allow_body(&mut self) -> Result<(), Told> {
        let is_due = std::mem::take(&mut self.expects_continue) && !self.body.framing().is_empty();
        if is_due && self.reader.is_idle() {
            self.writer.start_continue();
            self.writer.flush_soon().await.map_err(|_| Told::Gone(Gone::Left))?;
        }
        Ok(())
    }
}
