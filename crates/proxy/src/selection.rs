//! How the service of a request is selected.

/// How the service of a request is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Selection {
    /// By the first segment of the path, unless the text has routes.
    #[default]
    Segment,
    /// By the routes of the text alone.
    Routes,
}
