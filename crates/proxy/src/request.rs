//! Parsing and validation of request heads.

use {
    crate::{
        credentials::Identity,
        framing::Framing,
        headers,
        options::ProxyOptions,
        routing::{Routing, SelectionError},
    },
    actix_http::{
        Method, RequestHead, Version,
        header::{self, HeaderName, HeaderValue},
    },
    hemlockford_core::{config::RouteKind, dispatch::Call, ids::CallId, outcome::NotRunReason},
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Customer of calls that do not name one.
const DEFAULT_CUSTOMER: &str = "default";
/// Customer of calls without a key on anonymous routes. No customer of a configuration can have this name, so that such
/// calls use no customer's share.
const ANONYMOUS_CUSTOMER: &str = "(anonymous)";
/// Maximum depth of a chain of calls; longer chains are treated as loops.
const MAX_DEPTH: u8 = 24;
/// Maximum length of a customer's name, in bytes.
const MAX_CUSTOMER_LENGTH: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_LENGTH: usize = 255;

/// Why a request is refused before the dispatcher is asked, with a fixed explanation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: NotRunReason,
    /// Status that overrides the one of the reason.
    pub(crate) status: Option<u16>,
    pub(crate) detail: &'static str,
}

/// A valid request head.
#[derive(Clone, Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) call: Call,
    pub(crate) identity: Identity,
    /// Routing by which the request was authenticated.
    pub(crate) routing: Rc<Routing>,
    pub(crate) framing: Framing,
    /// Idempotency key of a non-idempotent request.
    pub(crate) key: Option<Box<str>>,
    /// Request id by which the server's response is matched to the request.
    pub(crate) id: Option<HeaderValue>,
    pub(crate) expects_continue: bool,
}

impl ParsedRequest {
    /// Returns whether the request has no body and may be repeated.
    pub(crate) fn is_repeatable_without_body(&self) -> bool {
        self.call.idempotent && self.framing.is_empty() && self.key.is_none() && !self.expects_continue
    }
}

/// Values of the product's own headers.
struct ProductHeaders<'a> {
    customer: &'a str,
    depth: u8,
    key: Option<&'a str>,
}

/// Returns whether the entry that passed a request on has read it by a newer configuration than this one.
fn is_read_by_newer(head: &RequestHead, routing: &Routing) -> Result<bool, Refusal> {
    let change = single_value(head, &headers::CHANGE, "hemlockford-change is not one number")?;
    let change = change.map(|text| parse_digits::<u64>(text).ok_or(bad_request("hemlockford-change is not a number")));
    Ok(change.transpose()?.is_some_and(|change| routing.config().number < change))
}

/// Parses a request head.
pub(crate) fn parse(
    head: &RequestHead,
    routing: &Rc<Routing>,
    options: &ProxyOptions,
    id: CallId,
    now: Instant,
) -> Result<ParsedRequest, Refusal> {
    let dialect = &options.dialect;
    let framing = Framing::of_request(head).map_err(bad_request)?;
    if head.method == Method::CONNECT {
        return Err(bad_request("CONNECT is not supported"));
    }
    if !routing.is_known() || options.is_relay && is_read_by_newer(head, routing)? {
        return Err(Refusal::new(NotRunReason::ConfigurationNotCurrent));
    }
    let selected = routing.select(head, dialect).map_err(|error| match error {
        SelectionError::UnknownKey => Refusal::new(NotRunReason::UnknownKey),
        SelectionError::UnknownService => Refusal::new(NotRunReason::UnknownService),
    })?;
    if matches!(framing, Framing::Sized(length) if length > routing.config().limits.body_bytes) {
        return Err(Refusal::TOO_LARGE);
    }
    let remaining = single_value(head, &dialect.deadline_header, "the deadline is not one number of milliseconds")?;
    let remaining = remaining
        .map(|text| parse_digits::<u32>(text).ok_or(bad_request("the deadline is not a number of milliseconds")));
    let remaining = remaining.transpose()?.map(|left| Duration::from_millis(u64::from(left)));
    if let Some(name) = dialect.request_id_header.as_ref().filter(|_| !dialect.product_headers) {
        single_value(head, name, "the request id is not one id")?;
    }
    let idempotent = match selected.kind {
        Some(kind) => kind.is_idempotent(),
        None => head.method.is_idempotent(),
    };
    let ProductHeaders { customer, depth, key } = if dialect.product_headers {
        product_headers(head, idempotent)?
    } else {
        ProductHeaders { customer: DEFAULT_CUSTOMER, depth: 0, key: None }
    };
    let customer = match &selected.identity {
        Identity::Unchecked => customer,
        Identity::Anonymous => ANONYMOUS_CUSTOMER,
        Identity::Customer(holder) => &holder.customer,
    };
    let is_replayable_size =
        framing.is_empty() || matches!(framing, Framing::Sized(length) if length <= options.max_replayable_body as u64);
    let expects_continue = head.version == Version::HTTP_11
        && head.headers.get(header::EXPECT).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let mut terms = selected.terms;
    if options.is_relay {
        let attempts = single_value(head, &headers::RELAY, "hemlockford-relay is not one number")?;
        let attempts = attempts.and_then(parse_digits).ok_or(bad_request("hemlockford-relay is not a number"))?;
        terms.attempts = terms.attempts.min(attempts);
    }
    let call = Call {
        id,
        service: selected.service,
        customer: customer.into(),
        idempotent,
        // On a route, a request that a server did not run is sent to another server regardless of the kind of the
        // route.
        replayable: is_replayable_size && (idempotent || selected.kind.is_some()),
        deadline: now + remaining.map_or(selected.timeout, |left| left.min(selected.timeout)),
        depth,
        retry_allowance: depth == 0 || head.headers.contains_key(headers::RETRY_ALLOWANCE),
        upload: selected.kind.map_or(!is_replayable_size, |kind| kind == RouteKind::Upload),
        fingerprint: None,
        relayed: options.is_relay,
        options: terms,
    };
    let id = headers::request_id(dialect, head, id);
    Ok(ParsedRequest {
        call,
        identity: selected.identity,
        routing: routing.clone(),
        framing,
        key: key.map(Into::into),
        id,
        expects_continue,
    })
}

/// Parses the product's own headers.
fn product_headers(head: &RequestHead, idempotent: bool) -> Result<ProductHeaders<'_>, Refusal> {
    let depth = single_value(head, &headers::DEPTH, "hemlockford-depth is not one number")?;
    let depth = depth.map(|text| parse_digits(text).ok_or(bad_request("hemlockford-depth is not a number up to 24")));
    let depth: u8 = depth.transpose()?.unwrap_or_default();
    if depth > MAX_DEPTH {
        return Err(bad_request("hemlockford-depth is greater than 24"));
    }
    let customer =
        single_value(head, &headers::CUSTOMER, "hemlockford-customer is not one name")?.unwrap_or(DEFAULT_CUSTOMER);
    let is_name = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if customer.is_empty() || customer.len() > MAX_CUSTOMER_LENGTH || !customer.bytes().all(is_name) {
        return Err(bad_request("hemlockford-customer is not a name of at most 64 letters, digits, '-', '_' and '.'"));
    }
    let key = single_value(head, &headers::IDEMPOTENCY_KEY, "idempotency-key is not one key")?.filter(|_| !idempotent);
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_LENGTH) {
        return Err(bad_request("idempotency-key is not a key of 1 to 255 characters"));
    }
    Ok(ProductHeaders { customer, depth, key })
}

impl Refusal {
    /// The body exceeds the limit of the configuration.
    pub(crate) const TOO_LARGE: Self =
        Self { reason: NotRunReason::BadRequest, status: Some(413), detail: "the request body is too large" };

    /// Creates a refusal that the reason explains sufficiently.
    pub(crate) const fn new(reason: NotRunReason) -> Self {
        Self { reason, status: None, detail: "" }
    }

    /// Creates the refusal of a malformed request.
    pub(crate) const fn malformed(status: Option<u16>, detail: &'static str) -> Self {
        Self { reason: NotRunReason::BadRequest, status, detail }
    }
}

fn bad_request(detail: &'static str) -> Refusal {
    Refusal::malformed(None, detail)
}

/// Returns the value of a header that may occur at most once.
fn single_value<'a>(
    head: &'a RequestHead,
    name: &HeaderName,
    detail: &'static str,
) -> Result<Option<&'a str>, Refusal> {
    let mut values = head.headers.get_all(name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_request(detail));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| bad_request(detail))
}

/// Parses decimal digits. Signs and blanks, which `parse` may accept, are not valid.
fn parse_digits<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}
