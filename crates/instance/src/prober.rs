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

/// Sends probes, each in a task of its own. Its number of probes at a time is bounded by the budget.
pub(crate) struct Prober {
    client: awc::Client,
    events: mpsc::UnboundedSender<DispatchEvent>,
}

/// One probe as it was decided.
pub(crate) struct Probe {
    pub(crate) number: u64,
    pub(crate) address: SocketAddr,
    /// Path on which it answers.
    pub(crate) path: Box<str>,
    /// Time after its begin at which it is cut off.
    pub(crate) limit: Duration,
    pub(crate) decided: Instant,
}

impl Prober {
    /// Makes a prober and the receiver of the ends of its probes. It belongs to the thread that made it.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<DispatchEvent>) {
        let (events, rx) = mpsc::unbounded_channel();
        (Self { client: awc::Client::builder().disable_redirects().timeout(PROBE_TIMEOUT).finish(), events }, rx)
    }

    /// Starts a probe, whose end is always reported.
    pub(crate) fn start(&self, probe: Probe) {
        let (client, events) = (self.client.clone(), self.events.clone());
        actix_rt::spawn(async move {
            let begin = Instant::now();
            let answer = probe.run(&client, begin).await;
            let (latency, ok) = (begin.elapsed(), answer.is_some());
            // Without a receiver the process is stopping.
            let _ = events.send(DispatchEvent::ProbeFinished {
                probe: probe.number,
                latency,
                report: answer.flatten(),
                ok: ok && latency <= probe.limit,
            });
        });
    }
}

impl Probe {
    /// Returns the answer's report, or `None` without an answer in time.
    async fn run(&self, client: &awc::Client, begin: Instant) -> Option<Option<LoadReport>> {
        let end = begin + self.limit;
        if end > self.decided + PROBE_TIMEOUT {
            // The process was frozen since the decision, and the reserve would lapse during the probe.
            return None;
        }
        let request = client
            .get(format!("http://{}{}", self.address, self.path))
            .insert_header((WANT_LOAD_HEADER, "1"))
            .insert_header(("hemlockford-deadline", self.limit.as_millis().to_string()))
            .no_decompress()
            // A connection that is kept would take one of the server's places from calls.
            .force_close();
        // The end is looked at before each step, so that a freeze during the probe also ends it unsent.
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
