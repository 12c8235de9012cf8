//! Claims of idempotency keys.

use {
    super::ContentDigest,
    crate::ids::{CustomerId, Incarnation, InstanceId, ServiceId},
    serde::{Deserialize, Serialize},
};

/// Maximum number of bytes of a response body that are recorded.
pub const MAX_RECORDED_BODY_BYTES: usize = 4 * 1024;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum length of a service name, customer name or content type, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// An idempotency key with its scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The called service.
    pub service: ServiceId,
    /// The calling customer.
    pub customer: CustomerId,
    /// The key that the caller chose.
    pub key: Box<str>,
}

impl ClaimKey {
    /// Returns whether all parts are within their length limits.
    pub fn is_valid(&self) -> bool {
        let is_short = |name: &str| name.len() <= MAX_NAME_BYTES;
        is_short(&self.service) && is_short(&self.customer) && (1..=MAX_KEY_BYTES).contains(&self.key.len())
    }
}

/// An attempt to send a request. Sequence numbers increase within an incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The sending instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Sequence number of the attempt.
    pub sequence: u64,
}

/// The recorded response of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledOutcome {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Box<str>>,
    /// The body, or the beginning of it.
    pub body: Box<[u8]>,
    /// Whether the body is incomplete.
    pub is_truncated: bool,
}

impl SettledOutcome {
    /// Records a response, truncating its body to the limit. Without `body`, the response counts as truncated.
    ///
    /// ```
    /// use hemlockford_core::ledger::{MAX_RECORDED_BODY_BYTES, SettledOutcome};
    /// assert!(!SettledOutcome::new(201, None, Some(b"done")).is_truncated);
    /// let long = SettledOutcome::new(200, None, Some(&[0; MAX_RECORDED_BODY_BYTES + 1]));
    /// assert!(long.is_truncated && long.body.len() == MAX_RECORDED_BODY_BYTES);
    /// ```
    pub fn new(status: u16, content_type: Option<Box<str>>, body: Option<&[u8]>) -> Self {
        let whole = body.unwrap_or_default();
        let kept = &whole[..whole.len().min(MAX_RECORDED_BODY_BYTES)];
        let content_type = content_type.filter(|content_type| content_type.len() <= MAX_NAME_BYTES);
        Self { status, content_type, body: kept.into(), is_truncated: body.is_none() || kept.len() < whole.len() }
    }
}

/// A claim in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claim {
    pub(super) holder: Holder,
    pub(super) request_digest: ContentDigest,
    pub(super) retention_ms: u64,
    pub(super) expires_ms: u64,
    pub(super) outcome: Option<SettledOutcome>,
}
