//! A stand-in server, with its slots, its queue and the execution of calls.

use {
    super::{
        behaviour::{Behaviour, LoadReporting},
        executions::Executions,
        interface::ServerInterface,
        options::EmulateOptions,
        pace::Pace,
        reply::Reply,
        shared_state::SharedState,
    },
    crate::{content::Content, headers, timer::PreciseTimer},
    actix_http::{
        Request, StatusCode,
        header::{self, HeaderName},
    },
    hemlockford_core::dispatch::{LOAD_HEADER, NOMINAL_PACE, WANT_LOAD_HEADER},
    rand::{RngExt, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
};

/// Path of measurement probes, which occupy a slot for the probe time.
const PROBE_PATH: &str = "/probe";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Maximum length of an answer that a request may ask for.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A stand-in server.
pub(super) struct Server {
    pub(super) options: Arc<EmulateOptions>,
    pub(super) shared: Arc<SharedState>,
    pub(super) executions: Arc<Executions>,
    pub(super) timer: PreciseTimer,
    pub(super) slots: Semaphore,
    pub(super) waiting: Cell<u32>,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) pace: RefCell<Pace>,
    /// Time and value of the load sample that delayed reports use.
    pub(super) lagged_load: Cell<Option<(Instant, u32)>>,
}

/// The properties of a request that matter to a server.
pub(super) struct Call {
    path: Box<str>,
    /// Id under which executions of the request are counted.
    tracking_id: Box<str>,
    is_idempotent: bool,
    answer_bytes: Option<usize>,
    wants_load: bool,
    /// Value of the request id header, which the answer repeats.
    request_id: Option<Box<str>>,
    /// Name of the server for which the request is intended.
    expected_server: Option<Box<str>>,
    /// Time by which the caller needs the answer.
    deadline: Option<Instant>,
}

/// Counts a call as in flight until it is dropped.
struct InFlightGuard<'a>(&'a SharedState);

/// Counts a call as waiting for a slot until it is dropped.
struct WaitingGuard<'a>(&'a Cell<u32>);

/// Counts an execution as cancelled when it is dropped before it finishes.
struct ExecutionGuard<'a> {
    shared: &'a SharedState,
    is_finished: bool,
}

impl Call {
    pub(super) fn new(req: &Request, interface: &ServerInterface) -> Self {
        let text = |name: &HeaderName| req.head().headers().get(name).and_then(|value| value.to_str().ok());
        let optional_text = |name: &Option<HeaderName>| name.as_ref().and_then(text).map(Into::into);
        let length = text(&headers::ANSWER_BYTES).and_then(|value| value.parse().ok());
        let remaining = text(interface.deadline_header.as_ref().unwrap_or(&headers::DEADLINE))
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis);
        Self {
            path: req.path().into(),
            request_id: optional_text(&interface.request_id_header),
            expected_server: optional_text(&interface.expected_server_header),
            tracking_id: text(&headers::REQUEST).unwrap_or(req.path()).into(),
            is_idempotent: req.method().is_idempotent(),
            wants_load: req.head().headers().contains_key(WANT_LOAD_HEADER),
            answer_bytes: length.map(|length: usize| length.min(MAX_ANSWER_BYTES)),
            deadline: remaining.map(|remaining| Instant::now() + remaining),
        }
    }

    /// Returns the content that the upload of this call must have.
    pub(super) fn expected_upload(&self, length: usize) -> Content {
        Content::new(&self.path, &self.tracking_id, length)
    }
}

impl Server {
    /// Runs a call. Dropping the future cancels the call and frees its slot.
    pub(super) async fn run(self: &Rc<Self>, call: &Call) -> Reply {
        let interface = &self.options.interface;
        let is_health = interface.health_path.as_ref() == Some(&call.path);
        self.shared.count(|counts| counts.arrived += u64::from(!is_health && &*call.path != PROBE_PATH));
        if call.expected_server.as_ref().is_some_and(|expected| *expected != self.shared.name) {
            self.shared.count(|counts| counts.misdirected += 1);
            return self.reply(call, StatusCode::MISDIRECTED_REQUEST, "this is another server\n");
        }
        if is_health {
            self.shared.count(|counts| counts.probes += 1);
            self.timer.sleep_until(Instant::now() + self.options.probe_time).await;
            return self.reply(call, StatusCode::OK, "ok\n");
        }
        let _in_flight = InFlightGuard::new(&self.shared);
        if &*call.path == PROBE_PATH {
            return self.run_probe(call).await;
        }
        let behaviour = self.shared.behaviour();
        if behaviour.fail_fast {
            // A status of 500 does not tell the caller that nothing ran, so this counts as an execution.
            let number = self.executions.record_start(&call.tracking_id, call.is_idempotent);
            self.shared.count_start();
            self.shared.count(|counts| {
                counts.failed_fast += 1;
                counts.finished += 1;
            });
            return self
                .reply(call, StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
                .header(headers::EXECUTION, &number.to_string());
        }
        let is_busy = self.slots.available_permits() == 0;
        if behaviour.hang_when_full.is_some_and(|limit| is_busy && self.waiting.get() >= limit) {
            // The caller closes the connection in the end, which drops the call.
            self.shared.count(|counts| counts.shed += 1);
            std::future::pending::<()>().await;
        }
        let queue_limit = behaviour.shed.into_iter().chain(interface.queue_limit).min();
        if queue_limit.is_some_and(|limit| is_busy && self.waiting.get() >= limit) {
            return self.reject(call);
        }
        let waiting = WaitingGuard::new(&self.waiting);
        // Acquiring a permit cannot fail, because the semaphore is never closed.
        let slot = match call.deadline {
            Some(deadline) => tokio::time::timeout_at(deadline.into(), self.slots.acquire()).await,
            None => Ok(self.slots.acquire().await),
        };
        drop(waiting);
        // A call whose deadline passed in the queue is not run.
        let Ok(slot) = slot else { return self.reject(call) };
        let start = Instant::now();
        let number = self.executions.record_start(&call.tracking_id, call.is_idempotent);
        self.shared.count_start();
        let execution = ExecutionGuard { shared: &self.shared, is_finished: false };
        let behaviour = self.shared.behaviour();
        if behaviour.hung {
            std::future::pending::<()>().await;
        }
        let end = self.run_work(start, self.service_time(&behaviour, start)).await;
        self.executions.record_lateness(end.elapsed());
        execution.finish();
        if interface.load_header.is_some() {
            // Frees the slot first, so that the answer reports the load without this call.
            drop(slot);
        }
        let length = call.answer_bytes.unwrap_or(self.options.answer_bytes);
        let body = Content::new(&call.path, &call.tracking_id, length).into_bytes();
        let mut reply = self.reply(call, StatusCode::OK, body).header(headers::EXECUTION, &number.to_string());
        reply.truncation = behaviour.cut;
        reply.endless = behaviour.endless;
        reply.chunked = behaviour.chunked;
        let is_complete = reply.truncation.is_none() && reply.endless.is_none();
        let sample = |share: f64| is_complete && share > 0.0 && self.rng.borrow_mut().random_bool(share.min(1.0));
        reply.close_delimited = sample(interface.close_delimited_share);
        reply.is_duplicated = sample(interface.duplicate_answer_share);
        reply
    }

    /// Sleeps for the time that work of the given nominal duration takes at the changing pace, and returns when the
    /// sleep was due to end.
    async fn run_work(&self, start: Instant, mut remaining: Duration) -> Instant {
        let mut now = start;
        loop {
            let (pace, period_end) = self.current_pace(now);
            let factor = f64::from(pace) / f64::from(NOMINAL_PACE);
            let end = now + remaining.mul_f64(factor);
            if !self.options.interface.varies_pace || end <= period_end {
                self.timer.sleep_until(end).await;
                return end;
            }
            self.timer.sleep_until(period_end).await;
            remaining = remaining.saturating_sub((period_end - now).div_f64(factor));
            now = period_end;
        }
    }

    /// Returns the current pace in percent and the end of its period.
    fn current_pace(&self, now: Instant) -> (u32, Instant) {
        match self.options.interface.varies_pace {
            true => self.pace.borrow_mut().current(now, &mut *self.rng.borrow_mut()),
            false => (NOMINAL_PACE, now),
        }
    }

    /// Returns the load to report, or `None` if reports are suppressed.
    pub(super) fn reported_load(&self) -> Option<u32> {
        let actual = self.shared.count(|counts| counts.in_flight);
        match self.shared.behaviour().report {
            LoadReporting::Honest => Some(actual),
            LoadReporting::Fixed(load) => Some(load),
            LoadReporting::Absent => None,
            LoadReporting::LagMs(lag) => {
                let now = Instant::now();
                let recent = self.lagged_load.get().filter(|(at, _)| now - *at < Duration::from_millis(lag));
                let (at, load) = recent.unwrap_or((now, actual));
                self.lagged_load.set(Some((at, load)));
                Some(load)
            }
        }
    }

    /// Rejects a call without running it.
    fn reject(&self, call: &Call) -> Reply {
        self.shared.count(|counts| counts.shed += 1);
        let not_run = self.options.interface.not_run_header.clone().unwrap_or(headers::SHED);
        let reply = self.reply(call, StatusCode::SERVICE_UNAVAILABLE, "shed\n").header(not_run, "1");
        match self.shared.behaviour().retry_after {
            Some(seconds) => reply.header(header::RETRY_AFTER, &seconds.to_string()),
            None => reply,
        }
    }

    async fn run_probe(&self, call: &Call) -> Reply {
        self.shared.count(|counts| counts.probes += 1);
        let _slot = self.slots.acquire().await;
        self.timer.sleep_until(Instant::now() + self.options.probe_time).await;
        self.reply(call, StatusCode::OK, "ok\n")
    }

    pub(super) fn reply(&self, call: &Call, status: StatusCode, body: impl Into<bytes::Bytes>) -> Reply {
        let interface = &self.options.interface;
        let mut reply = Reply::new(status, body);
        if let (Some(name), Some(id)) = (&interface.request_id_header, &call.request_id) {
            reply = reply.header(name.clone(), id);
        }
        if self.shared.behaviour().says_leaving {
            reply = reply.header(interface.leaving_header.clone().unwrap_or(headers::LEAVING), "1");
        }
        if let Some(limit) = interface.idle_timeout {
            reply = reply.header(KEEP_ALIVE, &format!("timeout={}", limit.as_secs()));
        }
        if let Some(name) = &interface.load_header {
            return match self.load_header_value() {
                Some(value) => reply.header(name.clone(), &value),
                None => reply,
            };
        }
        match self.reported_load().filter(|_| call.wants_load) {
            Some(load) => {
                self.shared.count(|counts| counts.reports += 1);
                reply.header(HeaderName::from_static(LOAD_HEADER), &format!("{load}/{}", self.options.slots))
            }
            None => reply,
        }
    }

    /// Returns the load as `running,waiting,slots,pace`.
    fn load_header_value(&self) -> Option<String> {
        let slots = self.options.slots;
        let running = slots.saturating_sub(self.slots.available_permits() as u32);
        let (running, waiting) = match self.shared.behaviour().report {
            LoadReporting::Honest => (running, self.waiting.get()),
            LoadReporting::Absent => return None,
            LoadReporting::Fixed(_) | LoadReporting::LagMs(_) => {
                let load = self.reported_load()?;
                (load.min(slots), load.saturating_sub(slots))
            }
        };
        Some(format!("{running},{waiting},{slots},{}", self.current_pace(Instant::now()).0))
    }

    /// Samples the service time of a call that starts now, including the slowdown of a cold server.
    fn service_time(&self, behaviour: &Behaviour, now: Instant) -> Duration {
        let sampled = self.options.service_time.sample(&mut *self.rng.borrow_mut());
        let age = now.saturating_duration_since(self.shared.start().0);
        let warmth = match self.options.cold_time {
            Duration::ZERO => 1.0,
            cold => (age.as_secs_f64() / cold.as_secs_f64()).min(1.0),
        };
        let cold_factor = self.options.cold_factor + (1.0 - self.options.cold_factor) * warmth;
        sampled.mul_f64(cold_factor * behaviour.factor)
    }
}

impl<'a> InFlightGuard<'a> {
    fn new(shared: &'a SharedState) -> Self {
        shared.count(|counts| counts.in_flight += 1);
        Self(shared)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.count(|counts| counts.in_flight -= 1);
    }
}

impl<'a> WaitingGuard<'a> {
    fn new(waiting: &'a Cell<u32>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ExecutionGuard<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for ExecutionGuard<'_> {
    fn drop(&mut self) {
        let is_finished = self.is_finished;
        self.shared.count(|counts| if is_finished { counts.finished += 1 } else { counts.cancelled += 1 });
    }
}
