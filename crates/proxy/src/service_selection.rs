//! How the service of a request is selected.

/// How the service of a request is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceSelection {
    /// By the first segment of the path, unless the configuration has routes.
    #[default]
    PathSegment,
    /// Only by the routes of the configuration.
    Routes,
}
