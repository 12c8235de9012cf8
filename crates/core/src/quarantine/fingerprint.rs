//! Identity of a request that may come again.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Collision-resistant digest of a part of a request.
pub type RequestDigest = u128;

/// Identity of a request that may come again. Requests of different callers have different fingerprints.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{head:032x}/{body:032x}")]
pub struct RequestFingerprint {
    /// Digest of the method, the target and the caller.
    pub head: RequestDigest,
    /// Digest of the body.
    pub body: RequestDigest,
}
