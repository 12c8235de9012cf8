//! Inputs for decoders.

use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Longest random input and longest insertion, in bytes.
const RANDOM_BYTES: usize = 200;
const INSERTED_BYTES: usize = 16;
/// Most changes to one input.
const CHANGES: usize = 3;
/// Lengths as a varint and as little-endian numbers, beyond any input.
const LENGTHS: [&[u8]; 5] = [
    &[0xff, 0xff, 0xff, 0xff, 0x0f],
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01],
    &[0x80, 0x80, 0x40],
    &[0xff, 0xff, 0xff, 0x7f],
    &[0x00, 0x00, 0x10, 0x00],
];

/// Makes inputs for decoders from a seed.
#[derive(Debug)]
pub struct Mutator {
    rng: SmallRng,
}

impl Mutator {
    /// Makes the inputs of a seed.
    ///
    /// ```
    /// use hemlockford_fuzz::Mutator;
    /// assert_eq!(Mutator::new(1).random(), Mutator::new(1).random());
    /// ```
    pub fn new(seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed) }
    }

    /// Returns random bytes.
    pub fn random(&mut self) -> Vec<u8> {
        let length = self.rng.random_range(0..=RANDOM_BYTES);
        (0..length).map(|_| self.rng.random()).collect()
    }

    /// Returns random bytes of which most are small, as tags, flags and lengths are, and many are text.
    pub fn dense(&mut self) -> Vec<u8> {
        let length = self.rng.random_range(0..=2 * RANDOM_BYTES);
        let byte = |rng: &mut SmallRng| match rng.random_range(0..20) {
            0..12 => rng.random_range(0..3),
            12..15 => rng.random_range(0..24),
            15..19 => rng.random_range(b' '..=b'~'),
            _ => rng.random(),
        };
        (0..length).map(|_| byte(&mut self.rng)).collect()
    }

    /// Returns an index below a length that is not 0.
    pub fn below(&mut self, length: usize) -> usize {
        self.rng.random_range(0..length)
    }

    /// Returns an input with bits flipped, bytes cut, inserted or repeated, lengths raised, or spliced with another.
    pub fn mutate(&mut self, input: &[u8], other: &[u8]) -> Vec<u8> {
        let mut bytes = input.to_vec();
        for _ in 0..self.rng.random_range(1..=CHANGES) {
            self.change(&mut bytes, other);
        }
        bytes
    }

    fn change(&mut self, bytes: &mut Vec<u8>, other: &[u8]) {
        let (from, to) = self.range(bytes.len());
        match self.rng.random_range(0..8) {
            0 if !bytes.is_empty() => {
                let at = self.below(bytes.len());
                bytes[at] ^= 1 << self.rng.random_range(0..8);
            }
            1 => bytes.truncate(from),
            2 => drop(bytes.drain(from..to.min(from + INSERTED_BYTES))),
            3 => {
                let count = self.rng.random_range(1..=INSERTED_BYTES);
                let inserted: Vec<u8> = (0..count).map(|_| self.rng.random()).collect();
                bytes.splice(from..from, inserted);
            }
            4 => {
                let length = LENGTHS[self.below(LENGTHS.len())];
                let replaced = if self.rng.random() { 1 } else { length.len() };
                let end = bytes.len().min(from + replaced);
                bytes.splice(from..end, length.iter().copied());
            }
            5 => {
                let (start, end) = self.range(other.len());
                bytes.splice(from..to, other[start..end].iter().copied());
            }
            6 => {
                let repeated = bytes[from..to.min(from + 4 * INSERTED_BYTES)].to_vec();
                bytes.splice(from..from, repeated);
            }
            _ if !bytes.is_empty() => {
                let at = self.below(bytes.len());
                bytes[at] = bytes[at].wrapping_add(self.rng.random_range(1..5));
            }
            _ => {}
        }
    }

    fn range(&mut self, length: usize) -> (usize, usize) {
        let (a, b) = (self.rng.random_range(0..=length), self.rng.random_range(0..=length));
        (a.min(b), a.max(b))
    }
}
