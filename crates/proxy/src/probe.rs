//! Probes of servers on the connections that also carry calls.
//!
//! A connection on which a probe was just answered is the safest one for a call that may not be repeated, and it
//! saves opening another one.

use {
    crate::{connection::Gathered, dialect::Dialect, pool::Pool},
    actix_http::{
        Method, RequestHead, Uri,
        body::BodySize,
        header::{self, HeaderValue},
    },
    actix_rt::time::timeout,
    hemlockford_core::{
        dispatch::{DispatchEvent, LoadReport},
        ids::ServerId,
    },
    std::{
        cell::Cell,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Largest body of an answer to a probe that is read, in bytes.
const BODY_LIMIT: usize = 4 * 1_024;

/// One probe that a worker is to send.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Number of the probe.
    pub number: u64,
    /// The server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path on which it answers.
    pub path: Box<str>,
    /// Time after which the probe is cut off.
    pub limit: Duration,
    /// Where its end is reported.
    pub events: mpsc::UnboundedSender<DispatchEvent>,
}

impl Probe {
    /// Sends the probe and reports its end.
    pub(crate) async fn run(self, pool: Pool, dialect: &Dialect) {
        let begin = Instant::now();
        let answer = timeout(self.limit, self.exchange(&pool, dialect)).await.ok().flatten();
        // Without a receiver the process is stopping.
        let _ = self.events.send(DispatchEvent::ProbeFinished {
            probe: self.number,
            latency: begin.elapsed(),
            report: answer.flatten(),
            ok: answer.is_some(),
        });
    }

    /// Returns the report of a good answer.
    async fn exchange(&self, pool: &Pool, dialect: &Dialect) -> Option<Option<LoadReport>> {
        let mut connection = pool.acquire(self.address, false).await.ok()?;
        connection.writer.start(self.head(dialect)?, BodySize::None).ok()?;
        connection.writer.flush(&Cell::new(false)).await.ok()?;
        connection.writer.finish();
        let (head, _) = connection.reader.read_head(&Method::GET, false).await.ok()?;
        // An answer that names a request is a late one of an earlier call.
        let is_foreign = dialect.request_id_header.as_ref().is_some_and(|name| head.headers.contains_key(name));
        if is_foreign || connection.reader.gather(&mut Vec::new(), BODY_LIMIT).await != Gathered::Whole {
            return None;
        }
        connection.release_rested();
        head.status.is_success().then(|| dialect.load(&head))
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
