//! Hash collections with a fast, non-cryptographic hasher.

/// Hash map with the workspace's fast hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the workspace's fast hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// The hasher of these collections.
pub type FastHasher = rustc_hash::FxHasher;
