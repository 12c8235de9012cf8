//! What happens to a call when one of its two copies fails.

use {
    crate::{
        attempt::Attempt,
        caller::CallerError,
        copy_call::{CopyAnswer, CopyEnd, CopyRace},
        framing::Framing,
    },
    actix_http::ResponseHead,
    actix_rt::time::Sleep,
    bytes::Bytes,
    hemlockford_core::{dispatch::AttemptResult, ids::ServerId},
    std::{future::Future, net::SocketAddr, pin::Pin},
    tokio::select,
};

/// The response that is forwarded.
pub(crate) enum Answer {
    First(ResponseHead, Framing, Vec<Bytes>, bool),
    Copy(Box<CopyAnswer>),
}

/// What came first while only the copy runs.
pub(crate) enum CopyWait {
    Ended(CopyEnd),
    CallerFailed(CallerError),
    DeadlineExceeded,
}

/// Reports an attempt that failed while another copy of the call may still be answered.
pub(crate) fn report_end(
    attempt: &mut Attempt,
    result: AttemptResult,
    failed: &mut Vec<(ServerId, SocketAddr, AttemptResult)>,
) {
    failed.push((attempt.server().clone(), attempt.address(), result));
    attempt.finish(result);
}

/// Reports a copy that failed while the first attempt runs.
pub(crate) fn report_failed(
    mut attempt: Attempt,
    result: AttemptResult,
    failed: &mut Vec<(ServerId, SocketAddr, AttemptResult)>,
) {
    report_end(&mut attempt, result, failed);
}

/// Waits for the copy after the first attempt has failed.
pub(crate) async fn wait_for_copy(
    race: &mut Option<CopyRace<'_>>,
    mut upload: Pin<&mut impl Future<Output = CallerError>>,
    mut deadline: Pin<&mut Sleep>,
) -> CopyWait {
    select! {
        biased;
        error = &mut upload => CopyWait::CallerFailed(error),
        end = CopyRace::next(race) => CopyWait::Ended(end),
        () = &mut deadline => CopyWait::DeadlineExceeded,
    }
}
