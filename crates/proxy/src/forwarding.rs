//! Forwarding of a response's body to the caller.

use {
    crate::{
        caller_writer::CallerWriter,
        claims::RECORDED_BODY_LIMIT,
        connection::{Part, ServerReader},
        counters::ProxyCounters,
        framing::Framing,
    },
    bytes::{Bytes, BytesMut},
};

/// How the forwarding of a body ended.
pub(crate) enum Forwarded {
    Complete,
    Truncated,
    CallerDisconnected,
}

/// Forwards a body, starting with the parts that are buffered already. A part is read only after the parts before it
/// were written, so that a caller that does not read slows down the server.
pub(crate) async fn forward_body(
    server: &mut ServerReader,
    buffered: Vec<Bytes>,
    writer: &mut CallerWriter,
    framing: Framing,
    recorded: &mut Option<BytesMut>,
    counters: &ProxyCounters,
) -> Forwarded {
    let forwarded = counters.bytes.with_label_values(&["answer"]);
    let mut buffered = buffered.into_iter();
    loop {
        let part = match buffered.next() {
            Some(chunk) => Part::Chunk(chunk),
            None if framing.is_empty() => Part::End,
            None => server.buffered_part(),
        };
        match part {
            Part::Chunk(chunk) => {
                forwarded.inc_by(chunk.len() as u64);
                if let Some(body) = recorded {
                    body.extend_from_slice(&chunk);
                }
                if recorded.as_ref().is_some_and(|body| body.len() > RECORDED_BODY_LIMIT) {
                    *recorded = None;
                }
                if writer.encode_part(Some(chunk)).is_err() {
                    return Forwarded::Truncated;
                }
                if writer.is_full() && writer.flush().await.is_err() {
                    return Forwarded::CallerDisconnected;
                }
            }
            Part::End => {
                if !framing.is_empty() && writer.encode_part(None).is_err() {
                    return Forwarded::Truncated;
                }
                // A complete response that waits behind others is not subject to the deadline any more.
                let is_delivered = writer.is_awaiting_turn() || writer.flush().await.is_ok();
                return if is_delivered { Forwarded::Complete } else { Forwarded::CallerDisconnected };
            }
            Part::Truncated => return Forwarded::Truncated,
            Part::Pending => {
                if writer.flush().await.is_err() {
                    return Forwarded::CallerDisconnected;
                }
                if !server.fill().await {
                    return Forwarded::Truncated;
                }
            }
        }
    }
}
