//! Random and mutated inputs for decoders.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Maximum length of a random input.
const MAX_RANDOM_BYTES: usize = 200;
/// Maximum number of bytes inserted or removed at a time.
const MAX_INSERTED_BYTES: usize = 16;
/// Maximum number of mutations of one input.
const MAX_MUTATIONS: usize = 3;
/// Length fields, as varints and as little-endian integers, that exceed the length of any input.
const OVERSIZED_LENGTHS: [&[u8]; 5] = [
    &[0xff, 0xff, 0xff, 0xff, 0x0f],
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01],
    &[0x80, 0x80, 0x40],
    &[0xff, 0xff, 0xff, 0x7f],
    &[0x00, 0x00, 0x10, 0x00],
];

/// Generates inputs for decoders from a seed.
#[derive(Debug)]
pub struct Mutator {
    rng: SmallRng,
}

impl Mutator {
    /// Creates a generator with the given seed.
    ///
    /// ```
    /// use hemlockford_fuzz::Mutator;
    /// assert_eq!(Mutator::new(1).random_bytes(), Mutator::new(1).random_bytes());
    /// ```
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns random bytes.
    pub fn random_bytes(&mut self) -> Vec<u8> {
        let length = self.rng.random_range(0..=MAX_RANDOM_BYTES);
        (0..length).map(|_| self.rng.random()).collect()
    }

    /// Returns random bytes, most of them small like tags, flags and lengths, and many of them printable ASCII.
    pub fn structured_bytes(&mut self) -> Vec<u8> {
        let length = self.rng.random_range(0..=2 * MAX_RANDOM_BYTES);
        let byte = |rng: &mut SmallRng| match rng.random_range(0..20) {
            0..12 => rng.random_range(0..3),
            12..15 => rng.random_range(0..24),
            15..19 => rng.random_range(b' '..=b'~'),
            _ => rng.random(),
        };
        (0..length).map(|_| byte(&mut self.rng)).collect()
    }

    /// Returns a random index below `length`, which must not be 0.
    pub fn random_index(&mut self, length: usize) -> usize {
        self.rng.random_range(0..length)
    }

    /// Returns a copy of `input` with bits flipped, bytes removed, inserted or repeated, lengths increased, or a part
    /// replaced by bytes of `other`.
    pub fn mutate(&mut self, input: &[u8], other: &[u8]) -> Vec<u8> {
        let mut bytes = input.to_vec();
        for _ in 0..self.rng.random_range(1..=MAX_MUTATIONS) {
            self.mutate_once(&mut bytes, other);
        }
        bytes
    }

    fn mutate_once(&mut self, bytes: &mut Vec<u8>, other: &[u8]) {
        let (from, to) = self.random_range(bytes.len());
        match self.rng.random_range(0..8) {
            0 if !bytes.is_empty() => {
                let at = self.random_index(bytes.len());
                bytes[at] ^= 1 << self.rng.random_range(0..8);
            }
            1 => bytes.truncate(from),
            2 => drop(bytes.drain(from..to.min(from + MAX_INSERTED_BYTES))),
            3 => {
                let count = self.rng.random_range(1..=MAX_INSERTED_BYTES);
                let inserted: Vec<u8> = (0..count).map(|_| self.rng.random()).collect();
                bytes.splice(from..from, inserted);
            }
            4 => {
                let length = OVERSIZED_LENGTHS[self.random_index(OVERSIZED_LENGTHS.len())];
                let replaced = if self.rng.random() { 1 } else { length.len() };
                let end = bytes.len().min(from + replaced);
                bytes.splice(from..end, length.iter().copied());
            }
            5 => {
                let (start, end) = self.random_range(other.len());
                bytes.splice(from..to, other[start..end].iter().copied());
            }
            6 => {
                let repeated = bytes[from..to.min(from + 4 * MAX_INSERTED_BYTES)].to_vec();
                bytes.splice(from..from, repeated);
            }
            _ if !bytes.is_empty() => {
                let at = self.random_index(bytes.len());
                bytes[at] = bytes[at].wrapping_add(self.rng.random_range(1..5));
            }
            _ => {}
        }
    }

    fn random_range(&mut self, length: usize) -> (usize, usize) {
        let (a, b) = (self.rng.random_range(0..=length), self.rng.random_range(0..=length));
        (a.min(b), a.max(b))
    }
}
