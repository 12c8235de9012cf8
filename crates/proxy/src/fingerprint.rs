//! Fingerprints by which requests that crash servers are recognized when they come again.
//!
//! BLAKE3 resists collisions, so that a caller cannot make its requests look like those of another one, and needs no
//! key that the entries would have to share.

use {
    crate::{credentials::Identity, headers},
    actix_http::{
        RequestHead,
        header::{self, HeaderName},
    },
    blake3::Hasher,
    hemlockford_core::quarantine::RequestDigest,
};

/// Headers that tell callers apart. Their addresses do not: one caller may use several, and several may share one.
const CALLER_HEADERS: [HeaderName; 3] = [headers::CUSTOMER, header::AUTHORIZATION, header::COOKIE];

/// Returns the digest of the method, the target and the caller of a request, with the customer whose key it has.
pub(crate) fn head_digest(head: &RequestHead, identity: &Identity) -> RequestDigest {
    let mut hasher = Hasher::new();
    add(&mut hasher, head.method.as_str().as_bytes());
    add(&mut hasher, head.uri.to_string().as_bytes());
    for name in [header::HOST].iter().chain(&CALLER_HEADERS) {
        // The number of values marks where those of the next header begin.
        hasher.update(&head.headers.get_all(name).count().to_le_bytes());
        head.headers.get_all(name).for_each(|value| add(&mut hasher, value.as_bytes()));
    }
    if let Some(holder) = identity.holder() {
        add(&mut hasher, holder.customer.as_bytes());
    }
    truncate(&hasher)
}

/// Adds bytes with their length, so that the boundaries between consecutive parts affect the digest.
fn add(hasher: &mut Hasher, bytes: &[u8]) {
    hasher.update(&bytes.len().to_le_bytes());
    hasher.update(bytes);
}

fn truncate(hasher: &Hasher) -> RequestDigest {
    let mut bytes = [0; size_of::<RequestDigest>()];
    hasher.finalize_xof().fill(&mut bytes);
    RequestDigest::from_le_bytes(bytes)
}

/// Digest of a body, or of its first part if it is longer than the limit.
#[derive(Debug)]
pub(crate) struct BodyDigest {
    hasher: Hasher,
    left: usize,
}

impl BodyDigest {
    pub(crate) fn new(limit: usize) -> Self {
        Self { hasher: Hasher::new(), left: limit }
    }

    pub(crate) fn add(&mut self, part: &[u8]) {
        let counted = part.len().min(self.left);
        self.hasher.update(&part[..counted]);
        self.left -= counted;
    }

    /// Returns whether further parts do not count.
    pub(crate) fn is_complete(&self) -> bool {
        self.left == 0
    }

    pub(crate) fn value(&self) -> RequestDigest {
        truncate(&self.hasher)
    }
}
