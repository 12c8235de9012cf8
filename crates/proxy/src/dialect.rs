//! Header names and rules of the HTTP interface to callers and servers.

use {
    crate::{headers, load_format::LoadFormat, request_id_echo::RequestIdEcho, service_selection::ServiceSelection},
    actix_http::{
        ResponseHead, StatusCode,
        header::{self, HeaderName, HeaderValue},
    },
    hemlockford_core::dispatch::{CallRate, LOAD_HEADER, LoadReport, MAX_SERVER_PAUSE, ServerNotice},
    std::time::Duration,
};

/// Header names and rules of the HTTP interface to callers and servers. The default is the product's own interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// How the service of a request is selected.
    pub selection: ServiceSelection,
    /// Request header with the time left for the complete response, in milliseconds.
    pub deadline_header: HeaderName,
    /// Request header with the API key of a customer. Without it, requests have no keys. It is not passed on to servers if
    /// the configuration has customers with keys, and is not looked at otherwise.
    pub credential_header: Option<HeaderName>,
    /// Request header that states the name of the customer whose key the request has. The entry replaces one that the
    /// caller sent if the configuration has customers with keys.
    pub customer_header: Option<HeaderName>,
    /// Header with the request id. A request without one is assigned an id.
    pub request_id_header: Option<HeaderName>,
    /// Which servers repeat the request id in their responses.
    pub request_id_echo: RequestIdEcho,
    /// Request header with the id of the server that the request is intended for.
    pub expected_server_header: Option<HeaderName>,
    /// Response header in which servers report their load.
    pub load_header: HeaderName,
    /// Format of the load report.
    pub load_format: LoadFormat,
    /// Response header by which a server states that it did not run the request and never will.
    pub not_run_header: HeaderName,
    /// Required value of the not-run header; `None` accepts any value.
    pub not_run_value: Option<HeaderValue>,
    /// Response header by which a server states, with value 1, that it is leaving.
    pub leaving_header: HeaderName,
    /// Response header in which a server states, in calls per second, the rate that it takes from all entries together.
    pub limit_header: Option<HeaderName>,
    /// Header of health responses in which a server states, in milliseconds, how long it stays cold.
    pub warm_up_header: Option<HeaderName>,
    /// Whether `retry-after` may have fractions of a second.
    pub fractional_retry_after: bool,
    /// Whether the product's own `hemlockford-` headers, `forwarded` and `x-forwarded-for` are read and written.
    /// Otherwise headers pass unchanged, apart from those that concern one connection only.
    pub product_headers: bool,
    /// Whether responses of the entry itself state the outcome of the request, as on the product's own interface.
    pub states_outcome: bool,
    /// Whether servers declare how long they keep an idle connection (`keep-alive: timeout=N`), which then limits its
    /// reuse.
    pub keep_alive_reuse: bool,
    /// Whether the end of the connection may mark the end of a response that has neither a length nor chunks.
    pub close_delimited: bool,
    /// Whether a server's error response that was followed by an unsuccessful retry is forwarded instead of an error
    /// of the entry.
    pub keeps_server_errors: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            selection: ServiceSelection::PathSegment,
            deadline_header: HeaderName::from_static("hemlockford-deadline"),
            credential_header: Some(HeaderName::from_static("hemlockford-credential")),
            customer_header: Some(headers::CUSTOMER),
            request_id_header: Some(HeaderName::from_static("hemlockford-request-id")),
            request_id_echo: RequestIdEcho::Optional,
            expected_server_header: None,
            load_header: HeaderName::from_static(LOAD_HEADER),
            load_format: LoadFormat::InFlight,
            not_run_header: HeaderName::from_static("hemlockford-shed"),
            not_run_value: Some(HeaderValue::from_static("1")),
            leaving_header: HeaderName::from_static("hemlockford-leaving"),
            limit_header: None,
            warm_up_header: None,
            fractional_retry_after: false,
            product_headers: true,
            states_outcome: true,
            keep_alive_reuse: false,
            close_delimited: false,
            keeps_server_errors: false,
        }
    }
}

/// Result of comparing the request id of a response with that of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestIdMatch {
    /// The response belongs to the request, or request ids are not compared.
    Match,
    /// The response belongs to another request.
    Mismatch,
    /// The response has no request id.
    Missing,
}

impl Dialect {
    /// Returns whether a server states that it did not run the request. The header is ignored on a successful
    /// response, which contradicts it.
    pub(crate) fn is_marked_not_run(&self, head: &ResponseHead) -> bool {
        let is_failure = head.status.is_client_error() || head.status.is_server_error();
        let is_mark = |mark: &HeaderValue| self.not_run_value.as_ref().is_none_or(|value| value == mark);
        is_failure && head.headers.get(&self.not_run_header).is_some_and(is_mark)
    }

    /// Returns the load that a server reports in a response.
    pub(crate) fn load_report(&self, head: &ResponseHead) -> Option<LoadReport> {
        self.load_format.parse(head.headers.get(&self.load_header)?.to_str().ok()?)
    }

    /// Returns what a server asks for in a response, apart from the response itself.
    pub(crate) fn server_notices(&self, head: &ResponseHead) -> impl Iterator<Item = ServerNotice> {
        let is_leaving = head.headers.get(&self.leaving_header).is_some_and(|value| value.as_bytes() == b"1");
        let pause = (head.status == StatusCode::SERVICE_UNAVAILABLE).then(|| retry_after(head)).flatten();
        is_leaving.then_some(ServerNotice::Leaving).into_iter().chain(pause.map(ServerNotice::Pause))
    }

    /// Returns the rate of calls that a server names in a response, if any, or `None` if the value is unreadable, which
    /// neither names a limit nor ends one.
    pub(crate) fn server_limit(&self, head: &ResponseHead) -> Option<Option<CallRate>> {
        let Some(value) = self.limit_header.as_ref().and_then(|name| head.headers.get(name)) else { return Some(None) };
        CallRate::from_per_second(value.to_str().ok()?.trim().parse().ok()?).map(Some)
    }

    /// Returns how long a server stays cold according to a health response. An unreadable value states nothing.
    pub(crate) fn warm_up_left(&self, head: &ResponseHead) -> Option<Duration> {
        let value = head.headers.get(self.warm_up_header.as_ref()?)?;
        let ms: f64 = value.to_str().ok()?.trim().parse().ok()?;
        (ms >= 0.0).then(|| Duration::from_secs_f64((ms / 1e3).min(MAX_SERVER_PAUSE.as_secs_f64())))
    }

    /// Compares the request id of a response with the one that was sent.
    pub(crate) fn match_request_id(&self, head: &ResponseHead, id: Option<&HeaderValue>) -> RequestIdMatch {
        let (Some(name), Some(id)) = (&self.request_id_header, id) else { return RequestIdMatch::Match };
        let mut echoes = head.headers.get_all(name);
        match echoes.next() {
            None if self.request_id_echo == RequestIdEcho::Optional => RequestIdMatch::Match,
            None => RequestIdMatch::Missing,
            Some(echo) if echo == id && echoes.all(|other| other == id) => RequestIdMatch::Match,
            Some(_) => RequestIdMatch::Mismatch,
        }
    }
}

/// Returns the seconds of `retry-after`, with or without a fraction. A date, and a value that is not a positive number,
/// is ignored: servers are not required to have a correct clock.
fn retry_after(head: &ResponseHead) -> Option<Duration> {
    let seconds: f64 = head.headers.get(header::RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| Duration::from_secs_f64(seconds.min(MAX_SERVER_PAUSE.as_secs_f64())))
}
