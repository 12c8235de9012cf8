//! A claim of an idempotency key.

use {
    super::ContentDigest,
    crate::ids::{CustomerId, Incarnation, InstanceId, ServiceId},
    serde::{Deserialize, Serialize},
};

/// Longest part of an answer's body that is kept.
pub const MAX_RECORDED_BODY_BYTES: usize = 4 * 1024;

/// Longest permitted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Longest permitted name of a service or customer, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// An idempotency key with its scope.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Service that is called.
    pub service: ServiceId,
    /// Customer that calls.
    pub customer: CustomerId,
    /// Key that the caller chose.
    pub key: Box<str>,
}

impl ClaimKey {
    /// Returns whether every part is within its limit.
    pub fn is_valid(&self) -> bool {
        let is_short = |name: &str| name.len() <= MAX_NAME_BYTES;
        is_short(&self.service) && is_short(&self.customer) && (1..=MAX_KEY_BYTES).contains(&self.key.len())
    }
}

/// One attempt at sending a request. Sequences rise within one incarnation of an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Instance that sends.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the attempt.
    pub sequence: u64,
}

/// The recorded answer of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledOutcome {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<Box<str>>,
    /// The body, or its beginning.
    pub body: Box<[u8]>,
    /// Whether the body is not whole.
    pub is_truncated: bool,
}

impl SettledOutcome {
    /// Keeps as much of an answer as is permitted; without a body, one that is known to exist counts as
    /// truncated.
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

/// A claim as the ledger holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Claim {
    pub(super) holder: Holder,
    pub(super) request_digest: ContentDigest,
    pub(super) retention_ms: u64,
    pub(super) expires_ms: u64,
    pub(super) outcome: Option<SettledOutcome>,
}
