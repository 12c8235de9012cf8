//! Digest of a text or a request.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

const BASIS: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

/// Digest of a text or a request: FNV-1a with 128 bits, which is the same in every build. It tells
/// different texts of honest operators apart; it is no protection against forged ones.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{_0:032x}")]
pub struct ContentDigest(u128);

impl ContentDigest {
    /// Computes the digest of some bytes.
    ///
    /// ```
    /// use hemlockford_core::ledger::ContentDigest;
    /// assert_eq!(ContentDigest::of(b"").to_string(), "6c62272e07bb014262b821756295c58d");
    /// assert_ne!(ContentDigest::of(b"a"), ContentDigest::of(b"b"));
    /// ```
    pub fn of(bytes: &[u8]) -> Self {
        Self(bytes.iter().fold(BASIS, |hash, byte| (hash ^ u128::from(*byte)).wrapping_mul(PRIME)))
    }
}
