//! What may be repeated on a route.

use derive_more::Display;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once.
    #[display("once")]
    Once,
    /// A request has a large body and runs at most once.
    #[display("upload")]
    Upload,
}

impl RouteKind {
    /// Every kind, in the order of the documentation.
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::Once, Self::Upload];

    /// Finds the kind of a name in the text.
    ///
    /// ```
    /// use hemlockford_core::config::RouteKind;
    /// assert_eq!(RouteKind::parse("once"), Some(RouteKind::Once));
    /// ```
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.to_string() == name)
    }
}
