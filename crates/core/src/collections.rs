//! Hash collections with a fast, non-cryptographic hasher.

/// Hash map with [`FastHasher`].
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with [`FastHasher`].
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Hasher of these collections; it does not protect against chosen keys that collide.
pub type FastHasher = rustc_hash::FxHasher;
