//! Names of the headers that the load generator and the stand-in servers exchange.

use actix_http::header::HeaderName;

/// Identifies one request from its caller to the server; a repeated execution shows as a repeated value.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("load-request");
/// Bytes of the answer that the caller asks for.
pub(crate) const ANSWER_BYTES: HeaderName = HeaderName::from_static("load-answer-bytes");
/// Number of executions of the request so far, this one included, among the servers of one process.
pub(crate) const EXECUTION: HeaderName = HeaderName::from_static("load-execution");
/// Present when a server refused a request because of its load, before running it.
pub(crate) const SHED: HeaderName = HeaderName::from_static("hemlockford-shed");
/// Customer on whose behalf a call is made.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("hemlockford-customer");
/// Milliseconds that are left for the whole answer.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("hemlockford-deadline");
/// Key under which a non-idempotent request is claimed.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Bytes of an upload that is sent in chunks, so that the server can derive its content.
pub(crate) const UPLOAD_BYTES: HeaderName = HeaderName::from_static("load-upload-bytes");
