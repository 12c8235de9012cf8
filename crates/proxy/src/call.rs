//! The handling of one call, from the caller's request to the end of the response.

use {
    crate::{
        attempt::Attempt,
        attempt_route::AttemptRoute,
        body::{Progress, RequestBody},
        call_end::{self, CallEnd, NextStep},
        caller::CallerError,
        caller_writer::CallerWriter,
        claims::{Claim, Claimed, HeldClaim, PendingClaim},
        connection::Connection,
        copy_call::{CopyRace, CopyRequest},
        credentials::{Identity, UnknownKey},
        digest::Digest,
        dispatcher::Decision,
        exchange::{Exchange, ExchangeEnd},
        headers::{self, OutgoingRequest},
        pending_decision::PendingDecision,
        request::ParsedRequest,
        request_source::RequestSource,
        routing::Routing,
        saved_response::SavedResponse,
        shared::Shared,
    },
    actix_http::{RequestHead, header::HeaderValue},
    actix_rt::time::sleep_until,
    hemlockford_core::{
        dispatch::{AttemptResult, Call},
        outcome::{NotRunReason, Outcome, UnknownReason},
    },
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::select,
};

/// What happens to the caller's connection after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    /// It may carry another request.
    KeepOpen,
    /// It is closed.
    Close,
    /// It is reset, because a response on it is incomplete.
    Reset,
}

/// A call in progress.
pub(crate) struct CallHandler<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) reader: RequestSource<'a>,
    pub(crate) writer: &'a mut CallerWriter,
    pub(crate) head: &'a RequestHead,
    pub(crate) peer: SocketAddr,
    pub(crate) start: Instant,
    pub(crate) call: Call,
    pub(crate) identity: Identity,
    /// Routing by which the request was last authenticated.
    pub(crate) routing: Rc<Routing>,
    pub(crate) body: RequestBody,
    /// Request id by which the server's response is matched to the request.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) key: Option<Box<str>>,
    pub(crate) has_key: bool,
    pub(crate) expects_continue: bool,
    pub(crate) claim: Option<HeldClaim>,
    /// Time spent in attempts.
    pub(crate) attempt_time: Duration,
    /// Set once an attempt may have run the request; from then on the caller is never told that it did not run.
    pub(crate) may_have_run: Option<UnknownReason>,
    /// Whether the last attempt went to another entry, whose own response may look like that of a server.
    pub(crate) was_relayed: bool,
    /// The first error response of a server that was followed by a retry.
    pub(crate) saved_error: Option<Box<SavedResponse>>,
}

impl<'a> CallHandler<'a> {
    pub(crate) fn new(
        shared: &'a Shared,
        (reader, writer): (RequestSource<'a>, &'a mut CallerWriter),
        head: &'a RequestHead,
        peer: SocketAddr,
        start: Instant,
        parsed: ParsedRequest,
    ) -> Self {
        let ParsedRequest { call, identity, routing, framing, key, id, expects_continue } = parsed;
        let is_recognized = shared.options.suspect_heads.is_some();
        let fingerprint_limit = if is_recognized { shared.options.max_replayable_body } else { 0 };
        let body = RequestBody::new(framing, call.replayable, fingerprint_limit, writer.client().clone());
        Self {
            shared,
            reader,
            writer,
            head,
            peer,
            start,
            call,
            identity,
            routing,
            body,
            id,
            has_key: key.is_some(),
            key,
            expects_continue,
            claim: None,
            attempt_time: Duration::ZERO,
            may_have_run: None,
            was_relayed: false,
            saved_error: None,
        }
    }

    /// Handles the call and sends the caller its response.
    pub(crate) async fn run(mut self) -> ConnectionAction {
        let client = self.writer.client().clone();
        let end = match client.begin_call().await {
            Some(_permit) => match self.claim().await {
                Ok(()) => self.dispatch().await,
                Err(end) => end,
            },
            None => self.not_run(NotRunReason::Overload),
        };
        self.conclude(end).await
    }

    /// Claims the idempotency key before any server can see the request.
    async fn claim(&mut self) -> Result<(), CallEnd> {
        let Some(key) = self.key.take() else { return Ok(()) };
        let Some(claims) = &self.shared.claims else { return Err(self.not_run(NotRunReason::ClaimUnavailable)) };
        let deadline = self.call.deadline;
        let mut digest = Digest::new();
        digest.text(self.head.method.as_str());
        digest.text(self.head.uri.path_and_query().map_or("/", |target| target.as_str()));
        self.send_continue().await?;
        select! {
            biased;
            digested = self.body.digest(&mut self.reader, &mut digest) => digested.map_err(CallEnd::CallerFailed)?,
            () = sleep_until(deadline.into()) => return Err(self.not_run(NotRunReason::Deadline)),
        }
        let claim = Claim {
            service: self.call.service.clone(),
            customer: self.call.customer.clone(),
            key,
            request_digest: digest.value(),
        };
        let mut pending = PendingClaim::request(claims, claim);
        let claimed = select! {
            biased;
            claimed = pending.wait() => claimed,
            error = self.reader.wait_for_disconnect() => return Err(CallEnd::CallerFailed(error)),
            () = sleep_until(deadline.into()) => return Err(self.not_run(NotRunReason::ClaimUnavailable)),
        };
        match claimed {
            Claimed::Held(claim) => {
                self.claim = Some(claim);
                self.writer.continue_without_caller();
                Ok(())
            }
            Claimed::Refused(refused) => match self.authenticate_again() {
                Ok(()) => Err(call_end::of_refused_claim(refused, self.shared.options.retry_after)),
                Err(reason) => Err(self.not_run(reason)),
            },
        }
    }

    async fn dispatch(&mut self) -> CallEnd {
        if let Err(end) = self.identify_suspect().await {
            return end;
        }
        let dispatcher = self.shared.dispatcher.clone();
        let decision = dispatcher.call_arrived(self.call.clone());
        let mut pending = PendingDecision::new(dispatcher, self.call.id, decision);
        loop {
            let decision = match self.decision(pending).await {
                Ok(decision) => decision,
                Err(end) => return end,
            };
            let mut ended = self.attempt(decision).await;
            while let Ok(ExchangeEnd::Retry(decision, failure)) = ended {
                let reason = if decision.is_some() { UnknownReason::ConnectionLost } else { UnknownReason::Timeout };
                self.may_have_run = Some(reason);
                self.save_error(failure);
                let Some(decision) = decision else { return self.not_run(NotRunReason::Deadline) };
                ended = self.attempt(decision).await;
            }
            match ended {
                Ok(ExchangeEnd::Complete(recorded)) => {
                    self.report_answered_suspect();
                    return CallEnd::Answered(recorded);
                }
                Ok(ExchangeEnd::Truncated) if self.writer.discard_unwritten() => {
                    self.may_have_run = Some(UnknownReason::ConnectionLost);
                    return self.not_run(NotRunReason::Refused);
                }
                Ok(ExchangeEnd::Truncated) => return CallEnd::Truncated,
                Ok(ExchangeEnd::CallerFailed(error)) => return CallEnd::CallerFailed(error),
                Ok(ExchangeEnd::DeadlineExceeded | ExchangeEnd::Retry(..)) => {
                    return self.not_run(NotRunReason::Deadline);
                }
                Ok(ExchangeEnd::ResponseLost) => {
                    self.may_have_run = Some(UnknownReason::ConnectionLost);
                    return self.not_run(NotRunReason::Refused);
                }
                Ok(ExchangeEnd::Failed(_)) => {
                    return self.not_run(NotRunReason::Refused);
                }
                Err(NextStep::AwaitDecision(next)) => pending = next,
                Err(NextStep::EndCall(end)) => return end,
            }
        }
    }

    /// Waits for a decision of the dispatcher, the disconnect of the caller or the deadline.
    async fn decision(&mut self, mut pending: PendingDecision) -> Result<Decision, CallEnd> {
        select! {
            biased;
            decision = pending.wait() => match decision {
                Some(decision @ (Decision::Send { .. } | Decision::Relay { .. })) => Ok(decision),
                // The dispatcher has not received the configuration, or a newer one, yet. The service exists, so the
                // caller is told to retry.
                Some(Decision::Reject { outcome: Outcome::NotRun(NotRunReason::UnknownService), .. }) => {
                    Err(self.not_run(NotRunReason::ConfigurationNotCurrent))
                }
                Some(Decision::Reject { outcome, retry_after }) => {
                    Err(self.end_call(outcome, retry_after))
                }
                None => Err(self.not_run(NotRunReason::ShuttingDown)),
            },
            error = self.reader.wait_for_disconnect() => Err(CallEnd::CallerFailed(error)),
            () = sleep_until(self.call.deadline.into()) => Err(self.not_run(NotRunReason::Deadline)),
            () = self.shared.calls_ended() => Err(self.not_run(NotRunReason::ShuttingDown)),
        }
    }

    /// Makes one attempt. If it fails, the dispatcher is asked what to do next.
    async fn attempt(&mut self, decision: Decision) -> Result<ExchangeEnd, NextStep> {
        let Some(route) = AttemptRoute::of(decision) else { return Ok(ExchangeEnd::DeadlineExceeded) };
        let (shared, address) = (self.shared, route.address);
        self.was_relayed = route.is_relay();
        let mut attempt = Attempt::new(shared, self.call.id, route.target.clone(), address);
        let would_repeat = self.may_have_run.is_some() && !self.call.idempotent;
        if would_repeat || !self.body.is_available() {
            // Regardless of the decision, the request must not run twice, and a body that was partly consumed cannot
            // be sent.
            return Ok(ExchangeEnd::Failed(AttemptResult::CallerLeft));
        }
        self.authenticate_again().map_err(|reason| NextStep::EndCall(self.not_run(reason)))?;
        let mut connection = match self.connect(&mut attempt, &route).await? {
            Some(connection) => connection,
            None => return Err(self.report_failure(&mut attempt, AttemptResult::RefusedBeforeWrite)),
        };
        self.send_continue().await.map_err(NextStep::EndCall)?;
        // Waiting for a connection may take long, too.
        self.authenticate_again().map_err(|reason| NextStep::EndCall(self.not_run(reason)))?;
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        let outgoing = OutgoingRequest {
            from: self.head,
            caller: self.peer,
            server: &route.target,
            address,
            id: self.id.as_ref(),
            identity: &self.identity,
            remaining,
            depth: self.call.depth,
            pass_allowance: route.pass_allowance,
            want_report: route.want_report,
            relay_attempts: route.relay_attempts,
            change: self.routing.config().number,
        };
        let head = headers::request_head(&shared.options.dialect, &outgoing);
        if connection.writer.encode_head(head, self.body.framing().size()).is_err() {
            return Err(self.report_failure(&mut attempt, AttemptResult::RefusedBeforeWrite));
        }
        if self.claim.as_ref().is_some_and(|claim| !claim.is_valid()) {
            return Err(NextStep::EndCall(self.not_run(NotRunReason::ClaimUnavailable)));
        }
        let repeat_protection = self.repeat_protection();
        // A copy that answers takes the place of the attempt, whose own time then begins later.
        let started = Instant::now();
        let progress = Progress::default();
        let mut failed = Vec::new();
        let may_run_copy = shared.options.runs_copies
            && self.call.idempotent
            && self.call.replayable
            && self.body.framing().is_empty()
            && self.claim.is_none()
            && !route.is_relay()
            && !shared.options.is_relay;
        let request = CopyRequest {
            shared,
            call: &self.call,
            head: self.head,
            peer: self.peer,
            id: self.id.as_ref(),
            identity: &self.identity,
        };
        let exchange = Exchange {
            shared,
            call: &self.call,
            head: self.head,
            id: self.id.as_ref(),
            body: &mut self.body,
            reader: &mut self.reader,
            writer: self.writer,
            attempt: &mut attempt,
            progress: &progress,
            race: may_run_copy.then(|| CopyRace::offer(request)),
            failed: &mut failed,
            repeat_protection,
            continues_without_caller: self.claim.is_some(),
            is_relay: route.is_relay(),
        };
        let mut ended = exchange.run(&mut connection).await;
        self.attempt_time += started.elapsed();
        if progress.has_started.get() && matches!(ended, ExchangeEnd::CallerFailed(_) | ExchangeEnd::DeadlineExceeded) {
            let is_malformed =
                matches!(ended, ExchangeEnd::CallerFailed(CallerError::MalformedBody | CallerError::BodyTooLarge));
            let reason = if is_malformed { UnknownReason::ConnectionLost } else { UnknownReason::Timeout };
            self.may_have_run = Some(reason);
        }
        self.release_connection(connection, &mut ended);
        for (server, address, result) in failed {
            self.record_failure(result);
            // A request that was answered is not under suspicion.
            if result == AttemptResult::BrokenAfterWrite && matches!(ended, ExchangeEnd::Failed(_)) {
                self.check_crash(&server, address).await;
            }
        }
        match ended {
            ExchangeEnd::Failed(result) => {
                if result == AttemptResult::BrokenAfterWrite && !route.is_relay() {
                    let (server, address) = (attempt.server().clone(), attempt.address());
                    self.check_crash(&server, address).await;
                }
                Err(self.report_failure(&mut attempt, result))
            }
            ended => Ok(ended),
        }
    }

    /// Authenticates the request again if the configuration has changed since it was authenticated. A call may have waited
    /// for a server while the key was removed.
    fn authenticate_again(&mut self) -> Result<(), NotRunReason> {
        let routing = self.shared.routing();
        if Rc::ptr_eq(&routing, &self.routing) {
            return Ok(());
        }
        let dialect = &self.shared.options.dialect;
        let identity = routing.authenticate(self.head, dialect).map_err(|UnknownKey| NotRunReason::UnknownKey)?;
        if !identity.is_same_customer(&self.identity) {
            // The call was admitted as one of another customer. A repeated request is admitted by the new rules.
            return Err(NotRunReason::ConfigurationNotCurrent);
        }
        (self.identity, self.routing) = (identity, routing);
        Ok(())
    }

    /// Opens or reuses a connection. `None` means that the server refused it.
    async fn connect(&mut self, attempt: &mut Attempt, route: &AttemptRoute) -> Result<Option<Connection>, NextStep> {
        let is_fresh = route.fresh_connection || !self.call.idempotent;
        self.make_room(route.address);
        select! {
            biased;
            opened = async {
                self.shared.pool.room().await;
                self.shared.pool.acquire(route.address, is_fresh).await
            } => {
                if !route.is_relay() && opened.as_ref().map_or(true, |connection| connection.is_new) {
                    self.shared.dispatcher.connection_attempted(route.target.clone(), opened.is_ok());
                }
                Ok(opened.ok())
            }
            error = self.reader.wait_for_disconnect() => {
                attempt.finish(AttemptResult::CallerLeft);
                Err(NextStep::EndCall(CallEnd::CallerFailed(error)))
            }
            () = sleep_until(self.call.deadline.into()) => {
                attempt.finish(AttemptResult::RefusedBeforeWrite);
                Err(NextStep::EndCall(self.not_run(NotRunReason::Deadline)))
            }
        }
    }

    /// Records whether a failed attempt may have run the request, and asks for another decision.
    fn report_failure(&mut self, attempt: &mut Attempt, result: AttemptResult) -> NextStep {
        self.record_failure(result);
        let decision = self.shared.dispatcher.attempt_failed(attempt.end(result));
        NextStep::AwaitDecision(PendingDecision::new(self.shared.dispatcher.clone(), self.call.id, decision))
    }

    /// Records whether a failed attempt may have run the request.
    fn record_failure(&mut self, result: AttemptResult) {
        match result {
            AttemptResult::BrokenAfterWrite | AttemptResult::ServerError => {
                self.may_have_run = Some(UnknownReason::ConnectionLost);
            }
            AttemptResult::BadAnswer => self.may_have_run = Some(UnknownReason::BadAnswer),
            _ => {}
        }
    }

    /// Sends `100 Continue` to a caller that waits for it before it sends its body.
    pub(crate) async fn send_continue(&mut self) -> Result<(), CallEnd> {
        let is_expected = std::mem::take(&mut self.expects_continue) && !self.body.framing().is_empty();
        if is_expected && self.reader.is_idle() {
            self.writer.encode_continue();
            self.writer.flush_with_timeout().await.map_err(|_| CallEnd::CallerFailed(CallerError::Disconnected))?;
        }
        Ok(())
    }
}
