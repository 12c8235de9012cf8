//! The body of an answer on its way from a server to a caller.

use {
    crate::{
        connection::{AnswerStream, Part},
        gate::Gate,
        pool::Pool,
    },
    actix_http::body::{BodySize, MessageBody},
    bytes::Bytes,
    hemlockford_core::{
        dispatch::{AttemptResult, Finish, LoadReport},
        ids::{CallId, ServerId},
    },
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll},
        time::Instant,
    },
};

/// An attempt whose end has not been reported; reports that the caller left when it is dropped.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) gate: Gate,
    pub(crate) call: CallId,
    pub(crate) server: ServerId,
    pub(crate) start: Instant,
    pub(crate) report: Option<LoadReport>,
    pub(crate) is_reported: bool,
}

impl Attempt {
    pub(crate) fn end(&mut self, result: AttemptResult) -> Finish {
        self.is_reported = true;
        Finish {
            call: self.call,
            server: self.server.clone(),
            result,
            latency: self.start.elapsed(),
            report: self.report,
            wants_decision: false,
        }
    }

    pub(crate) fn finish(&mut self, result: AttemptResult) {
        let finish = self.end(result);
        self.gate.finish(finish);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.is_reported {
            self.finish(AttemptResult::CallerLeft);
        }
    }
}

/// Streams an answer's body and reports the end of the attempt.
pub(crate) struct AnswerBody {
    pub(crate) stream: Option<AnswerStream>,
    pub(crate) size: BodySize,
    pub(crate) attempt: Attempt,
    pub(crate) pool: Pool,
    pub(crate) address: SocketAddr,
}

impl MessageBody for AnswerBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let this = self.get_mut();
        let Some(stream) = &mut this.stream else { return Poll::Ready(None) };
        match std::task::ready!(stream.poll_part(cx)) {
            Part::Chunk(chunk) => Poll::Ready(Some(Ok(chunk))),
            Part::End => {
                if let Some(stream) = this.stream.take().filter(AnswerStream::keep_alive) {
                    this.pool.put(this.address, stream.into_connection());
                }
                this.attempt.finish(AttemptResult::Complete);
                Poll::Ready(None)
            }
            Part::Cut => {
                this.stream = None;
                this.attempt.finish(AttemptResult::BrokenAfterWrite);
                // An error makes the codec cut the caller's connection, so that the part that was
                // passed on is never taken for a whole answer.
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
        }
    }
}
