//! A session: the requests on one caller's connection. Idempotent requests without a body are handled concurrently, and
//! all others one after the other.

use {
    crate::{
        call::{CallHandler, ConnectionAction},
        caller::{self, CallerError, CallerReader, Incoming},
        caller_writer::CallerWriter,
        client_guard::ClientGuard,
        memory_budget::ClientState,
        options::BUFFERED_BODY_LIMIT,
        pipeline::{Pipeline, PipelinedRequest},
        reply::Reply,
        request::{self, ParsedRequest, Refusal},
        request_source::RequestSource,
        shared::{Phase, Shared},
    },
    actix_http::{Method, Request, Version},
    actix_rt::time::timeout,
    bytes::Bytes,
    hemlockford_core::outcome::{NotRunReason, Outcome},
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, select},
};

/// Time for which the rest of an unneeded body is read after its response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for the caller to read its response and close the connection if its body was not read to the end or a request
/// may be in transit. Closing earlier would reset the connection, and the reset can overtake the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of waiting for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitResult {
    /// The first bytes of a request have arrived.
    Request,
    /// The caller has closed the connection or exceeded the idle timeout.
    Closed,
    /// No request arrived within the grace time of a stop.
    Stopped,
}

/// A request whose head was read, or the reason why there is none.
enum NextRequest {
    /// It is answered before another one is read.
    Exclusive {
        request: Request,
        parsed: Result<ParsedRequest, Refusal>,
        start: Instant,
    },
    /// It may be handled together with those behind it.
    Pipelined(PipelinedRequest),
    Closed,
    Invalid(Refusal),
}

/// One caller's connection.
pub(crate) struct Session {
    shared: Rc<Shared>,
    reader: CallerReader,
    writer: CallerWriter,
    peer: SocketAddr,
    client: Rc<ClientGuard>,
    /// Reason for which every request on this connection is refused, if any.
    refusal: Option<NotRunReason>,
}

impl Session {
    pub(crate) fn new(
        shared: Rc<Shared>,
        io: TcpStream,
        peer: SocketAddr,
        refusal: Option<NotRunReason>,
        client: Rc<ClientGuard>,
    ) -> Self {
        let (reader, writer) = caller::split(io, shared.http_config.clone(), shared.options.clone(), client.clone());
        Self { shared, reader, writer, peer, client, refusal }
    }

    /// Serves requests until the connection ends.
    pub(crate) async fn run(mut self) {
        let mut idle_limit = self.shared.limits().header_timeout.min(self.shared.options.head_timeout);
        // A request that was read while those before it were being handled.
        let mut next = None;
        loop {
            let request = match next.take() {
                Some(request) => request,
                None => {
                    match self.await_request(idle_limit).await {
                        WaitResult::Request => {}
                        WaitResult::Closed => return self.close().await,
                        WaitResult::Stopped => return self.close_idle().await,
                    }
                    let incoming = self.reader.read_head(&self.shared.limits()).await;
                    self.classify(incoming)
                }
            };
            let action = match request {
                NextRequest::Exclusive { request, parsed, start } => self.serve(request, parsed, start).await,
                NextRequest::Pipelined(first) => {
                    let action;
                    (action, next) = self.serve_pipelined(first).await;
                    action
                }
                NextRequest::Closed => return,
                NextRequest::Invalid(refusal) => self.refuse(refusal, false, true).await,
            };
            match action {
                ConnectionAction::KeepOpen => {}
                ConnectionAction::Close => return self.close().await,
                ConnectionAction::Reset => return self.writer.reset(),
            }
            // The body of a request that was read already is still needed.
            if next.is_none() && !self.reader.is_body_complete() {
                let _ = timeout(DRAIN_TIMEOUT, self.reader.drain(BUFFERED_BODY_LIMIT)).await;
                if !self.reader.is_body_complete() {
                    return self.close().await;
                }
            }
            self.client.set_state(ClientState::Idle);
            idle_limit = self.shared.limits().idle_timeout.min(self.shared.options.caller_idle_timeout);
        }
    }

    /// Waits until the first bytes of a request arrive.
    async fn await_request(&mut self, idle_limit: Duration) -> WaitResult {
        let arrived =
            |waited: Result<(), CallerError>| if waited.is_ok() { WaitResult::Request } else { WaitResult::Closed };
        let grace = self.shared.options.stop_grace;
        if self.shared.phase() != Phase::Closing {
            select! {
                biased;
                waited = timeout(idle_limit, self.reader.wait()) => return waited.map_or(WaitResult::Closed, arrived),
                () = self.shared.closing() => {}
            }
        }
        // A request may be in transit. It is refused with a response instead of a closed connection.
        timeout(grace, self.reader.wait()).await.map_or(WaitResult::Stopped, arrived)
    }

    /// Parses a request and determines whether it may be handled together with those behind it. That is not the case
    /// for a request that may not be repeated, as it must be known to be unread if a response before it closes the
    /// connection.
    fn classify(&self, incoming: Incoming) -> NextRequest {
        let request = match incoming {
            Incoming::Request(request) => request,
            Incoming::Closed => return NextRequest::Closed,
            Incoming::Invalid(refusal) => return NextRequest::Invalid(refusal),
        };
        let start = Instant::now();
        if let Some(reason) = self.refuses_all() {
            return NextRequest::Exclusive { request, parsed: Err(Refusal::new(reason)), start };
        }
        let (routing, id) = (self.shared.routing(), self.shared.next_call_id());
        let mut parsed = request::parse(request.head(), &routing, &self.shared.options, id, start);
        if let (Ok(parsed), Some(end)) = (&mut parsed, self.shared.calls_end()) {
            // The call is rejected at once if no server is expected to answer it by then.
            parsed.call.deadline = parsed.call.deadline.min(end);
        }
        match parsed {
            Ok(parsed) if parsed.is_repeatable_without_body() && request.head().version == Version::HTTP_11 => {
                let codec = self.reader.codec();
                NextRequest::Pipelined(PipelinedRequest { request, parsed, codec, start })
            }
            parsed => NextRequest::Exclusive { request, parsed, start },
        }
    }

    /// Handles a request together with those of the same kind behind it. Returns the request that ends the series, if
    /// it was read already.
    async fn serve_pipelined(&mut self, first: PipelinedRequest) -> (ConnectionAction, Option<NextRequest>) {
        let Some(half) = self.writer.take_half() else { return (ConnectionAction::Reset, None) };
        let mut pipeline =
            Pipeline::new(self.shared.clone(), self.reader.sequence().clone(), self.peer, half, self.client.clone());
        pipeline.start(first);
        let (mut action, mut next) = (ConnectionAction::KeepOpen, None);
        while !pipeline.is_empty() && action == ConnectionAction::KeepOpen {
            let may_read = next.is_none() && pipeline.may_read();
            let limits = self.shared.limits();
            let incoming = select! {
                biased;
                finished = pipeline.finish_first() => {
                    action = finished;
                    continue;
                }
                incoming = self.reader.read_behind(&limits, may_read) => incoming,
            };
            match self.classify(incoming) {
                NextRequest::Pipelined(request) if pipeline.may_start() => pipeline.start(request),
                NextRequest::Closed => action = ConnectionAction::Reset,
                other => next = Some(other),
            }
        }
        if action != ConnectionAction::KeepOpen {
            pipeline.cancel().await;
        }
        match pipeline.into_half() {
            Some(half) => self.writer.set_half(half),
            None => action = ConnectionAction::Reset,
        }
        (action, next)
    }

    async fn serve(
        &mut self,
        req: Request,
        parsed: Result<ParsedRequest, Refusal>,
        start: Instant,
    ) -> ConnectionAction {
        self.writer.begin(self.reader.codec());
        let is_head = *req.method() == Method::HEAD;
        // The request may have waited behind others.
        if let Some(reason) = self.refuses_all() {
            return self.refuse(Refusal::new(reason), is_head, true).await;
        }
        match parsed {
            Ok(parsed) => {
                let caller = (RequestSource::Connection(&mut self.reader), &mut self.writer);
                CallHandler::new(&self.shared, caller, req.head(), self.peer, start, parsed).run().await
            }
            // After a malformed head the start of the next request is uncertain.
            Err(refusal) => {
                let must_close = refusal.reason == NotRunReason::BadRequest;
                self.refuse(refusal, is_head, must_close).await
            }
        }
    }

    /// Returns why every request is refused now, if that is the case.
    fn refuses_all(&self) -> Option<NotRunReason> {
        let is_closing = self.shared.phase() == Phase::Closing;
        if is_closing { Some(NotRunReason::ShuttingDown) } else { self.refusal }
    }

    async fn refuse(&mut self, refusal: Refusal, is_head: bool, must_close: bool) -> ConnectionAction {
        let outcome = Outcome::NotRun(refusal.reason);
        self.shared.count_refusal(outcome);
        if must_close || self.reader.has_long_remainder(BUFFERED_BODY_LIMIT) {
            self.writer.close_after();
        } else if self.shared.is_stopping() {
            self.writer.close_after_last();
        }
        let options = &self.shared.options;
        let reply = Reply::outcome(outcome, refusal.status, options.retry_after, refusal.detail);
        if reply.encode(&options.dialect, &mut self.writer, is_head).is_err()
            || self.writer.flush_with_timeout().await.is_err()
        {
            return ConnectionAction::Reset;
        }
        if self.writer.keep_alive() { ConnectionAction::KeepOpen } else { ConnectionAction::Close }
    }

    /// Closes an idle connection of an instance that stops. A request may cross the close, and its caller could not
    /// tell from a mere end of file whether it ran. The response sent in advance (RFC 9110, section 15.5.9) states
    /// that it did not, and no later request on this connection is served. It has no body, so that it is valid for
    /// any method.
    async fn close_idle(&mut self) {
        self.writer.close_after();
        let options = &self.shared.options;
        let reply = Reply {
            status: 408,
            outcome: Outcome::NotRun(NotRunReason::ShuttingDown),
            retry_after: Some(options.retry_after),
            repeat_protection: None,
            content_type: None,
            body: Bytes::new(),
        };
        if reply.encode(&options.dialect, &mut self.writer, false).is_err()
            || self.writer.flush_with_timeout().await.is_err()
        {
            return;
        }
        self.writer.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, self.reader.discard_until_closed()).await;
    }

    async fn close(&mut self) {
        self.writer.shutdown().await;
        if !self.reader.is_body_complete() || !self.reader.is_idle() {
            let _ = timeout(LINGER_TIMEOUT, self.reader.discard_until_closed()).await;
        }
    }
}
