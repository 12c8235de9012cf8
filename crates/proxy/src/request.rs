//! What a request head says to the system.

use {
    crate::{framing::Framing, headers, options::KEPT_BODY_LIMIT},
    actix_http::{
        Method, RequestHead, Version,
        header::{self, HeaderName},
    },
    hemlockford_core::{
        dispatch::{Call, CallTerms},
        ids::CallId,
        outcome::NotRunReason,
        text::Text,
    },
    std::time::{Duration, Instant},
};

/// Customer of calls that name none.
const DEFAULT_CUSTOMER: &str = "default";
/// Greatest depth of a chain of calls; longer chains are taken for loops.
const DEPTH_LIMIT: u8 = 24;
/// Greatest length of a customer's name, in bytes.
const CUSTOMER_LIMIT: usize = 64;
/// Greatest length of an idempotency key, in bytes.
const KEY_LIMIT: usize = 255;

/// Why a request is refused before any decision, with a fixed explanation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: NotRunReason,
    pub(crate) detail: &'static str,
}

/// What a request head says to the system.
#[derive(Clone, Debug)]
pub(crate) struct Parsed {
    pub(crate) call: Call,
    pub(crate) framing: Framing,
    /// Key of a non-idempotent request.
    pub(crate) key: Option<Box<str>>,
    pub(crate) expects_continue: bool,
}

/// Reads a request head.
pub(crate) fn parse(head: &RequestHead, text: &Text, id: CallId, now: Instant) -> Result<Parsed, Refusal> {
    let framing = Framing::of_request(head).map_err(bad)?;
    if head.method == Method::CONNECT {
        return Err(bad("CONNECT is not supported"));
    }
    let path = head.uri.path();
    let service = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or_default();
    let unknown = Refusal { reason: NotRunReason::UnknownService, detail: "" };
    let limit = text.services.get(service).ok_or(unknown)?.deadline;
    let stated = one(head, &headers::DEADLINE, "hemlockford-deadline is not one number of milliseconds")?;
    let stated =
        stated.map(|text| number::<u32>(text).ok_or(bad("hemlockford-deadline is not a number of milliseconds")));
    let stated = stated.transpose()?.map(|left| Duration::from_millis(u64::from(left)));
    let depth = one(head, &headers::DEPTH, "hemlockford-depth is not one number")?;
    let depth = depth.map(|text| number(text).ok_or(bad("hemlockford-depth is not a number up to 24")));
    let depth: u8 = depth.transpose()?.unwrap_or_default();
    if depth > DEPTH_LIMIT {
        return Err(bad("hemlockford-depth is greater than 24"));
    }
    let customer = one(head, &headers::CUSTOMER, "hemlockford-customer is not one name")?.unwrap_or(DEFAULT_CUSTOMER);
    let is_name = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if customer.is_empty() || customer.len() > CUSTOMER_LIMIT || !customer.bytes().all(is_name) {
        return Err(bad("hemlockford-customer is not a name of at most 64 letters, digits, '-', '_' and '.'"));
    }
    let idempotent = head.method.is_idempotent();
    let key = one(head, &headers::IDEMPOTENCY_KEY, "idempotency-key is not one key")?.filter(|_| !idempotent);
    if key.is_some_and(|key| key.is_empty() || key.len() > KEY_LIMIT) {
        return Err(bad("idempotency-key is not a key of 1 to 255 characters"));
    }
    let is_small = framing.is_empty() || matches!(framing, Framing::Sized(length) if length <= KEPT_BODY_LIMIT as u64);
    let expects_continue = head.version == Version::HTTP_11
        && head.headers.get(header::EXPECT).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    let call = Call {
        id,
        service: service.into(),
        customer: customer.into(),
        idempotent,
        replayable: idempotent && is_small,
        deadline: now + stated.map_or(limit, |left| left.min(limit)),
        depth,
        retry_allowance: depth == 0 || head.headers.contains_key(headers::ALLOWANCE),
        upload: !is_small,
        terms: CallTerms::default(),
    };
    Ok(Parsed { call, framing, key: key.map(Into::into), expects_continue })
}

fn bad(detail: &'static str) -> Refusal {
    Refusal { reason: NotRunReason::BadRequest, detail }
}

/// Returns the value of a header that may occur once at most.
fn one<'a>(head: &'a RequestHead, name: &HeaderName, detail: &'static str) -> Result<Option<&'a str>, Refusal> {
    let mut values = head.headers.get_all(name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad(detail));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| bad(detail))
}

/// Parses decimal digits; signs and blanks, which `parse` may accept, are not valid.
fn number<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}
