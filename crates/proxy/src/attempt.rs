//! An attempt to send a call to a server, whose result is always reported to the dispatcher.

use {
    crate::{
        counters::ProxyCounters, dialect::RequestIdMatch, dispatcher::DispatcherHandle, named_limits::ResponseTo,
        shared::Shared,
    },
    actix_http::ResponseHead,
    hemlockford_core::{
        dispatch::{AttemptResult, FinishedAttempt, LoadReport, ServerNotice},
        ids::{CallId, ServerId},
    },
    std::{net::SocketAddr, time::Instant},
};

/// An attempt to send a call to a server. Reports `CallerLeft`, or `Superseded` for a second copy, when it is dropped before
/// another result is reported.
#[derive(Debug)]
pub(crate) struct Attempt {
    dispatcher: DispatcherHandle,
    counters: ProxyCounters,
    call: CallId,
    server: ServerId,
    address: SocketAddr,
    start: Instant,
    report: Option<LoadReport>,
    is_reported: bool,
    /// What is reported if the attempt is dropped before its end.
    result_if_dropped: AttemptResult,
}

impl Attempt {
    pub(crate) fn new(shared: &Shared, call: CallId, server: ServerId, address: SocketAddr) -> Self {
        let (dispatcher, counters) = (shared.dispatcher.clone(), shared.counters.clone());
        Self {
            dispatcher,
            counters,
            call,
            server,
            address,
            start: Instant::now(),
            report: None,
            is_reported: false,
            result_if_dropped: AttemptResult::CallerLeft,
        }
    }

    /// Creates the attempt of a second copy, which is cancelled when the first one is answered.
    pub(crate) fn of_copy(shared: &Shared, call: CallId, server: ServerId, address: SocketAddr) -> Self {
        let mut attempt = Self::new(shared, call, server, address);
        attempt.result_if_dropped = AttemptResult::Superseded;
        attempt
    }

    pub(crate) fn server(&self) -> &ServerId {
        &self.server
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports that the server asked for no further calls.
    pub(crate) fn report_notice(&self, notice: ServerNotice) {
        self.dispatcher.server_noticed(self.server.clone(), self.address, notice);
    }

    /// Stores the load that the server reported.
    pub(crate) fn set_load_report(&mut self, report: Option<LoadReport>) {
        self.report = report;
    }

    /// Reports the rate of calls that the server names in a response, or no longer names. A response to another request
    /// may be older than a limit, and does not end it.
    pub(crate) fn report_limit(&self, shared: &Shared, head: &ResponseHead, id_match: RequestIdMatch) {
        let dialect = &shared.options.dialect;
        if id_match != RequestIdMatch::Match && dialect.server_limit(head) == Some(None) {
            return;
        }
        let request = (ResponseTo::Call, self.start);
        let notice = shared.pool.limit_notice(dialect, head, self.address, request);
        notice.into_iter().for_each(|notice| self.report_notice(notice));
    }

    /// Returns whether the result was reported.
    pub(crate) fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Ends the attempt and returns the report, which the caller of this method sends to the dispatcher.
    pub(crate) fn end(&mut self, result: AttemptResult) -> FinishedAttempt {
        self.is_reported = true;
        self.counters.attempts.with_label_values(&[&result.to_string()]).inc();
        FinishedAttempt {
            call: self.call,
            server: self.server.clone(),
            result,
            latency: self.start.elapsed(),
            report: self.report,
            wants_decision: false,
        }
    }

    /// Ends the attempt and reports it; the call needs no further decision. Does nothing if the attempt has ended
    /// already.
    pub(crate) fn finish(&mut self, result: AttemptResult) {
        if !self.is_reported {
            let finish = self.end(result);
            self.dispatcher.attempt_finished(finish);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.finish(self.result_if_dropped);
    }
}
