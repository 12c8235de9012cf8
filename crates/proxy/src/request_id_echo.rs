//! Which servers repeat the id of a request in their responses.

/// Which servers repeat the id of a request in their responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdEcho {
    /// Some do. A response with another id belongs to another request.
    Optional,
    /// All do. A response without the id belongs to another request too.
    Required,
}
