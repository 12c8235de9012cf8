//! Answers that the system gives itself, and heads of passed-on answers.

use {
    crate::{caller::CallerWriter, framing::Framing, headers},
    actix_http::{
        Response, ResponseHead, StatusCode, Version,
        body::BodySize,
        header::{self, HeaderValue},
    },
    bytes::Bytes,
    hemlockford_core::outcome::Outcome,
    std::{io, time::Duration},
};

/// Time after which a caller may come back when the dispatcher has not named one.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

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
    /// Makes the answer that tells an outcome other than a server's answer.
    pub(crate) fn outcome(outcome: Outcome, retry_after: Duration, detail: &str) -> Self {
        let value = outcome.header_value();
        let body = if detail.is_empty() { format!("{value}\n") } else { format!("{value}\n{detail}\n") };
        let status = outcome.status();
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
    pub(crate) fn encode(self, writer: &mut CallerWriter, is_head: bool) -> io::Result<()> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Response::with_body(status, ());
        let fields = response.headers_mut();
        fields.insert(headers::OUTCOME, headers::outcome_value(self.outcome));
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u64;
            fields.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(once) = self.once {
            fields.insert(headers::ONCE, HeaderValue::from_static(once));
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

/// Encodes the head of a server's answer for the caller.
pub(crate) fn encode_head(
    (from, framing): (&ResponseHead, Framing),
    once: Option<&'static str>,
    caller: Version,
    writer: &mut CallerWriter,
) -> io::Result<()> {
    let mut response = Response::with_body(from.status, ());
    let fields = response.headers_mut();
    *fields = headers::answer_headers(from);
    fields.insert(headers::OUTCOME, headers::outcome_value(Outcome::Answered));
    if let Some(once) = once {
        fields.insert(headers::ONCE, HeaderValue::from_static(once));
    }
    if from.status == StatusCode::NOT_MODIFIED
        && let Framing::Empty(Some(length)) = framing
    {
        // The encoder writes no length of its own for this status.
        fields.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    if framing == Framing::Chunked && caller < Version::HTTP_11 {
        return writer.start_open_ended(response);
    }
    writer.start(response, framing.size())
}
