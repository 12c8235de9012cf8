//! Digest by which requests with the same idempotency key are compared.

/// 128-bit FNV-1a, which is stable across builds and instances, unlike the hashers of the standard library.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Digest(u128);

const OFFSET: u128 = 0x6c62_272e_07bb_0142_62b8_2175_6295_c58d;
const PRIME: u128 = 0x0000_0000_0100_0000_0000_0000_0000_013b;

impl Digest {
    pub(crate) fn new() -> Self {
        Self(OFFSET)
    }

    /// Adds bytes. Consecutive calls are equivalent to one call with all bytes.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u128::from(*byte)).wrapping_mul(PRIME);
        }
    }

    pub(crate) fn number(&mut self, number: u64) {
        self.add(&number.to_le_bytes());
    }

    /// Adds a text with its length, so that the boundaries between consecutive texts affect the digest.
    pub(crate) fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.add(text.as_bytes());
    }

    pub(crate) fn value(self) -> u128 {
        self.0
    }
}
