//! Fuzz tests of messages and records that are encoded with `postcard`.

use {
    crate::{Fuzzer, Mutator, SEED},
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeSet, fmt::Debug},
};

/// Maximum number of valid encodings of a type.
const MAX_ENCODINGS: usize = 200;
/// Maximum number of random inputs that are decoded to find them.
const MAX_ATTEMPTS: usize = 20_000;
/// Maximum number of encodings of one variant, so that frequent variants do not crowd out the others.
const MAX_ENCODINGS_PER_VARIANT: usize = 25;

/// Returns valid `postcard` encodings of a type, found by decoding random bytes.
///
/// ```
/// let encodings = hemlockford_fuzz::valid_encodings::<(u8, Vec<u16>)>();
/// assert!(postcard::from_bytes::<(u8, Vec<u16>)>(&encodings[0]).is_ok());
/// ```
pub fn valid_encodings<T: Serialize + DeserializeOwned>() -> Vec<Vec<u8>> {
    let mut mutator = Mutator::new(SEED);
    let mut found = Vec::new();
    let mut variant_counts = [0; 256];
    for _ in 0..MAX_ATTEMPTS {
        if found.len() == MAX_ENCODINGS {
            break;
        }
        let Ok((value, _)) = postcard::take_from_bytes::<T>(&mutator.structured_bytes()) else { continue };
        let encoding = postcard::to_stdvec(&value).expect("a decoded value can be encoded");
        let variant = usize::from(encoding.first().copied().unwrap_or_default());
        if variant_counts[variant] < MAX_ENCODINGS_PER_VARIANT {
            variant_counts[variant] += 1;
            found.push(encoding);
        }
    }
    found
}

/// Checks the decoder of a type with `count` inputs: it allocates at most `memory_per_byte` bytes for each byte of
/// input, and accepted values survive a round trip through the encoder. `variants` is the number of variants of an
/// enum, and each of them must occur among the valid encodings.
pub fn check_postcard_decoder<T>(name: &'static str, variants: usize, memory_per_byte: u64, count: usize)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let valid = valid_encodings::<T>();
    let found: BTreeSet<_> = valid.iter().filter_map(|encoding| encoding.first()).collect();
    assert!(found.len() >= variants, "{name}: only variants {found:?} of {variants} were generated");
    let decode = |input: &[u8]| postcard::from_bytes::<T>(input).ok();
    Fuzzer::new(name, memory_per_byte).run(&valid, count, decode, |_, value| {
        let encoding = postcard::to_stdvec(&value).expect("a decoded value can be encoded");
        let decoded: T = postcard::from_bytes(&encoding).expect("an encoded value can be decoded");
        assert_eq!(decoded, value, "{name}");
    });
}
