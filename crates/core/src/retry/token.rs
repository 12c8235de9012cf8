//! Rules for passing on and using retry tokens.

use crate::dispatch::AttemptResult;

/// Name of the request header that carries a retry token; servers copy it to the calls that they make.
pub const ALLOWANCE_HEADER: &str = "hemlockford-retry-allowance";

/// Returns whether an attempt passes the retry token of its call on to the server.
///
/// A service without dependencies makes no further calls, so the entry keeps the token. A retry uses up the
/// token.
pub fn forwards_token(has_dependencies: bool, is_retry: bool) -> bool {
    has_dependencies && !is_retry
}

/// Returns whether an entry may use the token of a call whose attempt ended with `result`.
///
/// A token that was passed on may have been used at a lower level, of which the entry is not informed. Such a
/// token is only used here if the attempt certainly did not run.
///
/// ```
/// use hemlockford_core::{dispatch::AttemptResult, retry::may_use_token};
/// assert!(may_use_token(AttemptResult::ServerError, false));
/// assert!(!may_use_token(AttemptResult::ServerError, true));
/// assert!(may_use_token(AttemptResult::RefusedBeforeWrite, true));
/// ```
pub fn may_use_token(result: AttemptResult, token_forwarded: bool) -> bool {
    match result {
        AttemptResult::Complete | AttemptResult::CallerLeft | AttemptResult::Superseded => false,
        AttemptResult::Shed | AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => true,
        AttemptResult::ServerError
        | AttemptResult::BrokenAfterWrite
        | AttemptResult::BadAnswer
        | AttemptResult::Timeout => !token_forwarded,
    }
}
