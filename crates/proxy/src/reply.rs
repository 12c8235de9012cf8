//! Responses that the proxy generates itself, and heads of forwarded responses.

use {
    crate::{caller_writer::CallerWriter, dialect::Dialect, framing::Framing, headers, saved_response::SavedResponse},
    actix_http::{
        Response, ResponseHead, StatusCode, Version,
        body::BodySize,
        header::{self, HeaderValue},
    },
    bytes::Bytes,
    hemlockford_core::outcome::Outcome,
    std::{io, time::Duration},
};

/// A short response that is encoded in one step.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) repeat_protection: Option<&'static str>,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Builds the response that reports an outcome other than a server's response. `status` overrides the status of
    /// the outcome.
    pub(crate) fn outcome(outcome: Outcome, status: Option<u16>, retry_after: Duration, detail: &str) -> Self {
        let value = outcome.header_value();
        let body = if detail.is_empty() { format!("{value}\n") } else { format!("{value}\n{detail}\n") };
        let status = status.unwrap_or(outcome.status());
        Self {
            status,
            outcome,
            // A response that declares the request invalid must not invite a retry.
            retry_after: matches!(status, 409 | 429 | 502..=504).then_some(retry_after),
            repeat_protection: None,
            content_type: Some("text/plain".into()),
            body: body.into(),
        }
    }

    /// Encodes the response.
    pub(crate) fn encode(self, dialect: &Dialect, writer: &mut CallerWriter, is_head: bool) -> io::Result<()> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, ());
        let fields = response.headers_mut();
        if let Some(retry_after) = self.retry_after {
            fields.insert(header::RETRY_AFTER, retry_after_value(dialect, retry_after));
        }
        if status == StatusCode::UNAUTHORIZED {
            // RFC 9110, section 15.5.2, requires a challenge.
            fields.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("ApiKey"));
        }
        if dialect.states_outcome {
            fields.insert(headers::OUTCOME, headers::outcome_value(self.outcome));
        }
        if let Some(repeat_protection) = self.repeat_protection.filter(|_| dialect.product_headers) {
            fields.insert(headers::ONCE, HeaderValue::from_static(repeat_protection));
        }
        if let Some(value) = self.content_type.and_then(|text| HeaderValue::from_str(&text).ok()) {
            fields.insert(header::CONTENT_TYPE, value);
        }
        let has_body = !is_head && !matches!(self.status, 204 | 304);
        writer.encode_head(response, BodySize::Sized(self.body.len() as u64))?;
        if has_body && !self.body.is_empty() {
            writer.encode_part(Some(self.body))?;
        }
        writer.encode_part(None)
    }
}

/// Returns the value of `retry-after`: whole seconds, or fractional seconds in milliseconds without trailing zeros.
fn retry_after_value(dialect: &Dialect, retry_after: Duration) -> HeaderValue {
    let ms = retry_after.as_millis().max(1);
    if !dialect.fractional_retry_after || ms.is_multiple_of(1_000) {
        return HeaderValue::from(ms.div_ceil(1_000) as u64);
    }
    let text = format!("{}.{:03}", ms / 1_000, ms % 1_000);
    HeaderValue::from_str(text.trim_end_matches('0')).unwrap_or(HeaderValue::from_static("1"))
}

/// Encodes the head of a server's response for the caller.
pub(crate) fn encode_response_head(
    dialect: &Dialect,
    (from, framing): (&ResponseHead, Framing),
    repeat_protection: Option<&'static str>,
    caller: Version,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    let mut response = Response::with_body(from.status, ());
    let fields = response.headers_mut();
    *fields = headers::response_headers(dialect, from);
    if dialect.states_outcome {
        // A server must not state an outcome in place of the entry.
        fields.remove(headers::OUTCOME);
    }
    if dialect.product_headers {
        fields.insert(headers::OUTCOME, headers::outcome_value(Outcome::Answered));
        if let Some(repeat_protection) = repeat_protection {
            fields.insert(headers::ONCE, HeaderValue::from_static(repeat_protection));
        }
    }
    if from.status == StatusCode::NOT_MODIFIED
        && let Framing::Empty(Some(length)) = framing
    {
        // The encoder writes no length for this status.
        fields.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if framing.size() == BodySize::Stream && caller < Version::HTTP_11 {
        return writer.encode_close_delimited_head(response);
    }
    writer.encode_head(response, framing.size())
}

/// Encodes a saved error response of a server, whose body is complete.
pub(crate) fn encode_saved_response(
    dialect: &Dialect,
    response: &mut SavedResponse,
    repeat_protection: Option<&'static str>,
    caller: Version,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    encode_response_head(dialect, (&response.head, response.framing), repeat_protection, caller, writer)?;
    if !response.framing.is_empty() {
        for part in std::mem::take(&mut response.parts) {
            writer.encode_part(Some(part))?;
        }
        writer.encode_part(None)?;
    }
    Ok(())
}
