//! Health probes of servers on the connections that also carry calls.
//!
//! A connection on which a probe was just answered is the safest one for a call that must not be repeated, and using
//! it saves opening another one.

use {
    crate::{connection::BufferedBody, dialect::Dialect, named_limits::ResponseTo, pool::Pool},
    actix_http::{
        Method, RequestHead, Uri,
        body::BodySize,
        header::{self, HeaderValue},
    },
    actix_rt::time::timeout,
    hemlockford_core::{
        dispatch::{DispatchEvent, LoadReport, ServerNotice},
        ids::ServerId,
    },
    std::{
        cell::Cell,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Maximum size of the body of a probe response that is read, in bytes.
const BODY_LIMIT: usize = 4 * 1_024;

/// A probe to be sent by a worker.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Number of the probe.
    pub number: u64,
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Path that is requested.
    pub path: Box<str>,
    /// Timeout of the probe.
    pub limit: Duration,
    /// Channel to which the result is sent.
    pub events: mpsc::UnboundedSender<DispatchEvent>,
}

/// What a server states in a successful response to a probe.
#[derive(Clone, Copy, Debug)]
struct ProbeAnswer {
    report: Option<LoadReport>,
    /// How long it stays cold.
    warm_up: Option<Duration>,
}

impl Probe {
    /// Sends the probe and reports the result.
    pub(crate) async fn run(self, pool: Pool, dialect: &Dialect) {
        let begin = Instant::now();
        let answer = timeout(self.limit, self.exchange(&pool, dialect)).await.ok().flatten();
        // There is no receiver only if the process is stopping.
        let _ = self.events.send(DispatchEvent::ProbeFinished {
            probe: self.number,
            latency: begin.elapsed(),
            report: answer.and_then(|answer| answer.report),
            warm_up: answer.and_then(|answer| answer.warm_up),
            ok: answer.is_some(),
        });
    }

    /// Returns what a successful response states.
    async fn exchange(&self, pool: &Pool, dialect: &Dialect) -> Option<ProbeAnswer> {
        let begin = Instant::now();
        pool.room_for_probe().await;
        let mut connection = pool.acquire(self.address, false).await.ok()?;
        connection.writer.encode_head(self.head(dialect)?, BodySize::None).ok()?;
        connection.writer.flush(&Cell::new(false)).await.ok()?;
        connection.writer.finish();
        let (head, _) = connection.reader.read_head(&Method::GET, false).await.ok()?;
        let limit = pool.limit_notice(dialect, &head, self.address, (ResponseTo::Probe, begin));
        for notice in dialect.server_notices(&head).chain(limit) {
            let (server, address) = (self.server.clone(), self.address);
            let _ = self.events.send(DispatchEvent::Notice { server, address, notice });
            if notice == ServerNotice::Leaving {
                connection.reader.close_after();
            }
        }
        // A response with a request id is a late response to an earlier call.
        let is_late_response = dialect.request_id_header.as_ref().is_some_and(|name| head.headers.contains_key(name));
        if is_late_response
            || connection.reader.buffer_body(&mut Vec::new(), BODY_LIMIT).await != BufferedBody::Complete
        {
            return None;
        }
        if !head.status.is_success() {
            // A second copy of a rejection, which has no id either, may follow.
            connection.release();
            return None;
        }
        connection.release_without_delay();
        Some(ProbeAnswer { report: dialect.load_report(&head), warm_up: dialect.warm_up_left(&head) })
    }

    fn head(&self, dialect: &Dialect) -> Option<RequestHead> {
        let mut head = RequestHead::default();
        head.method = Method::GET;
        head.uri = Uri::try_from(&*self.path).ok()?;
        head.headers.insert(header::HOST, HeaderValue::from_str(&self.address.to_string()).ok()?);
        if let Some(name) = &dialect.expected_server_header {
            head.headers.insert(name.clone(), HeaderValue::from_str(&self.server).ok()?);
        }
        Some(head)
    }
}
