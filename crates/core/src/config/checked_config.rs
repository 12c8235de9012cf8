//! Configuration texts that were checked.

use {
    super::{ConfigError, Configuration},
    crate::ids::ChangeNumber,
    derive_more::Debug,
};

/// The text of a configuration that was parsed without errors. Parsing a long one takes many times as long as any step
/// of a replica, which therefore takes a text that was checked before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedConfig {
    number: ChangeNumber,
    #[debug("{} bytes", text.len())]
    text: Box<str>,
}

impl CheckedConfig {
    /// Checks a text.
    ///
    /// ```
    /// use hemlockford_core::config::CheckedConfig;
    /// let checked = CheckedConfig::parse("[change]\nnumber = 7\n[service catalogue]\n".into()).unwrap();
    /// assert_eq!(checked.number(), 7);
    /// assert!(CheckedConfig::parse("[service catalogue]\n".into()).is_err());
    /// ```
    pub fn parse(text: Box<str>) -> Result<Self, Vec<ConfigError>> {
        let number = Configuration::parse(&text)?.number;
        Ok(Self { number, text })
    }

    /// Returns the number of the change.
    ///
    /// ```
    /// use hemlockford_core::config::CheckedConfig;
    /// assert_eq!(CheckedConfig::parse("[change]\nnumber = 7\n".into()).unwrap().number(), 7);
    /// ```
    pub fn number(&self) -> ChangeNumber {
        self.number
    }

    /// Returns the text.
    ///
    /// ```
    /// use hemlockford_core::config::CheckedConfig;
    /// assert_eq!(&*CheckedConfig::parse("[change]\nnumber = 7\n".into()).unwrap().into_text(), "[change]\nnumber = 7\n");
    /// ```
    pub fn into_text(self) -> Box<str> {
        self.text
    }
}
