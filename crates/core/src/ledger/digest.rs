//! Digests of configurations and requests.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

const FNV_OFFSET_BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const FNV_PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// Digest of a configuration or a request: 128-bit FNV-1a, which is the same in every build. It is not cryptographic:
/// it distinguishes different contents but does not protect against forged ones.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct ContentDigest(u128);

impl ContentDigest {
    /// Computes the digest of a byte string.
    ///
    /// ```
    /// use hemlockford_core::ledger::ContentDigest;
    /// assert_eq!(ContentDigest::of(b"").to_string(), "6c62272e07bb014262b821756295c58d");
    /// assert_ne!(ContentDigest::of(b"a"), ContentDigest::of(b"b"));
    /// ```
    pub fn of(bytes: &[u8]) -> Self {
        Self(bytes.iter().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(FNV_PRIME)))
    }
}
