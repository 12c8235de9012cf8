//! Stable hashes that identify names in slot messages and select the coordinator of a service.

/// Hash of a name. It has 42 bits, so that it takes at most 6 bytes on the wire; with 1,900 servers the probability of
/// any collision is about 4 in 10 million.
pub type NameHash = u64;

const HASH_BITS: u32 = 42;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the hash of a name. It is the same in every process and version.
///
/// ```
/// use hemlockford_core::slots::name_hash;
/// assert_eq!(name_hash("catalogue"), name_hash("catalogue"));
/// assert!(name_hash("catalogue") < 1 << 42);
/// ```
pub fn name_hash(name: &str) -> NameHash {
    mix(name.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
        >> (u64::BITS - HASH_BITS)
}

/// Returns the rendezvous hashing weight of `candidate` for `item`; the candidate with the highest weight wins.
pub(super) fn rank(item: NameHash, candidate: NameHash) -> u64 {
    mix(mix(item) ^ candidate.rotate_left(HASH_BITS / 2))
}

/// Returns a short nonzero hash of an incarnation, for messages that only need to distinguish it from others.
pub(super) fn session(incarnation: u64) -> u32 {
    (mix(incarnation.wrapping_add(1)) >> u32::BITS) as u32 | 1
}

/// Mixes all input bits (the finalizer of MurmurHash3).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
