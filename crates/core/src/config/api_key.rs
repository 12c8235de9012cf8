//! API keys of customers.

use {derive_more::AsRef, std::fmt};

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 256;

/// An API key, by which a request proves that it comes from a customer. `Debug` does not show it, so that it cannot get
/// into a log or an error message.
#[derive(Clone, PartialEq, Eq, Hash, AsRef)]
#[as_ref(str)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Parses a key: 1 to 256 letters, digits and `-._~+/=` (a `token68` of RFC 9110, section 11.2).
    ///
    /// ```
    /// use hemlockford_core::config::ApiKey;
    /// let key = ApiKey::parse("nirth5mg").unwrap();
    /// assert_eq!(key.as_str(), "nirth5mg");
    /// assert_eq!(format!("{key:?}"), "ApiKey");
    /// assert!(ApiKey::parse("").is_none() && ApiKey::parse("two words").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte);
        let is_valid = (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
        is_valid.then(|| Self(text.into()))
    }

    /// Returns the key.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}
