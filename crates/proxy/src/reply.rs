//! Answers that the system gives itself, and heads of passed-on answers.

use {
    crate::{caller_writer::CallerWriter, dialect::Dialect, framing::Framing, headers, kept::KeptAnswer},
    actix_http::{
        Response, ResponseHead, StatusCode, Version,
        body::BodySize,
        header::{self, HeaderValue},
    },
    bytes::Bytes,
    hemlockford_core::outcome::Outcome,
    std::{io, time::Duration},
};

/// A short answer that is encoded at once.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) once: Option<&'static str>,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Makes the answer that tells an outcome other than a server's answer. A status is stated where it is not that
    /// of the outcome.
    pub(crate) fn outcome(outcome: Outcome, status: Option<u16>, retry_after: Duration, detail: &str) -> Self {
        let value = outcome.header_value();
        let body = if detail.is_empty() { format!("{value}\n") } else { format!("{value}\n{detail}\n") };
        let status = status.unwrap_or(outcome.status());
        Self {
            status,
            outcome,
            // An answer that says the request is wrong is no invitation to send it again.
            retry_after: matches!(status, 409 | 502..=504).then_some(retry_after),
            once: None,
            content_type: Some("text/plain".into()),
            body: body.into(),
        }
    }

    /// Encodes the answer.
    pub(crate) fn encode(self, dialect: &Dialect, writer: &mut CallerWriter, is_head: bool) -> io::Result<()> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, ());
        let fields = response.headers_mut();
        if let Some(retry_after) = self.retry_after {
            fields.insert(header::RETRY_AFTER, retry_after_value(dialect, retry_after));
        }
        if dialect.product_headers {
            fields.insert(headers::OUTCOME, headers::outcome_value(self.outcome));
            if let Some(once) = self.once {
                fields.insert(headers::ONCE, HeaderValue::from_static(once));
            }
        }
        if let Some(value) = self.content_type.and_then(|text| HeaderValue::from_str(&text).ok()) {
            fields.insert(header::CONTENT_TYPE, value);
        }
        let has_body = !is_head && !matches!(self.status, 204 | 304);
        writer.start(response, BodySize::Sized(self.body.len() as u64))?;
        if has_body && !self.body.is_empty() {
            writer.part(Some(self.body))?;
        }
        writer.part(None)
    }
}

/// Returns the value of `retry-after`: whole seconds, or milliseconds as a fraction without trailing zeros.
fn retry_after_value(dialect: &Dialect, retry_after: Duration) -> HeaderValue {
    let ms = retry_after.as_millis().max(1);
    if !dialect.fractional_retry_after || ms.is_multiple_of(1_000) {
        return HeaderValue::from(ms.div_ceil(1_000) as u64);
    }
    let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
    HeaderValue::from_str(text.trim_end_matches('0')).unwrap_or(HeaderValue::from_static("1"))
}

/// Encodes the head of a server's answer for the caller.
pub(crate) fn encode_head(
    dialect: &Dialect,
    (from, framing): (&ResponseHead, Framing),
    once: Option<&'static str>,
    caller: Version,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    let mut response = Response::with_body(from.status, ());
    let fields = response.headers_mut();
    *fields = headers::answer_headers(dialect, from);
    if dialect.product_headers {
        fields.insert(headers::OUTCOME, headers::outcome_value(Outcome::Answered));
        if let Some(once) = once {
            fields.insert(headers::ONCE, HeaderValue::from_static(once));
        }
    }
    if from.status == StatusCode::NOT_MODIFIED
        && let Framing::Empty(Some(length)) = framing
    {
        // The encoder writes no length of its own for this status.
        fields.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if framing.size() == BodySize::Stream && caller < Version::HTTP_11 {
        return writer.start_open_ended(response);
    }
    writer.start(response, framing.size())
}

/// Encodes a server's error that was kept.
pub(crate) fn encode_kept(
    dialect: &Dialect,
    kept: KeptAnswer,
    once: Option<&'static str>,
    caller: Version,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    encode_head(dialect, (&kept.head, kept.framing), once, caller, writer)?;
    if !kept.framing.is_empty() {
        writer.part(Some(kept.body))?;
        writer.part(None)?;
    }
    Ok(())
}
