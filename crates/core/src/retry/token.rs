//! How a token travels and who may use it.

use crate::dispatch::AttemptResult;

/// Name of the request header that carries a retry token; servers copy it to the calls they make.
pub const ALLOWANCE_HEADER: &str = "hemlockford-retry-allowance";

/// Returns whether an attempt carries the token of its call down to the server.
///
/// A service without dependencies makes no further calls, so the entry keeps the token. A second attempt
/// is made with the token, which is then used up.
pub fn forwards_token(has_dependencies: bool, is_retry: bool) -> bool {
    has_dependencies && !is_retry
}

/// Returns whether an entry may use the token of a call whose attempt ended with `result`.
///
/// A token that was passed down may have been used below, and servers do not tell. It is used here only
/// where the attempt certainly did not run.
///
/// ```
/// use hemlockford_core::{dispatch::AttemptResult, retry::may_use_token};
/// assert!(may_use_token(AttemptResult::ServerError, false));
/// assert!(!may_use_token(AttemptResult::ServerError, true));
/// assert!(may_use_token(AttemptResult::RefusedBeforeWrite, true));
/// ```
pub fn may_use_token(result: AttemptResult, token_forwarded: bool) -> bool {
    match result {
        AttemptResult::Complete | AttemptResult::CallerLeft => false,
        AttemptResult::Shed | AttemptResult::RefusedBeforeWrite | AttemptResult::Misdirected => true,
        AttemptResult::ServerError
        | AttemptResult::BrokenAfterWrite
        | AttemptResult::BadAnswer
        | AttemptResult::Timeout => !token_forwarded,
    }
}
