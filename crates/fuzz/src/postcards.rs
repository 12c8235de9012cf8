//! Messages and records in `postcard`.

use {
    crate::{Fuzz, Mutator, SEED},
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeSet, fmt::Debug},
};

/// Valid encodings that are made of each type, and attempts at most.
const VALID: usize = 200;
const ATTEMPTS: usize = 20_000;
/// Encodings kept of each variant, so that the common ones leave room for the others.
const VARIANT_VALID: usize = 25;

/// Returns valid encodings of a type, found by decoding random bytes.
///
/// ```
/// let encodings = hemlockford_fuzz::postcards::<(u8, Vec<u16>)>();
/// assert!(postcard::from_bytes::<(u8, Vec<u16>)>(&encodings[0]).is_ok());
/// ```
pub fn postcards<T: Serialize + DeserializeOwned>() -> Vec<Vec<u8>> {
    let mut mutator = Mutator::new(SEED);
    let mut found = Vec::new();
    let mut variants = [0; 256];
    for _ in 0..ATTEMPTS {
        if found.len() == VALID {
            break;
        }
        let Ok((value, _)) = postcard::take_from_bytes::<T>(&mutator.dense()) else { continue };
        let encoding = postcard::to_stdvec(&value).expect("a value that was decoded is encoded");
        let variant = usize::from(encoding.first().copied().unwrap_or_default());
        if variants[variant] < VARIANT_VALID {
            variants[variant] += 1;
            found.push(encoding);
        }
    }
    found
}

/// Checks the decoder of a type over `count` inputs: it holds at most `per_byte` bytes for each byte of the input,
/// and what it accepts is encoded to bytes that give an equal value. `variants` is the number of variants of an enum.
pub fn check_postcard<T>(name: &'static str, variants: usize, per_byte: u64, count: usize)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let valid = postcards::<T>();
    let found: BTreeSet<_> = valid.iter().filter_map(|encoding| encoding.first()).collect();
    assert!(found.len() >= variants, "{name}: variants {found:?} of {variants}");
    let decode = |input: &[u8]| postcard::from_bytes::<T>(input).ok();
    Fuzz::new(name, per_byte).run(&valid, count, decode, |_, value| {
        let encoding = postcard::to_stdvec(&value).expect("a value that was decoded is encoded");
        let again: T = postcard::from_bytes(&encoding).expect("a value that was encoded is decoded");
        assert_eq!(again, value, "{name}");
    });
}
