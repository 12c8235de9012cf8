//! Request bodies, which can be sent more than once if they are buffered.

use {
    crate::{
        caller::CallerError, client_guard::ClientGuard, connection::ServerWriter, counters::ProxyCounters,
        digest::Digest, fingerprint::BodyDigest, framing::Framing, options::BUFFERED_BODY_LIMIT,
        request_source::RequestSource,
    },
    bytes::{Bytes, BytesMut},
    hemlockford_core::quarantine::RequestDigest,
    std::{cell::Cell, rc::Rc},
    tokio::select,
};

/// Size up to which the parts of a buffered body are joined. A part keeps the whole buffer that it was read into, which
/// may be much longer.
const JOINED_PART_BYTES: usize = 8 * 1_024;

/// The body of one request.
pub(crate) struct RequestBody {
    framing: Framing,
    /// Parts that were read and can be sent again.
    buffered: Vec<Bytes>,
    /// Whether parts are buffered as they are read.
    buffers_parts: bool,
    /// Whether a part was sent that is not buffered, so that the body cannot be sent again.
    is_consumed: bool,
    /// Digest of all parts so far, if a part was sent that is not buffered.
    sent_digest: Option<BodyDigest>,
    /// Bytes of the body that count for its fingerprint.
    fingerprint_limit: usize,
    client: Rc<ClientGuard>,
    /// Bytes of the buffered parts.
    held: usize,
}

/// Progress of sending a request.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// The kernel accepted the first byte; from then on the server may have seen the request.
    pub(crate) has_started: Cell<bool>,
    /// The complete request was written.
    pub(crate) is_complete: Cell<bool>,
}

impl RequestBody {
    /// Creates the body of a request. It can be sent again if its parts are buffered.
    pub(crate) fn new(
        framing: Framing,
        buffers_parts: bool,
        fingerprint_limit: usize,
        client: Rc<ClientGuard>,
    ) -> Self {
        Self {
            framing,
            buffered: Vec::new(),
            buffers_parts,
            is_consumed: false,
            sent_digest: None,
            fingerprint_limit,
            client,
            held: 0,
        }
    }

    /// Buffers a part. A part that was sent before others are joined with it is not sent again in the same attempt.
    fn buffer(&mut self, part: Bytes) {
        self.client.hold(self.held, self.held + part.len());
        self.held += part.len();
        if part.len() > JOINED_PART_BYTES {
            self.buffered.push(part);
            return;
        }
        let last = self.buffered.pop_if(|last| last.len() + part.len() <= JOINED_PART_BYTES).unwrap_or_default();
        let mut joined = BytesMut::with_capacity(last.len() + part.len());
        joined.extend_from_slice(&last);
        joined.extend_from_slice(&part);
        self.buffered.push(joined.freeze());
    }

    /// Gives up the buffered parts, all of which were sent, if memory is short. Small bodies are kept.
    fn release_if_tight(&mut self) {
        if self.held > BUFFERED_BODY_LIMIT && self.client.is_tight() {
            self.sent_digest = Some(self.buffered_digest());
            self.buffered = Vec::new();
            self.client.hold(self.held, 0);
            self.held = 0;
            self.buffers_parts = false;
            self.is_consumed = true;
        }
    }

    pub(crate) fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns whether the body can be sent from its start.
    pub(crate) fn is_available(&self) -> bool {
        !self.is_consumed
    }

    /// Reads a small body in full and adds it to a digest. Of a large body only the declared length is added.
    pub(crate) async fn digest(
        &mut self,
        caller: &mut RequestSource<'_>,
        digest: &mut Digest,
    ) -> Result<(), CallerError> {
        if let Framing::Sized(length) = self.framing
            && length > BUFFERED_BODY_LIMIT as u64
        {
            digest.number(length);
            return Ok(());
        }
        let mut length = 0;
        while length <= BUFFERED_BODY_LIMIT {
            let Some(part) = caller.read_part().await? else {
                self.buffers_parts = true;
                self.buffered.iter().for_each(|part| digest.add(part));
                return Ok(());
            };
            length += part.len();
            self.buffer(part);
        }
        self.buffers_parts = false;
        Ok(())
    }

    /// Reads the part of the body that counts for the fingerprint of the request, and returns its digest. What was not
    /// sent yet stays available.
    pub(crate) async fn fingerprint(&mut self, caller: &mut RequestSource<'_>) -> Result<RequestDigest, CallerError> {
        let mut digest = self.sent_digest.take().unwrap_or_else(|| self.buffered_digest());
        while !self.framing.is_empty() && !digest.is_complete() {
            let Some(part) = caller.read_part().await? else { break };
            digest.add(&part);
            if !self.is_consumed {
                self.buffer(part);
            }
        }
        let value = digest.value();
        if self.is_consumed {
            self.sent_digest = Some(digest);
        }
        Ok(value)
    }

    fn buffered_digest(&self) -> BodyDigest {
        let mut digest = BodyDigest::new(self.fingerprint_limit);
        self.buffered.iter().for_each(|part| digest.add(part));
        digest
    }

    /// Sends an encoded head and the body, then waits until the caller disconnects.
    pub(crate) async fn send(
        &mut self,
        caller: &mut RequestSource<'_>,
        server: &mut ServerWriter,
        progress: &Progress,
        counters: &ProxyCounters,
    ) -> CallerError {
        let sent = counters.bytes.with_label_values(&["request"]);
        if !self.framing.is_empty() && self.buffered.is_empty() && caller.is_idle() {
            // The body may arrive late; the server gets the head immediately and may respond early.
            if server.flush(&progress.has_started).await.is_err() {
                return caller.wait_for_disconnect().await;
            }
        }
        for index in 0.. {
            let part = match self.part(index, caller).await {
                Ok(part) => part,
                Err(error) => return error,
            };
            let is_end = part.is_none();
            sent.inc_by(part.as_ref().map_or(0, Bytes::len) as u64);
            if self.framing != Framing::Empty(None) && server.encode_part(part).is_err() {
                break;
            }
            select! {
                biased;
                flushed = server.flush(&progress.has_started) => if flushed.is_err() {
                    // The server may have responded before it closed the connection; its response is still read.
                    break;
                },
                error = caller.wait_for_disconnect() => return error,
            }
            if is_end {
                progress.is_complete.set(true);
                server.finish();
                break;
            }
        }
        caller.wait_for_disconnect().await
    }

    async fn part(&mut self, index: usize, caller: &mut RequestSource<'_>) -> Result<Option<Bytes>, CallerError> {
        if let Some(part) = self.buffered.get(index) {
            return Ok(Some(part.clone()));
        }
        self.release_if_tight();
        let part = caller.read_part().await?;
        match &part {
            Some(part) if self.buffers_parts => self.buffer(part.clone()),
            Some(part) => {
                self.is_consumed = true;
                let mut digest = self.sent_digest.take().unwrap_or_else(|| self.buffered_digest());
                digest.add(part);
                self.sent_digest = Some(digest);
            }
            None => {}
        }
        Ok(part)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.client.hold(self.held, 0);
    }
}
