//! The part of a response to a claimed request that is recorded.

use bytes::Bytes;

/// The part of a response to a claimed request that is recorded.
#[derive(Debug)]
pub(crate) struct RecordedResponse {
    pub(crate) status: u16,
    pub(crate) content_type: Option<Box<str>>,
    pub(crate) body: Option<Bytes>,
}
