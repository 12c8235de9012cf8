//! Errors in configurations and settings.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// An error in a configuration or in settings, with its location.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("line {line}: [{section}] {key}: {message}")]
pub struct ConfigError {
    /// Line number, starting at 1; 0 if something is missing.
    pub line: usize,
    /// Section header without brackets.
    pub section: Box<str>,
    /// Key within the section; empty if the error concerns the whole section.
    pub key: Box<str>,
    /// Description of the error and of what is expected.
    pub message: Box<str>,
}
