//! Stable hashes that stand for names in slot messages and choose the coordinator of a service.

/// Hash of a name. It has 42 bits, so that it takes at most 6 bytes on the wire; with 1,900 servers the
/// chance that any two share a key is about 4 in 10 million.
pub type NameHash = u64;

const KEY_BITS: u32 = 42;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the key of a name; it is the same in every process and version.
///
/// ```
/// use hemlockford_core::slots::name_hash;
/// assert_eq!(name_hash("catalogue"), name_hash("catalogue"));
/// assert!(name_hash("catalogue") < 1 << 42);
/// ```
pub fn name_hash(name: &str) -> NameHash {
    mix(name.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)))
        >> (u64::BITS - KEY_BITS)
}

/// Returns the weight of a candidate for an owner in rendezvous hashing; the highest weight wins.
pub(super) fn rank(owner: NameHash, candidate: NameHash) -> u64 {
    mix(mix(owner) ^ candidate.rotate_left(KEY_BITS / 2))
}

/// Returns a short stand-in for an incarnation, for messages that only need to tell it from others.
pub(super) fn session(incarnation: u64) -> u32 {
    (mix(incarnation.wrapping_add(1)) >> u32::BITS) as u32 | 1
}

/// Spreads every input bit over the whole word (the finaliser of MurmurHash3).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
