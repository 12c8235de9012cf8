//! Content that is derived from a request, so that a caller can check an answer against its own request.

use std::hash::Hasher;

/// Bytes that both ends derive from the path, the request id and the length.
#[derive(Clone, Debug)]
pub struct Content {
    bytes: Vec<u8>,
    matched: usize,
    is_wrong: bool,
}

/// What a check of received bytes found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentStatus {
    /// Every byte is there and is right.
    Complete,
    /// What is there is right, but the end is missing.
    Incomplete,
    /// A byte differs, or there are too many.
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
        Self { bytes, matched: 0, is_wrong: false }
    }

    /// Returns the whole content.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Takes the whole content.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Compares the next received bytes.
    pub fn compare(&mut self, received: &[u8]) {
        let expected = self.bytes.get(self.matched..self.matched + received.len());
        if expected == Some(received) {
            self.matched += received.len();
        } else {
            self.is_wrong = true;
        }
    }

    /// Returns what the bytes compared so far amount to.
    pub fn status(&self) -> ContentStatus {
        match (self.is_wrong, self.matched == self.bytes.len()) {
            (true, _) => ContentStatus::Mismatched,
            (false, true) => ContentStatus::Complete,
            (false, false) => ContentStatus::Incomplete,
        }
    }
}

/// Returns the non-zero state of a xorshift generator for the filler of a content.
fn filler_seed(head: &[u8]) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hasher.write(head);
    hasher.finish() | 1
}
