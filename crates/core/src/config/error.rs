//! One thing that is wrong with a text.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// One fault of a text, with the place it was found at.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("line {line}: [{section}] {key}: {message}")]
pub struct ConfigError {
    /// Line in the text, counted from 1; 0 where the fault is something missing.
    pub line: usize,
    /// Section header without brackets.
    pub section: Box<str>,
    /// Key within the section; empty where the whole section is meant.
    pub key: Box<str>,
    /// What is wrong and what is expected.
    pub message: Box<str>,
}
