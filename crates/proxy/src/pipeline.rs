//! Idempotent requests that a caller sends before it has the responses to earlier ones.
//!
//! The requests are handled concurrently. Their responses are written in the order of the requests: the writer of each
//! response receives the sending half of the connection from the one before it.

use {
    crate::{
        call::{CallHandler, ConnectionAction},
        caller::SharedCodec,
        caller_writer::CallerWriter,
        client_guard::ClientGuard,
        request::ParsedRequest,
        request_sequence::RequestSequence,
        request_source::RequestSource,
        shared::Shared,
    },
    actix_http::Request,
    actix_rt::time::timeout,
    futures_util::{
        StreamExt,
        future::{FutureExt, LocalBoxFuture},
        stream::FuturesOrdered,
    },
    std::{collections::VecDeque, net::SocketAddr, rc::Rc, time::Instant},
    tokio::{
        net::tcp::OwnedWriteHalf,
        sync::{oneshot, watch},
    },
};

/// Maximum number of requests of one connection that are handled concurrently. Each may hold one buffer of its
/// response.
pub(crate) const MAX_PIPELINED: usize = 16;

/// A request whose head was parsed.
pub(crate) struct PipelinedRequest {
    pub(crate) request: Request,
    pub(crate) parsed: ParsedRequest,
    pub(crate) codec: SharedCodec,
    pub(crate) start: Instant,
}

/// Result of a request: what happens to the connection, and its sending half unless it was lost.
type Finished = (ConnectionAction, Option<OwnedWriteHalf>);

/// The requests of one connection that are handled concurrently.
pub(crate) struct Pipeline {
    shared: Rc<Shared>,
    sequence: Rc<RequestSequence>,
    peer: SocketAddr,
    calls: FuturesOrdered<LocalBoxFuture<'static, Finished>>,
    /// For each call, the channel by which it receives the sending half.
    turns: VecDeque<oneshot::Sender<OwnedWriteHalf>>,
    /// The sending half while no call has it.
    half: Option<OwnedWriteHalf>,
    disconnected: watch::Sender<bool>,
    client: Rc<ClientGuard>,
}

impl Pipeline {
    pub(crate) fn new(
        shared: Rc<Shared>,
        sequence: Rc<RequestSequence>,
        peer: SocketAddr,
        half: OwnedWriteHalf,
        client: Rc<ClientGuard>,
    ) -> Self {
        Self {
            shared,
            sequence,
            peer,
            calls: FuturesOrdered::new(),
            turns: VecDeque::new(),
            half: Some(half),
            disconnected: watch::Sender::new(false),
            client,
        }
    }

    /// Returns whether no request is being handled.
    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns whether another request may be read.
    pub(crate) fn may_read(&self) -> bool {
        self.calls.len() < MAX_PIPELINED
            && !self.sequence.is_closing()
            && !self.sequence.is_unread()
            && self.may_start()
    }

    /// Returns whether a request that was read may be sent to a server before the responses to those before it are
    /// written.
    pub(crate) fn may_start(&self) -> bool {
        !self.sequence.is_streaming()
    }

    /// Starts the handling of a request.
    pub(crate) fn start(&mut self, req: PipelinedRequest) {
        let (turn, half) = oneshot::channel();
        let mut writer = CallerWriter::pipelined(half, req.codec.clone(), self.sequence.clone(), self.client.clone());
        if !req.codec.borrow().keep_alive() {
            writer.close_after();
        }
        let source = RequestSource::Pipelined(self.disconnected.subscribe());
        let (shared, peer) = (self.shared.clone(), self.peer);
        let call = async move {
            let PipelinedRequest { request, parsed, start, .. } = req;
            let handler = CallHandler::new(&shared, (source, &mut writer), request.head(), peer, start, parsed);
            let action = handler.run().await;
            let is_written = action == ConnectionAction::Reset
                || timeout(shared.options.body_idle_timeout, writer.flush()).await.is_ok_and(|written| written.is_ok());
            let action = if is_written { action } else { ConnectionAction::Reset };
            (action, writer.finish().await)
        };
        self.calls.push_back(call.boxed_local());
        self.turns.push_back(turn);
        self.give_turn();
    }

    /// Waits until the response to the first request is written. Unless the connection stays open, the other requests
    /// must be cancelled. Dropping the future loses nothing.
    pub(crate) async fn finish_first(&mut self) -> ConnectionAction {
        let Some((action, half)) = self.calls.next().await else { return ConnectionAction::KeepOpen };
        self.half = half;
        match (action, &self.half) {
            (ConnectionAction::KeepOpen, Some(_)) => self.give_turn(),
            (ConnectionAction::KeepOpen, None) => return ConnectionAction::Reset,
            (ConnectionAction::Close | ConnectionAction::Reset, _) => {}
        }
        action
    }

    /// Cancels all requests because the caller has disconnected or the connection ends.
    pub(crate) async fn cancel(&mut self) {
        self.turns.clear();
        self.disconnected.send_replace(true);
        while let Some((_, half)) = self.calls.next().await {
            self.half = self.half.take().or(half);
        }
    }

    /// Returns the sending half when no request is being handled any more.
    pub(crate) fn into_half(self) -> Option<OwnedWriteHalf> {
        self.half
    }

    /// Hands the sending half to the first call that has not had it.
    fn give_turn(&mut self) {
        if let Some(half) = self.half.take() {
            match self.turns.pop_front() {
                // A call keeps its receiver until it has ended.
                Some(turn) => self.half = turn.send(half).err(),
                None => self.half = Some(half),
            }
        }
    }
}
