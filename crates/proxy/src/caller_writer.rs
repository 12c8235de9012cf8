//! Responses written to an accepted connection.

use {
    crate::{
        caller::SharedCodec, client_guard::ClientGuard, memory_budget::ClientState, options::BUFFER_LIMIT,
        request_sequence::RequestSequence,
    },
    actix_codec::Encoder,
    actix_http::{Response, body::BodySize, h1::Message},
    actix_rt::time::timeout,
    bytes::{Bytes, BytesMut},
    futures_util::FutureExt,
    std::{io, rc::Rc, time::Duration},
    tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf, sync::oneshot},
};

/// Time within which a caller must accept a short response; most of them fit into the socket's buffer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The sending half of a connection, which the writers of pipelined responses hand on in the order of the requests.
enum WriteHalf {
    Held(OwnedWriteHalf),
    /// The writer of the response before this one holds it.
    Awaited(oneshot::Receiver<OwnedWriteHalf>),
    /// It was handed on, or lost together with the connection.
    Gone,
}

/// Writes the responses to one caller.
pub(crate) struct CallerWriter {
    half: WriteHalf,
    codec: SharedCodec,
    out: BytesMut,
    must_close: bool,
    has_started: bool,
    is_close_delimited: bool,
    /// Set while a response without a declared length is incomplete, and when the connection is to be reset.
    must_reset: bool,
    continues_without_caller: bool,
    is_discarding: bool,
    is_blocked: bool,
    sequence: Rc<RequestSequence>,
    /// Number of the request that is answered.
    request: u64,
    client: Rc<ClientGuard>,
    /// Encoded bytes as the budget knows them.
    held: usize,
}

impl CallerWriter {
    pub(crate) fn new(
        half: OwnedWriteHalf,
        codec: SharedCodec,
        sequence: Rc<RequestSequence>,
        client: Rc<ClientGuard>,
    ) -> Self {
        Self::with_half(WriteHalf::Held(half), codec, sequence, client)
    }

    /// Creates the writer of a pipelined response. It encodes the response immediately and writes it when it receives
    /// the sending half.
    pub(crate) fn pipelined(
        half: oneshot::Receiver<OwnedWriteHalf>,
        codec: SharedCodec,
        sequence: Rc<RequestSequence>,
        client: Rc<ClientGuard>,
    ) -> Self {
        Self::with_half(WriteHalf::Awaited(half), codec, sequence, client)
    }

    fn with_half(half: WriteHalf, codec: SharedCodec, sequence: Rc<RequestSequence>, client: Rc<ClientGuard>) -> Self {
        Self {
            half,
            request: sequence.last_request(),
            codec,
            out: BytesMut::new(),
            must_close: false,
            has_started: false,
            is_close_delimited: false,
            must_reset: false,
            continues_without_caller: false,
            is_discarding: false,
            is_blocked: false,
            sequence,
            client,
            held: 0,
        }
    }

    /// Returns the connection's part in the budget of the process.
    pub(crate) fn client(&self) -> &Rc<ClientGuard> {
        &self.client
    }

    fn count_encoded(&mut self) {
        let before = std::mem::replace(&mut self.held, self.out.len());
        self.client.hold(before, self.held);
    }

    /// Takes the sending half away, so that the writers of pipelined responses can use it.
    pub(crate) fn take_half(&mut self) -> Option<OwnedWriteHalf> {
        match std::mem::replace(&mut self.half, WriteHalf::Gone) {
            WriteHalf::Held(half) => Some(half),
            WriteHalf::Awaited(_) | WriteHalf::Gone => None,
        }
    }

    /// Returns the sending half after pipelined responses.
    pub(crate) fn set_half(&mut self, half: OwnedWriteHalf) {
        self.half = WriteHalf::Held(half);
    }

    /// Waits until the responses before this one are written. Returns the sending half unless the connection has
    /// ended.
    async fn acquire_half(&mut self) -> io::Result<&mut OwnedWriteHalf> {
        if let WriteHalf::Awaited(rx) = &mut self.half {
            // Waiting for the responses before this one is no fault of the server either.
            self.is_blocked = true;
            let received = rx.await;
            self.is_blocked = false;
            self.half = received.map_or(WriteHalf::Gone, WriteHalf::Held);
        }
        match &mut self.half {
            WriteHalf::Held(half) => Ok(half),
            WriteHalf::Awaited(_) | WriteHalf::Gone => Err(io::ErrorKind::NotConnected.into()),
        }
    }

    /// Waits until the responses before this one are written, and hands the sending half on.
    pub(crate) async fn finish(mut self) -> Option<OwnedWriteHalf> {
        self.acquire_half().await.ok()?;
        self.take_half()
    }

    /// Returns whether another request of the caller was read or has begun to arrive.
    pub(crate) fn is_followed(&self) -> bool {
        self.sequence.is_followed(self.request)
    }

    /// Sets whether this response is being forwarded although its end has not arrived.
    pub(crate) fn set_streaming(&self, is_streaming: bool) {
        self.sequence.set_streaming(is_streaming);
    }

    /// Returns whether the responses before this one are not written yet, so that nothing of this one is.
    pub(crate) fn is_awaiting_turn(&mut self) -> bool {
        if let WriteHalf::Awaited(rx) = &mut self.half
            && let Ok(half) = rx.try_recv()
        {
            self.half = WriteHalf::Held(half);
        }
        matches!(self.half, WriteHalf::Awaited(_))
    }

    /// Discards an incomplete response of which nothing was written, so that another one can replace it. Returns
    /// whether that was possible.
    pub(crate) fn discard_unwritten(&mut self) -> bool {
        let is_unwritten = self.is_awaiting_turn();
        if is_unwritten {
            self.out.clear();
            self.count_encoded();
            (self.has_started, self.must_reset, self.is_close_delimited) = (false, false, false);
        }
        is_unwritten
    }

    /// Lets the response be read to its end even if the caller is no longer there to receive it.
    pub(crate) fn continue_without_caller(&mut self) {
        self.continues_without_caller = true;
    }

    /// Returns whether a write is waiting for the caller to read.
    pub(crate) fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Returns whether the connection may carry another request.
    pub(crate) fn keep_alive(&self) -> bool {
        !self.must_close && !self.is_discarding && self.codec.borrow().keep_alive()
    }

    /// Closes the connection after the current response. The head announces this if it is not encoded yet.
    pub(crate) fn close_after(&mut self) {
        self.must_close = true;
        self.sequence.close();
    }

    /// Closes the connection after the current response, unless a next request has arrived, which is served first.
    pub(crate) fn close_after_last(&mut self) {
        if !self.sequence.is_followed(self.request) {
            self.close_after();
        }
    }

    /// Encodes `100 Continue`, which lets the caller send its body.
    pub(crate) fn encode_continue(&mut self) {
        self.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Resets the state for the responses to a new request, whose codec is given.
    pub(crate) fn begin(&mut self, codec: SharedCodec) {
        self.codec = codec;
        self.request = self.sequence.last_request();
        self.has_started = false;
        self.continues_without_caller = false;
    }

    /// Returns whether the head of the final response was encoded.
    pub(crate) fn has_started(&self) -> bool {
        self.has_started
    }

    /// Encodes the head of a response.
    pub(crate) fn encode_head(&mut self, mut response: Response<()>, size: BodySize) -> io::Result<()> {
        self.has_started = true;
        self.must_reset = size == BodySize::Stream;
        if self.must_close {
            response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
        }
        self.codec.borrow_mut().encode(Message::Item((response, size)), &mut self.out)
    }

    /// Encodes the head of a response that ends with the connection, for an HTTP/1.0 caller, which does not support
    /// chunked bodies. The encoder would send chunks regardless of the version.
    pub(crate) fn encode_close_delimited_head(&mut self, response: Response<()>) -> io::Result<()> {
        self.close_after();
        self.encode_head(response, BodySize::None)?;
        self.is_close_delimited = true;
        self.must_reset = true;
        Ok(())
    }

    /// Encodes a part of a body; `None` marks its end.
    pub(crate) fn encode_part(&mut self, part: Option<Bytes>) -> io::Result<()> {
        let is_end = part.is_none();
        if self.is_close_delimited {
            self.out.extend(part);
        } else {
            self.codec.borrow_mut().encode(Message::Chunk(part), &mut self.out)?;
        }
        self.must_reset &= !is_end;
        self.count_encoded();
        Ok(())
    }

    /// Returns whether enough data is encoded that it should be written.
    pub(crate) fn is_full(&self) -> bool {
        self.out.len() >= BUFFER_LIMIT
    }

    /// Writes the encoded data.
    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        self.acquire_half().await?;
        while !self.out.is_empty() && !self.is_discarding {
            let WriteHalf::Held(half) = &mut self.half else { return Err(io::ErrorKind::NotConnected.into()) };
            let written = match half.write_buf(&mut self.out).now_or_never() {
                Some(written) => written,
                None => {
                    self.is_blocked = true;
                    self.sequence.set_unread(true);
                    self.client.set_state(ClientState::Response);
                    let written = half.write_buf(&mut self.out).await;
                    self.is_blocked = false;
                    self.sequence.set_unread(false);
                    self.client.set_state(ClientState::Running);
                    written
                }
            };
            self.client.moved(*written.as_ref().unwrap_or(&0));
            match written {
                Ok(0) | Err(_) if self.continues_without_caller => self.is_discarding = true,
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(error) => return Err(error),
            }
        }
        self.out.clear();
        self.count_encoded();
        Ok(())
    }

    /// Writes the encoded data; fails if the caller does not read it within [`WRITE_TIMEOUT`] after the responses
    /// before it.
    pub(crate) async fn flush_with_timeout(&mut self) -> io::Result<()> {
        self.acquire_half().await?;
        timeout(WRITE_TIMEOUT, self.flush()).await?
    }

    /// Closes the sending half.
    pub(crate) async fn shutdown(&mut self) {
        // The connection is being closed, so a failure has no further consequence.
        if let WriteHalf::Held(half) = &mut self.half {
            let _ = half.shutdown().await;
        }
    }

    /// Ends the connection with a reset, so that a truncated response is never mistaken for a complete one, not even
    /// by a caller that treats the end of the connection as the end of the response.
    pub(crate) fn reset(mut self) {
        self.must_reset = true;
    }
}

impl Drop for CallerWriter {
    fn drop(&mut self) {
        self.client.hold(self.held, 0);
        if self.must_reset
            && let Some(half) = self.take_half()
        {
            let _ = half.as_ref().set_zero_linger();
            // Dropping the half would close the connection gracefully first.
            half.forget();
        }
    }
}
