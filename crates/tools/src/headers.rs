//! Names of the headers that the load generator and the stand-in servers use.

use actix_http::header::HeaderName;

/// Id of a request, by which repeated executions are recognized.
pub(crate) const REQUEST: HeaderName = HeaderName::from_static("load-request");
/// Length of the answer that the caller asks for.
pub(crate) const ANSWER_BYTES: HeaderName = HeaderName::from_static("load-answer-bytes");
/// Number of executions of the request by the servers of one process, including this one.
pub(crate) const EXECUTION: HeaderName = HeaderName::from_static("load-execution");
/// Marks a request that a server rejected because of its load, without running it.
pub(crate) const SHED: HeaderName = HeaderName::from_static("hemlockford-shed");
/// Value 1: the server is leaving and takes no further calls.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("hemlockford-leaving");
/// Customer on whose behalf a call is made.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("hemlockford-customer");
/// Milliseconds that remain until the complete answer is due.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("hemlockford-deadline");
/// Key under which a non-idempotent request is claimed.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Length of an upload, from which the server derives the expected content of a chunked upload.
pub(crate) const UPLOAD_BYTES: HeaderName = HeaderName::from_static("load-upload-bytes");
