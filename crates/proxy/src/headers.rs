//! Translation of request and response heads.

use {
    actix_http::{
        RequestHead,
        header::{self, HeaderMap, HeaderName, HeaderValue},
    },
    hemlockford_core::outcome::Outcome,
    std::{net::SocketAddr, time::Duration},
};

/// Names the customer on whose behalf a call is made.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("hemlockford-customer");
/// Milliseconds that are left for the whole answer.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("hemlockford-deadline");
/// Number of calls above this one in its chain.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("hemlockford-depth");
/// Present when the call brings a retry token.
pub(crate) const ALLOWANCE: HeaderName = HeaderName::from_static("hemlockford-retry-allowance");
/// What is known about a request that got its final answer.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("hemlockford-outcome");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
];

/// Copies end-to-end headers, without those that `connection` lists and without the framing headers,
/// which the codec writes anew.
pub(crate) fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = from
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut to = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_framing = *name == header::TRANSFER_ENCODING || *name == header::CONTENT_LENGTH;
        if !is_framing && !HOP_BY_HOP.contains(name) && !listed.iter().any(|other| other == name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
    to
}

/// Makes the head of a request to a server.
pub(crate) fn request_head(from: &RequestHead, caller: Option<SocketAddr>, left: Duration, depth: u8) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = from.method.clone();
    head.uri = from.uri.clone();
    head.headers = end_to_end(&from.headers);
    head.headers.insert(DEADLINE, HeaderValue::from(left.as_millis() as u64));
    head.headers.insert(DEPTH, HeaderValue::from(u16::from(depth) + 1));
    head.headers.remove(header::EXPECT);
    if let Some(caller) = caller {
        let name = HeaderName::from_static("x-forwarded-for");
        if let Ok(value) = HeaderValue::from_str(&caller.ip().to_string()) {
            head.headers.append(name, value);
        }
    }
    head
}

/// Reads a header as a number.
pub(crate) fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Returns the header value of an outcome.
pub(crate) fn outcome_value(outcome: Outcome) -> HeaderValue {
    // The value is built from constants, so that it is always a valid header value.
    HeaderValue::from_str(&outcome.header_value()).unwrap_or(HeaderValue::from_static("unknown"))
}
