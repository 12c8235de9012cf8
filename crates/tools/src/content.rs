//! Test content derived from a request, which lets a caller verify that an answer belongs to its request.

use std::hash::Hasher;

/// Content that caller and server both derive from the path, the request id and the length.
#[derive(Clone, Debug)]
pub struct Content {
    bytes: Vec<u8>,
    matched_bytes: usize,
    is_mismatched: bool,
}

/// Result of comparing received bytes with the expected content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStatus {
    /// All bytes were received and match.
    Complete,
    /// The received bytes match, but the end is missing.
    Incomplete,
    /// A byte differs, or more bytes than expected were received.
    Mismatched,
}

impl Content {
    /// Derives the content of a request.
    ///
    /// ```
    /// use hemlockford_tools::{Content, ContentStatus};
    /// let mut content = Content::new("/catalogue/7", "a-7", 100);
    /// let bytes = content.bytes().to_vec();
    /// content.compare(&bytes[..60]);
    /// assert_eq!(content.status(), ContentStatus::Incomplete);
    /// content.compare(&bytes[60..]);
    /// assert_eq!(content.status(), ContentStatus::Complete);
    /// ```
    pub fn new(path: &str, request: &str, length: usize) -> Self {
        let mut bytes = format!("{path} {request} {length}\n").into_bytes();
        let mut state = filler_seed(&bytes);
        bytes.reserve(length + 8);
        while bytes.len() < length {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            bytes.extend_from_slice(&state.to_le_bytes());
        }
        bytes.truncate(length);
        Self { bytes, matched_bytes: 0, is_mismatched: false }
    }

    /// Returns the complete content.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Converts into the complete content.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Compares the next received bytes with the expected ones.
    pub fn compare(&mut self, received: &[u8]) {
        let expected = self.bytes.get(self.matched_bytes..self.matched_bytes + received.len());
        if expected == Some(received) {
            self.matched_bytes += received.len();
        } else {
            self.is_mismatched = true;
        }
    }

    /// Returns the result of the comparison so far.
    pub fn status(&self) -> ContentStatus {
        match (self.is_mismatched, self.matched_bytes == self.bytes.len()) {
            (true, _) => ContentStatus::Mismatched,
            (false, true) => ContentStatus::Complete,
            (false, false) => ContentStatus::Incomplete,
        }
    }
}

/// Returns the seed, which must not be zero, of the xorshift generator that fills the content after its first line.
fn filler_seed(first_line: &[u8]) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(first_line);
    hasher.finish() | 1
}
