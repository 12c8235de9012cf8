//! State shared by the sessions of one worker.

use {
    crate::{
        claims::ClaimMessage,
        counters::{CallRecord, ProxyCounters},
        dispatcher::DispatcherHandle,
        options::ProxyOptions,
        pool::Pool,
        routing::Routing,
    },
    actix_http::ServiceConfig,
    actix_rt::time::sleep_until,
    hemlockford_core::{
        config::{Configuration, Limits},
        dispatch::Call,
        ids::CallId,
        outcome::Outcome,
    },
    rand::rngs::SmallRng,
    std::{
        cell::{Cell, RefCell},
        future::pending,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{mpsc, watch},
};

/// Phase of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The instance is not stopping.
    Serving,
    /// Requests are served, and each connection is closed after its response.
    Draining,
    /// New requests are refused.
    Closing,
}

/// State shared by the sessions of one worker.
pub(crate) struct Shared {
    pub(crate) options: Rc<ProxyOptions>,
    /// Shared by all connections, as each `ServiceConfig` starts its own clock task.
    pub(crate) http_config: ServiceConfig,
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) pool: Pool,
    pub(crate) config: watch::Receiver<Arc<Configuration>>,
    /// Prepared form of the newest configuration that was used for a request.
    pub(crate) routing: RefCell<Rc<Routing>>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) stop: watch::Receiver<bool>,
    pub(crate) claims: Option<mpsc::UnboundedSender<ClaimMessage>>,
    pub(crate) counters: ProxyCounters,
    pub(crate) records: Option<mpsc::UnboundedSender<CallRecord>>,
    pub(crate) next_call_id: Cell<CallId>,
}

impl Shared {
    /// Returns the state for calls that other entries pass on. It uses the same connections to servers.
    pub(crate) fn for_relays(&self, first_call_id: CallId) -> Self {
        Self {
            options: Rc::new(self.options.for_relays()),
            http_config: self.http_config.clone(),
            dispatcher: self.dispatcher.clone(),
            pool: self.pool.clone(),
            config: self.config.clone(),
            routing: self.routing.clone(),
            rng: self.rng.clone(),
            stop: self.stop.clone(),
            claims: self.claims.clone(),
            counters: self.counters.clone(),
            records: self.records.clone(),
            next_call_id: Cell::new(first_call_id),
        }
    }

    /// Returns the phase of a stop.
    pub(crate) fn phase(&self) -> Phase {
        match &self.options.serve_while_stopping {
            _ if !*self.stop.borrow() => Phase::Serving,
            Some(closing) if !*closing.borrow() && closing.has_changed().is_ok() => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// Returns whether connections are closed after their responses.
    pub(crate) fn is_stopping(&self) -> bool {
        self.phase() != Phase::Serving
    }

    /// Waits until new requests are refused. A dropped sender means that the instance stops.
    pub(crate) async fn closing(&self) {
        let _ = self.stop.clone().wait_for(|stop| *stop).await;
        if let Some(closing) = &self.options.serve_while_stopping {
            let _ = closing.clone().wait_for(|closing| *closing).await;
        }
    }

    /// Returns the time at which the calls of a stopping instance end, if it is known.
    pub(crate) fn calls_end(&self) -> Option<Instant> {
        self.options.calls_end.as_ref().and_then(|end| *end.borrow())
    }

    /// Waits until the calls of a stopping instance end.
    pub(crate) async fn calls_ended(&self) {
        let Some(mut end) = self.options.calls_end.clone() else { return pending().await };
        let end = end.wait_for(Option::is_some).await.ok().and_then(|end| *end);
        match end {
            Some(end) => sleep_until(end.into()).await,
            None => pending().await,
        }
    }

    /// Returns the current configuration, prepared once and shared by all requests that use it.
    pub(crate) fn routing(&self) -> Rc<Routing> {
        let config = self.config.borrow();
        let mut routing = self.routing.borrow_mut();
        if !Arc::ptr_eq(routing.config(), &config) {
            *routing = Rc::new(Routing::new(config.clone(), &mut self.rng.borrow_mut()));
        }
        routing.clone()
    }

    /// Returns the current limits.
    pub(crate) fn limits(&self) -> Limits {
        self.config.borrow().limits.clone()
    }

    pub(crate) fn next_call_id(&self) -> CallId {
        self.next_call_id.replace(self.next_call_id.get() + 1)
    }

    pub(crate) fn record(&self, call: &Call, outcome: Option<Outcome>, latency: Duration, attempts: Duration) {
        self.counters.record(&call.service, outcome, latency, attempts);
        if let Some(Outcome::NotRun(reason)) = outcome
            && self.routing.borrow().requires_keys()
        {
            self.counters.refusals.record(&call.customer, reason);
        }
        if let Some(records) = &self.records {
            let record =
                CallRecord { service: call.service.clone(), customer: call.customer.clone(), latency, outcome };
            // The receiver may have stopped before the last call ends.
            let _ = records.send(record);
        }
    }

    /// Counts a request that was refused before its service was determined.
    pub(crate) fn count_refusal(&self, outcome: Outcome) {
        self.counters.record("", Some(outcome), Duration::ZERO, Duration::ZERO);
    }
}
