//! Header names and rules of the interface to callers and servers.

use {
    crate::{load_format::LoadFormat, service_selection::ServiceSelection},
    actix_http::{
        ResponseHead,
        header::{HeaderName, HeaderValue},
    },
    hemlockford_core::dispatch::{LOAD_HEADER, LoadReport},
};

/// Header names and rules of the interface to callers and servers. The default is the product's own interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// How the service of a request is selected.
    pub selection: ServiceSelection,
    /// Request header with the milliseconds that are left for the whole answer.
    pub deadline_header: HeaderName,
    /// Header that names a request. A request without it is given one.
    pub request_id_header: Option<HeaderName>,
    /// Whether servers repeat the request id in their answers. An answer that does not have it belongs to another
    /// request.
    pub echoes_request_id: bool,
    /// Request header with the id of the server that the request is meant for.
    pub expected_server_header: Option<HeaderName>,
    /// Answer header in which servers report their load.
    pub load_header: HeaderName,
    /// Form of the load report.
    pub load_format: LoadFormat,
    /// Answer header of a server that did not run the request and never will.
    pub not_run_header: HeaderName,
    /// Value that the not-run mark must have; without one its presence is enough.
    pub not_run_value: Option<HeaderValue>,
    /// Whether `retry-after` may have fractions of a second.
    pub fractional_retry_after: bool,
    /// Whether the product's own `hemlockford-` headers, `forwarded` and `x-forwarded-for` are read and written.
    /// Otherwise headers pass unchanged, apart from those that concern one connection only.
    pub product_headers: bool,
    /// Whether servers name the time for which they keep an idle connection (`keep-alive: timeout=N`), which then
    /// bounds its reuse.
    pub keep_alive_reuse: bool,
    /// Whether an answer may end with its connection, if it has neither a length nor chunks.
    pub close_delimited: bool,
    /// Whether a server's error that was followed by a retry without an answer is passed on in place of an error
    /// of the entry.
    pub keeps_server_errors: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            selection: ServiceSelection::PathSegment,
            deadline_header: HeaderName::from_static("hemlockford-deadline"),
            request_id_header: None,
            echoes_request_id: false,
            expected_server_header: None,
            load_header: HeaderName::from_static(LOAD_HEADER),
            load_format: LoadFormat::InFlight,
            not_run_header: HeaderName::from_static("hemlockford-shed"),
            not_run_value: Some(HeaderValue::from_static("1")),
            fractional_retry_after: false,
            product_headers: true,
            keep_alive_reuse: false,
            close_delimited: false,
            keeps_server_errors: false,
        }
    }
}

/// To which request an answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestIdMatch {
    /// To the request that was sent.
    Match,
    /// To another request.
    Mismatch,
    /// It does not say.
    Missing,
}

impl Dialect {
    /// Returns whether a server says that it did not run the request. A mark on a success contradicts itself and
    /// promises nothing.
    pub(crate) fn is_marked_not_run(&self, head: &ResponseHead) -> bool {
        let is_failure = head.status.is_client_error() || head.status.is_server_error();
        let is_mark = |mark: &HeaderValue| self.not_run_value.as_ref().is_none_or(|value| value == mark);
        is_failure && head.headers.get(&self.not_run_header).is_some_and(is_mark)
    }

    /// Returns the load that a server reports in an answer.
    pub(crate) fn load_report(&self, head: &ResponseHead) -> Option<LoadReport> {
        self.load_format.parse(head.headers.get(&self.load_header)?.to_str().ok()?)
    }

    /// Compares the request id of an answer with the one that was sent.
    pub(crate) fn match_request_id(&self, head: &ResponseHead, id: Option<&HeaderValue>) -> RequestIdMatch {
        let (true, Some(name), Some(id)) = (self.echoes_request_id, &self.request_id_header, id) else {
            return RequestIdMatch::Match;
        };
        let mut echoes = head.headers.get_all(name);
        match echoes.next() {
            None => RequestIdMatch::Missing,
            Some(echo) if echo == id && echoes.all(|other| other == id) => RequestIdMatch::Match,
            Some(_) => RequestIdMatch::Mismatch,
        }
    }
}
