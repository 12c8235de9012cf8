//! Second copies of running calls, at another server.

use {
    crate::{
        attempt::Attempt,
        connection::{BufferedBody, Connection, ResponseError},
        copy_offer::CopyOffer,
        credentials::Identity,
        dispatcher::CopyTarget,
        exchange::MAX_STREAM_HOLD,
        framing::Framing,
        headers::{self, OutgoingRequest},
        options::BUFFER_LIMIT,
        response_check,
        shared::Shared,
    },
    actix_http::{RequestHead, ResponseHead, body::BodySize, header::HeaderValue},
    actix_rt::time::sleep,
    bytes::Bytes,
    hemlockford_core::dispatch::{AttemptResult, Call},
    std::{
        cell::Cell,
        future::{Future, pending},
        net::SocketAddr,
        pin::Pin,
        time::Instant,
    },
    tokio::select,
};

/// The request of a call without a body.
#[derive(Clone, Copy)]
pub(crate) struct CopyRequest<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) call: &'a Call,
    pub(crate) head: &'a RequestHead,
    pub(crate) peer: SocketAddr,
    pub(crate) id: Option<&'a HeaderValue>,
    pub(crate) identity: &'a Identity,
}

/// A second copy that runs beside the first attempt once the dispatcher asks for it. Dropping it cancels the copy and
/// closes its connection.
pub(crate) struct CopyRace<'a> {
    request: CopyRequest<'a>,
    offer: Option<CopyOffer>,
    copy: Option<Pin<Box<dyn Future<Output = CopyEnd> + 'a>>>,
}

/// The end of a copy, whose attempt is not reported yet.
pub(crate) enum CopyEnd {
    /// The head of a usable response has arrived, and all of it if it is short.
    Answered(Box<CopyAnswer>),
    Failed(Box<Attempt>, AttemptResult),
}

/// A response that can be forwarded to the caller.
pub(crate) struct CopyAnswer {
    pub(crate) attempt: Attempt,
    pub(crate) connection: CopyConnection,
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    pub(crate) parts: Vec<Bytes>,
    pub(crate) is_whole: bool,
}

/// The connection of a copy, which is closed unless its exchange is complete.
pub(crate) struct CopyConnection(Option<Connection>);

impl CopyConnection {
    pub(crate) fn get_mut(&mut self) -> Option<&mut Connection> {
        self.0.as_mut()
    }
}

impl Drop for CopyConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.0.take() {
            connection.release();
        }
    }
}

impl<'a> CopyRace<'a> {
    /// Offers the dispatcher to run a copy.
    pub(crate) fn offer(request: CopyRequest<'a>) -> Self {
        Self { request, offer: Some(CopyOffer::new(request.shared.dispatcher.clone(), request.call.id)), copy: None }
    }

    /// Returns whether a copy is running.
    pub(crate) fn is_running(&self) -> bool {
        self.copy.is_some()
    }

    /// Waits for the end of the copy, if there will be one. Cancelling the future loses nothing.
    pub(crate) async fn next(race: &mut Option<Self>) -> CopyEnd {
        let Some(race) = race else { return pending().await };
        loop {
            if let Some(copy) = &mut race.copy {
                let end = copy.await;
                race.copy = None;
                return end;
            }
            let target = match &mut race.offer {
                Some(offer) => offer.wait().await,
                None => pending().await,
            };
            race.offer = None;
            let request = race.request;
            if let Some(target) = target {
                race.copy = Some(Box::pin(request.run(target)));
            }
        }
    }

    /// Withdraws the offer; returns whether a copy is running, which may still answer the call.
    pub(crate) fn withdraw_offer(race: &mut Option<Self>) -> bool {
        let Some(running) = race else { return false };
        running.offer = None;
        running.is_running()
    }
}

impl<'a> CopyRequest<'a> {
    async fn run(self, target: CopyTarget) -> CopyEnd {
        let mut attempt = Attempt::of_copy(self.shared, self.call.id, target.server.clone(), target.address);
        match self.exchange(&target, &mut attempt).await {
            Ok((connection, head, framing, parts, is_whole)) => {
                CopyEnd::Answered(Box::new(CopyAnswer { attempt, connection, head, framing, parts, is_whole }))
            }
            Err(result) => CopyEnd::Failed(Box::new(attempt), result),
        }
    }

    /// Sends the request and reads the head of the response, and all of a short response.
    async fn exchange(
        self,
        target: &CopyTarget,
        attempt: &mut Attempt,
    ) -> Result<(CopyConnection, ResponseHead, Framing, Vec<Bytes>, bool), AttemptResult> {
        let shared = self.shared;
        let opened = shared.pool.acquire(target.address, false).await;
        if opened.as_ref().map_or(true, |connection| connection.is_new) {
            shared.dispatcher.connection_attempted(target.server.clone(), opened.is_ok());
        }
        let connection = opened.map_err(|_| AttemptResult::RefusedBeforeWrite)?;
        let is_first_exchange = connection.is_new;
        let mut owner = CopyConnection(Some(connection));
        let Some(connection) = owner.get_mut() else { return Err(AttemptResult::RefusedBeforeWrite) };
        let outgoing = OutgoingRequest {
            from: self.head,
            caller: self.peer,
            server: &target.server,
            address: target.address,
            id: self.id,
            identity: self.identity,
            remaining: self.call.deadline.saturating_duration_since(Instant::now()),
            depth: self.call.depth,
            pass_allowance: false,
            want_report: false,
            relay_attempts: None,
            change: 0,
        };
        let dialect = &shared.options.dialect;
        let head = headers::request_head(dialect, &outgoing);
        connection.writer.encode_head(head, BodySize::None).map_err(|_| AttemptResult::RefusedBeforeWrite)?;
        let has_started = Cell::new(false);
        // The server may have responded before it closed the connection; its response is still read.
        let _ = connection.writer.flush(&has_started).await;
        connection.writer.finish();
        let server = &mut connection.reader;
        let response = server.read_head(&self.head.method, dialect.close_delimited).await;
        let (head, mut framing) = match response {
            _ if !has_started.get() => return Err(AttemptResult::RefusedBeforeWrite),
            Ok(response) => response,
            Err(ResponseError::ConnectionLost) => return Err(AttemptResult::BrokenAfterWrite),
            Err(ResponseError::Invalid) => return Err(AttemptResult::BadAnswer),
        };
        response_check::check_response(shared, server, attempt, &head, self.id, is_first_exchange)?;
        if head.status.is_server_error() {
            return Err(AttemptResult::ServerError);
        }
        let mut parts = Vec::new();
        let may_be_short = match framing {
            Framing::Sized(length) => length <= BUFFER_LIMIT as u64,
            Framing::Chunked | Framing::UntilClose => true,
            Framing::Empty(_) => false,
        };
        let mut is_whole = framing.is_empty();
        if may_be_short {
            let buffered = select! {
                biased;
                buffered = server.buffer_body(&mut parts, BUFFER_LIMIT) => buffered,
                () = sleep(MAX_STREAM_HOLD), if framing == Framing::Chunked => BufferedBody::TooLong,
            };
            match buffered {
                BufferedBody::Truncated => return Err(AttemptResult::BrokenAfterWrite),
                BufferedBody::Complete => {
                    is_whole = true;
                    if framing == Framing::UntilClose {
                        framing = Framing::of_complete(&parts);
                    }
                }
                BufferedBody::TooLong => {}
            }
        }
        Ok((owner, head, framing, parts, is_whole))
    }
}
