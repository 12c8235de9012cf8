//! Probes of servers over HTTP.

use {
    hemlockford_core::{
        dispatch::{DispatchEvent, LOAD_HEADER, LoadReport, WANT_LOAD_HEADER},
        measure::PROBE_TIMEOUT,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{select, sync::mpsc},
};

/// Sends probes, each in a task of its own. The measuring budget bounds the number of concurrent probes.
pub(crate) struct Prober {
    client: awc::Client,
    events: mpsc::UnboundedSender<DispatchEvent>,
}

/// A probe that the dispatcher has decided to send.
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    /// Path of the request.
    pub(crate) path: Box<str>,
    /// Timeout of the probe.
    pub(crate) limit: Duration,
    pub(crate) decided_at: Instant,
}

impl Prober {
    /// Creates a prober and the receiver of the results. A prober must stay on the thread that created it.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<DispatchEvent>) {
        let (events, rx) = mpsc::unbounded_channel();
        (Self { client: awc::Client::builder().disable_redirects().timeout(PROBE_TIMEOUT).finish(), events }, rx)
    }

    /// Starts a probe and reports its result in any case.
    pub(crate) fn start(&self, probe: Probe) {
        let (client, events) = (self.client.clone(), self.events.clone());
        actix_rt::spawn(async move {
            let start = Instant::now();
            let answer = probe.run(&client, start).await;
            let (latency, ok) = (start.elapsed(), answer.is_some());
            // Without a receiver the process is stopping.
            let _ = events.send(DispatchEvent::ProbeFinished {
                probe: probe.number,
                latency,
                report: answer.flatten(),
                warm_up: None,
                ok: ok && latency <= probe.limit,
            });
        });
    }
}

impl Probe {
    /// Returns the load report of the response, or `None` without a successful response in time.
    async fn run(&self, client: &awc::Client, start: Instant) -> Option<Option<LoadReport>> {
        let end = start + self.limit;
        if end > self.decided_at + PROBE_TIMEOUT {
            // The process was suspended after the decision, and the budget reservation would expire during the probe.
            return None;
        }
        let request = client
            .get(format!("http://{}{}", self.address, self.path))
            .insert_header((WANT_LOAD_HEADER, "1"))
            .insert_header(("hemlockford-deadline", self.limit.as_millis().to_string()))
            .no_decompress()
            // An idle connection would count towards the connection limit of the server.
            .force_close();
        // The timeout is polled first, so that no probe is sent late after the process was suspended.
        let answer = select! {
            biased;
            () = actix_rt::time::sleep_until(end.into()) => return None,
            answer = request.send() => answer.ok()?,
        };
        if !answer.status().is_success() {
            return None;
        }
        Some(answer.headers().get(LOAD_HEADER).and_then(|value| LoadReport::parse(value.to_str().ok()?)))
    }
}
