//! Probes of servers over kept connections.

use {
    actix_http::header::{HeaderName, HeaderValue},
    actix_rt::time::timeout,
    hemlockford_core::{
        dispatch::{DispatchEvent, LoadReport},
        ids::ServerId,
    },
    hemlockford_proxy::Dialect,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Time for which an idle connection of the prober is kept. Servers close theirs after 10 s.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Largest number of connections of the prober over all servers.
const CONNECTIONS: usize = 1_024;

/// Sends probes, each in a task of its own.
pub(super) struct Prober {
    client: awc::Client,
    dialect: Rc<Dialect>,
    ended: mpsc::UnboundedSender<DispatchEvent>,
}

/// One probe.
pub(super) struct Probe {
    pub(super) number: u64,
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    /// Time after which it is cut off.
    pub(super) limit: Duration,
    pub(super) path: Box<str>,
}

impl Prober {
    /// Makes a prober and the receiver of the ends of its probes.
    pub(super) fn new(dialect: Rc<Dialect>) -> (Self, mpsc::UnboundedReceiver<DispatchEvent>) {
        let (ended, rx) = mpsc::unbounded_channel();
        let connector = awc::Connector::new().conn_keep_alive(KEEP_ALIVE).limit(CONNECTIONS);
        let client = awc::Client::builder().connector(connector).disable_redirects().no_default_headers().finish();
        (Self { client, dialect, ended }, rx)
    }

    /// Starts a probe, whose end is always reported.
    pub(super) fn start(&self, probe: Probe) {
        let (client, dialect, ended) = (self.client.clone(), self.dialect.clone(), self.ended.clone());
        actix_rt::spawn(async move {
            let begin = Instant::now();
            let answer = timeout(probe.limit, probe.run(&client, &dialect)).await.ok().flatten();
            // Without a receiver the process is stopping.
            let _ = ended.send(DispatchEvent::Probed {
                probe: probe.number,
                latency: begin.elapsed(),
                report: answer.flatten(),
                ok: answer.is_some(),
            });
        });
    }
}

impl Probe {
    /// Returns the answer's report, or `None` without a good answer.
    async fn run(&self, client: &awc::Client, dialect: &Dialect) -> Option<Option<LoadReport>> {
        let mut request = client.get(format!("http://{}{}", self.address, self.path)).no_decompress();
        if let Some(name) = &dialect.expected_server {
            let value = HeaderValue::from_str(&self.server).ok()?;
            request = request.insert_header((HeaderName::clone(name), value));
        }
        let mut answer = request.send().await.ok()?;
        let report =
            answer.headers().get(&dialect.load).and_then(|value| dialect.load_format.parse(value.to_str().ok()?));
        let is_good = answer.status().is_success();
        // The connection is kept only if the body was read.
        answer.body().limit(4 * 1024).await.ok()?;
        is_good.then_some(report)
    }
}
