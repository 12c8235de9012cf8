//! An error response of a server that is saved while another server is tried.

use {
    crate::framing::Framing,
    actix_http::ResponseHead,
    bytes::{Bytes, BytesMut},
};

/// An error response of a server that is saved while another server is tried.
#[derive(Debug)]
pub(crate) struct SavedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    pub(crate) body: Bytes,
}

impl SavedResponse {
    /// Saves a response with the parts of its body. Unless the body is complete, only the head is saved.
    pub(crate) fn new(head: ResponseHead, framing: Framing, parts: &[Bytes], is_complete: bool) -> Self {
        let mut body = BytesMut::new();
        if is_complete {
            parts.iter().for_each(|part| body.extend_from_slice(part));
        }
        let framing = match body.len() as u64 {
            _ if framing.is_empty() => framing,
            0 => Framing::Empty(Some(0)),
            length => Framing::Sized(length),
        };
        Self { head, framing, body: body.freeze() }
    }
}
