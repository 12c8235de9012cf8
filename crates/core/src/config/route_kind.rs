//! Kinds of routes, by whether requests may be repeated.

use derive_more::Display;

/// Kind of a route, which determines whether requests may be executed more than once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may be executed more than once.
    #[display("idempotent")]
    Idempotent,
    /// Requests have a large response and may be executed more than once.
    #[display("download")]
    Download,
    /// Requests are executed at most once.
    #[display("once")]
    Once,
    /// Requests have a large body and are executed at most once.
    #[display("upload")]
    Upload,
}

impl RouteKind {
    /// All kinds, in the order of the documentation.
    pub const ALL: [Self; 4] = [Self::Idempotent, Self::Download, Self::Once, Self::Upload];

    /// Returns whether requests may be executed more than once.
    ///
    /// ```
    /// use hemlockford_core::config::RouteKind;
    /// assert!(RouteKind::Download.is_idempotent());
    /// ```
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::Once | Self::Upload => false,
        }
    }

    /// Parses the name of a kind in the configuration.
    ///
    /// ```
    /// use hemlockford_core::config::RouteKind;
    /// assert_eq!(RouteKind::parse("once"), Some(RouteKind::Once));
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}
