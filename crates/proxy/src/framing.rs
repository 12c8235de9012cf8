//! How the end of a body is marked.

use {
    actix_http::{
        Method, RequestHead, ResponseHead, StatusCode, Version,
        body::BodySize,
        header::{self, HeaderMap},
    },
    bytes::Bytes,
};

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body. The length is the one that the head declares regardless (HEAD, 304).
    Empty(Option<u64>),
    /// The head declares the length.
    Sized(u64),
    /// The body is chunked.
    Chunked,
    /// The body of a response ends with the connection, which must be closed gracefully.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a response, or `None` if its end cannot be distinguished from a truncation.
    /// `allow_close_delimited` permits a body that ends with the connection.
    pub(crate) fn of_response(method: &Method, head: &ResponseHead, allow_close_delimited: bool) -> Option<Self> {
        let declared = Self::declared(&head.headers, head.version).ok()?;
        if head.status == StatusCode::NO_CONTENT {
            return Some(Self::Empty(None));
        }
        if *method == Method::HEAD || head.status == StatusCode::NOT_MODIFIED {
            let length = match declared {
                Some(Self::Sized(length)) => Some(length),
                _ => None,
            };
            return Some(Self::Empty(length));
        }
        match declared {
            None => allow_close_delimited.then_some(Self::UntilClose),
            Some(Self::Sized(0)) => Some(Self::Empty(Some(0))),
            framing => framing,
        }
    }

    /// Returns the framing of a request.
    pub(crate) fn of_request(head: &RequestHead) -> Result<Self, &'static str> {
        let declared = Self::declared(&head.headers, head.version)?;
        Ok(match declared {
            None => Self::Empty(None),
            Some(Self::Sized(0)) => Self::Empty(Some(0)),
            Some(framing) => framing,
        })
    }

    /// Returns the framing of a body that was read completely.
    pub(crate) fn of_complete(parts: &[Bytes]) -> Self {
        match parts.iter().map(|part| part.len() as u64).sum() {
            0 => Self::Empty(Some(0)),
            length => Self::Sized(length),
        }
    }

    /// Returns whether there is no body.
    pub(crate) fn is_empty(self) -> bool {
        matches!(self, Self::Empty(_))
    }

    /// Returns the size for the encoder.
    pub(crate) fn size(self) -> BodySize {
        match self {
            Self::Empty(None) => BodySize::None,
            Self::Empty(Some(length)) | Self::Sized(length) => BodySize::Sized(length),
            Self::Chunked | Self::UntilClose => BodySize::Stream,
        }
    }

    /// Parses the framing headers. Values that two parsers may read as different lengths are rejected, as they permit
    /// request smuggling (RFC 9112, section 6.3).
    fn declared(headers: &HeaderMap, version: Version) -> Result<Option<Self>, &'static str> {
        let mut lengths = headers.get_all(header::CONTENT_LENGTH);
        let mut codings = headers.get_all(header::TRANSFER_ENCODING);
        match (lengths.next(), codings.next()) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err("content-length and transfer-encoding exclude each other"),
            (Some(length), None) => {
                let text = length.to_str().unwrap_or_default();
                let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
                if !is_number || lengths.any(|other| other != length) {
                    return Err("content-length is not one number");
                }
                text.parse().map(|length| Some(Self::Sized(length))).map_err(|_| "content-length is too large")
            }
            (None, Some(coding)) => {
                let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
                if is_chunked && version == Version::HTTP_11 {
                    Ok(Some(Self::Chunked))
                } else {
                    Err("transfer-encoding is not chunked")
                }
            }
        }
    }
}
