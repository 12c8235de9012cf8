//! Translation of request and response heads.

use {
    crate::{credentials::Identity, dialect::Dialect},
    actix_http::{
        RequestHead, ResponseHead,
        header::{self, HeaderMap, HeaderName, HeaderValue},
    },
    hemlockford_core::{
        dispatch::WANT_LOAD_HEADER,
        ids::{CallId, ChangeNumber},
        outcome::{OUTCOME_HEADER, Outcome},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Prefix of the product's own headers.
const PRODUCT_PREFIX: &str = "hemlockford-";
/// Customer on whose behalf a call is made.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("hemlockford-customer");
/// Number of calls above this one in its chain.
pub(crate) const DEPTH: HeaderName = HeaderName::from_static("hemlockford-depth");
/// Present if the call carries a retry token.
pub(crate) const RETRY_ALLOWANCE: HeaderName = HeaderName::from_static("hemlockford-retry-allowance");
/// States how a non-idempotent request is kept from running twice.
pub(crate) const ONCE: HeaderName = HeaderName::from_static("hemlockford-once");
/// Present with value 1 if the response should report the server's load.
const WANT_LOAD: HeaderName = HeaderName::from_static(WANT_LOAD_HEADER);
/// Present in a call that another entry has passed on, with the number of servers to which it may be sent.
pub(crate) const RELAY: HeaderName = HeaderName::from_static("hemlockford-relay");
/// Number of the change by which the entry that passes a call on has read it. An entry with an older configuration must not
/// run it. The former version neither sends nor reads it.
pub(crate) const CHANGE: HeaderName = HeaderName::from_static("hemlockford-change");
/// Outcome of the request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static(OUTCOME_HEADER);
/// Idempotency key of a claim.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
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

/// Parameters of a request to a server.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) from: &'a RequestHead,
    pub(crate) caller: SocketAddr,
    pub(crate) server: &'a str,
    pub(crate) address: SocketAddr,
    pub(crate) id: Option<&'a HeaderValue>,
    pub(crate) identity: &'a Identity,
    pub(crate) remaining: Duration,
    pub(crate) depth: u8,
    pub(crate) pass_allowance: bool,
    pub(crate) want_report: bool,
    /// Number of servers to which another entry may send the call, if the request goes to an entry.
    pub(crate) relay_attempts: Option<u32>,
    /// Change by which the request was read.
    pub(crate) change: ChangeNumber,
}

/// Builds the head of a request to a server.
pub(crate) fn request_head(dialect: &Dialect, outgoing: &OutgoingRequest<'_>) -> RequestHead {
    let OutgoingRequest { from, address, remaining, .. } = outgoing;
    let mut head = RequestHead::default();
    head.method = from.method.clone();
    head.uri = from.uri.clone();
    head.headers = end_to_end(&from.headers);
    head.headers.remove(header::EXPECT);
    if dialect.product_headers {
        add_product_headers(&mut head.headers, outgoing);
    }
    head.headers.insert(dialect.deadline_header.clone(), HeaderValue::from(remaining.as_millis() as u64));
    if let (Some(name), Some(id)) = (&dialect.request_id_header, outgoing.id) {
        head.headers.insert(name.clone(), id.clone());
    }
    set_identity(dialect, &mut head.headers, outgoing);
    for name in [RELAY, CHANGE] {
        head.headers.remove(name);
    }
    match (outgoing.relay_attempts, &dialect.expected_server_header, HeaderValue::from_str(outgoing.server)) {
        (Some(attempts), ..) => {
            head.headers.insert(RELAY, HeaderValue::from(attempts));
            head.headers.insert(CHANGE, HeaderValue::from(outgoing.change));
        }
        (None, Some(name), Ok(server)) => drop(head.headers.insert(name.clone(), server)),
        (None, None, _) | (None, _, Err(_)) => {}
    }
    if !head.headers.contains_key(header::HOST) {
        // An HTTP/1.0 caller may omit it, but the request is forwarded as HTTP/1.1.
        append(&mut head.headers, header::HOST, &address.to_string());
    }
    head
}

/// States the customer to a server in place of the key. Another entry receives the key itself, as it authenticates the
/// request against its own configuration.
fn set_identity(dialect: &Dialect, headers: &mut HeaderMap, outgoing: &OutgoingRequest<'_>) {
    if *outgoing.identity == Identity::Unchecked {
        return;
    }
    for name in dialect.credential_header.iter().chain(&dialect.customer_header) {
        headers.remove(name);
    }
    let (name, value) = if outgoing.relay_attempts.is_some() {
        let name = dialect.credential_header.as_ref();
        (name, name.and_then(|name| outgoing.from.headers.get(name)))
    } else {
        (dialect.customer_header.as_ref(), outgoing.identity.holder().map(|holder| &holder.header_value))
    };
    if let (Some(name), Some(value)) = (name, value) {
        headers.insert(name.clone(), value.clone());
    }
}

fn add_product_headers(headers: &mut HeaderMap, outgoing: &OutgoingRequest<'_>) {
    let OutgoingRequest { caller, depth, pass_allowance, want_report, .. } = outgoing;
    let customer = headers.remove(CUSTOMER).next();
    let product_headers: Vec<_> = headers.keys().filter(|name| is_product_header(name)).cloned().collect();
    for name in product_headers {
        headers.remove(name);
    }
    if let Some(customer) = customer {
        headers.insert(CUSTOMER, customer);
    }
    headers.insert(DEPTH, HeaderValue::from(u16::from(*depth) + 1));
    if *pass_allowance {
        headers.insert(RETRY_ALLOWANCE, HeaderValue::from_static("1"));
    }
    if *want_report {
        headers.insert(WANT_LOAD, HeaderValue::from_static("1"));
    }
    let ip = caller.ip();
    let node = if ip.is_ipv6() { format!("for=\"[{ip}]\";proto=http") } else { format!("for={ip};proto=http") };
    append(headers, header::FORWARDED, &node);
    append(headers, FORWARDED_FOR, &ip.to_string());
}

/// Returns the id of a request: the one that the platform's caller chose, or one that is unique among the requests of
/// this worker.
pub(crate) fn request_id(dialect: &Dialect, from: &RequestHead, call: CallId) -> Option<HeaderValue> {
    let name = dialect.request_id_header.as_ref()?;
    if dialect.product_headers {
        return Some(HeaderValue::from(call));
    }
    Some(from.headers.get(name).cloned().unwrap_or_else(|| HeaderValue::from(call)))
}

/// Builds the headers of a response for the caller. `hemlockford-` headers of the server are dropped, as they would
/// be read as statements of the product.
pub(crate) fn response_headers(dialect: &Dialect, from: &ResponseHead) -> HeaderMap {
    let mut to = end_to_end(&from.headers);
    if dialect.product_headers {
        to.retain(|name, _| !is_product_header(name));
    }
    to
}

/// Returns the header value of an outcome.
pub(crate) fn outcome_value(outcome: Outcome) -> HeaderValue {
    // The value is built from constants, so it is always a valid header value.
    HeaderValue::from_str(&outcome.header_value()).unwrap_or(HeaderValue::from_static("unknown"))
}

/// Copies the end-to-end headers. Headers listed in `connection` are omitted, and so are the framing headers, which
/// the codec writes.
fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = from
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut to = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_framing = *name == header::TRANSFER_ENCODING || *name == header::CONTENT_LENGTH;
        if !is_framing && !HOP_BY_HOP.contains(name) && !connection_options.iter().any(|other| other == name.as_str()) {
            to.append(name.clone(), value.clone());
        }
    }
    to
}

fn is_product_header(name: &HeaderName) -> bool {
    name.as_str().starts_with(PRODUCT_PREFIX)
}

fn append(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.append(name, value);
    }
}
