//! Recognition of requests that crash servers.

use {
    crate::{
        call::CallHandler,
        call_end::CallEnd,
        fingerprint::{self, BodyDigest},
        pool::Reachability,
    },
    actix_http::header,
    actix_rt::time::{sleep_until, timeout},
    hemlockford_core::{
        ids::ServerId,
        outcome::NotRunReason,
        quarantine::{RequestDigest, RequestFingerprint},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::select,
};

/// Maximum time for reading the rest of a body of which a server that has ended saw only a part.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

impl CallHandler<'_> {
    /// Determines the fingerprint of the request before a server can see it if a similar one is suspected.
    pub(crate) async fn identify_suspect(&mut self) -> Result<(), CallEnd> {
        let Some(head) = self.suspected_head() else { return Ok(()) };
        self.send_continue().await?;
        let deadline = self.call.deadline;
        let body = select! {
            biased;
            body = self.body.fingerprint(&mut self.reader) => body.map_err(CallEnd::CallerFailed)?,
            () = sleep_until(deadline.into()) => return Err(self.not_run(NotRunReason::Deadline)),
        };
        self.call.fingerprint = Some(RequestFingerprint { head, body });
        Ok(())
    }

    /// Returns the digest of the request's head if a request with this head is suspected. Digests are determined only
    /// while there are suspects, so that other calls cost nothing more.
    fn suspected_head(&self) -> Option<RequestDigest> {
        let suspects = self.shared.options.suspect_heads.as_ref()?;
        if suspects.borrow().is_empty() {
            return None;
        }
        let head = fingerprint::head_digest(self.head, &self.identity);
        suspects.borrow().contains(&head).then_some(head)
    }

    /// Reports that a server answered the request if it became suspected meanwhile. Servers that fail together end
    /// under several runs of a popular request, and its other runs show that it is not the cause. Requests with a body
    /// are left out, as the rest of the body may not have arrived.
    pub(crate) fn report_answered_suspect(&mut self) {
        if !self.was_relayed
            && self.call.fingerprint.is_none()
            && self.body.framing().is_empty()
            && let Some(head) = self.suspected_head()
        {
            let request = RequestFingerprint { head, body: BodyDigest::new(0).value() };
            self.shared.dispatcher.request_answered(request);
        }
    }

    /// Reports the request if the server, whose connection was lost, has ended. A lost connection alone does not show
    /// that: a server that is running accepts another one, and one that is cut off does not answer.
    pub(crate) async fn check_crash(&mut self, server: &ServerId, address: SocketAddr) {
        let shared = self.shared;
        if shared.options.suspect_heads.is_none() || shared.pool.check(address).await != Reachability::Refused {
            return;
        }
        let Ok(Ok(body)) = timeout(BODY_TIMEOUT, self.body.fingerprint(&mut self.reader)).await else { return };
        let head = fingerprint::head_digest(self.head, &self.identity);
        let request = RequestFingerprint { head, body };
        self.call.fingerprint = Some(request);
        let host = self.head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let description = format!("{} {host}{} from {}", self.head.method, self.head.uri, self.peer.ip());
        shared.dispatcher.server_crashed(self.call.id, server.clone(), request, description.into());
    }
}
