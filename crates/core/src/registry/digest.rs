//! Digest of the servers known to an entry.

use {
    super::Announcement,
    serde::{Deserialize, Serialize},
};

/// Number of buckets. A difference is repaired by sending only the servers of the buckets that differ.
const BUCKETS: usize = 8;

/// Digest of the servers known to an entry, by bucket. It covers name, incarnation and state, which rarely change,
/// but not sequence numbers, which always differ between entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u32; BUCKETS]);

impl Digest {
    /// Adds a server.
    pub(super) fn add(&mut self, announcement: &Announcement) {
        let server = fnv(FNV_BASIS, announcement.server.as_bytes());
        let hash = fnv(server, &announcement.incarnation.to_le_bytes());
        let hash = fnv(hash, &[announcement.state as u8]);
        let bucket = bucket(&announcement.server);
        self.0[bucket] = self.0[bucket].wrapping_add((hash ^ (hash >> 32)) as u32);
    }

    /// Returns the buckets that differ.
    pub(super) fn differing(&self, other: &Self) -> [bool; BUCKETS] {
        std::array::from_fn(|bucket| self.0[bucket] != other.0[bucket])
    }
}

const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// FNV-1a. Entries compare digests with each other, so the hash must be the same in every build.
fn fnv(basis: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(basis, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the bucket of a server.
pub(super) fn bucket(server: &str) -> usize {
    let hash = fnv(FNV_BASIS, server.as_bytes());
    ((hash ^ (hash >> 32)) as usize) % BUCKETS
}
