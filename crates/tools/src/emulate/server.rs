//! One stand-in server: its slots, its queue and how it runs a call.

use {
    super::{
        behaviour::{Behaviour, Report},
        executions::Executions,
        interface::ServerInterface,
        options::EmulateOptions,
        pace::Pace,
        reply::Reply,
        shared_state::SharedState,
    },
    crate::{content::Content, headers, timer::PreciseTimer},
    actix_http::{Request, StatusCode, header::HeaderName},
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

/// Path that answers the cost of a probe.
const PROBE: &str = "/probe";
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Longest answer that a request may ask for.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// One stand-in server.
pub(super) struct Server {
    pub(super) options: Arc<EmulateOptions>,
    pub(super) shared: Arc<SharedState>,
    pub(super) executions: Arc<Executions>,
    pub(super) timer: PreciseTimer,
    pub(super) slots: Semaphore,
    pub(super) waiting: Cell<u32>,
    pub(super) rng: RefCell<SmallRng>,
    pub(super) pace: RefCell<Pace>,
    /// Load that was last reported and when it was read, for reports that lag.
    pub(super) lagging: Cell<Option<(Instant, u32)>>,
}

/// What a server needs to know of a request.
pub(super) struct Call {
    path: Box<str>,
    request: Box<str>,
    is_idempotent: bool,
    answer_bytes: Option<usize>,
    wants_load: bool,
    /// Value of the header that names the request, which is repeated in the answer.
    id: Option<Box<str>>,
    /// Server that the request is meant for.
    expected_server: Option<Box<str>>,
    /// Time by which the caller needs the answer.
    deadline: Option<Instant>,
}

/// Counts a call as in flight until it is dropped.
struct InFlight<'a>(&'a SharedState);

/// Counts a call as waiting for a slot until it is dropped.
struct Waiting<'a>(&'a Cell<u32>);

/// Counts an execution as cancelled when it is dropped before its end.
struct Execution<'a> {
    shared: &'a SharedState,
    is_finished: bool,
}

impl Call {
    pub(super) fn new(req: &Request, interface: &ServerInterface) -> Self {
        let text = |name: &HeaderName| req.head().headers().get(name).and_then(|value| value.to_str().ok());
        let named = |name: &Option<HeaderName>| name.as_ref().and_then(text).map(Into::into);
        let length = text(&headers::ANSWER_BYTES).and_then(|value| value.parse().ok());
        let left = text(interface.deadline_header.as_ref().unwrap_or(&headers::DEADLINE))
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis);
        Self {
            path: req.path().into(),
            id: named(&interface.request_id_header),
            expected_server: named(&interface.expected_server_header),
            request: text(&headers::REQUEST).unwrap_or(req.path()).into(),
            is_idempotent: req.method().is_idempotent(),
            wants_load: req.head().headers().contains_key(WANT_LOAD_HEADER),
            answer_bytes: length.map(|length: usize| length.min(MAX_ANSWER_BYTES)),
            deadline: left.map(|left| Instant::now() + left),
        }
    }

    /// Returns the content that an upload of this call must have.
    pub(super) fn upload(&self, length: usize) -> Content {
        Content::new(&self.path, &self.request, length)
    }
}

impl Server {
    /// Runs one call; dropping the future cancels the call and frees its slot.
    pub(super) async fn run(self: &Rc<Self>, call: &Call) -> Reply {
        let interface = &self.options.interface;
        let is_health = interface.health_path.as_ref() == Some(&call.path);
        self.shared.count(|counts| counts.arrived += u64::from(!is_health && &*call.path != PROBE));
        if call.expected_server.as_ref().is_some_and(|expected| *expected != self.shared.name) {
            self.shared.count(|counts| counts.misdirected += 1);
            return self.reply(call, StatusCode::MISDIRECTED_REQUEST, "this is another server\n");
        }
        if is_health {
            self.shared.count(|counts| counts.probes += 1);
            self.timer.sleep_until(Instant::now() + self.options.probe_time).await;
            return self.reply(call, StatusCode::OK, "ok\n");
        }
        let _in_flight = InFlight::new(&self.shared);
        if &*call.path == PROBE {
            return self.probe(call).await;
        }
        let behaviour = self.shared.behaviour();
        if behaviour.fail_fast {
            // The caller cannot know that nothing ran, so this counts as an execution.
            let number = self.executions.start(&call.request, call.is_idempotent);
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
        let bound = behaviour.shed.into_iter().chain(interface.queue_limit).min();
        if bound.is_some_and(|bound| is_busy && self.waiting.get() >= bound) {
            return self.shed(call);
        }
        let waiting = Waiting::new(&self.waiting);
        // The semaphore is never closed, so that a failure to acquire cannot happen.
        let slot = match call.deadline {
            Some(deadline) => tokio::time::timeout_at(deadline.into(), self.slots.acquire()).await,
            None => Ok(self.slots.acquire().await),
        };
        drop(waiting);
        // A call whose deadline passed while it waited is not run any more.
        let Ok(slot) = slot else { return self.shed(call) };
        let start = Instant::now();
        let number = self.executions.start(&call.request, call.is_idempotent);
        self.shared.count_start();
        let execution = Execution { shared: &self.shared, is_finished: false };
        let behaviour = self.shared.behaviour();
        if behaviour.hung {
            std::future::pending::<()>().await;
        }
        let end = self.work(start, self.service_time(&behaviour, start)).await;
        self.executions.late(end.elapsed());
        execution.finish();
        if interface.load_header.is_some() {
            // The report is of the load that the next request will meet.
            drop(slot);
        }
        let length = call.answer_bytes.unwrap_or(self.options.answer_bytes);
        let body = Content::new(&call.path, &call.request, length).into_bytes();
        let mut reply = self.reply(call, StatusCode::OK, body).header(headers::EXECUTION, &number.to_string());
        reply.cut = behaviour.cut;
        reply.chunked = behaviour.chunked;
        let is_whole = reply.cut.is_none();
        let draw = |share: f64| is_whole && share > 0.0 && self.rng.borrow_mut().random_bool(share.min(1.0));
        reply.close_delimited = draw(interface.close_delimited_share);
        reply.is_repeated = draw(interface.duplicate_answer_share);
        reply
    }

    /// Does work of a usual length at the pace of the machine and returns when it was due to end.
    async fn work(&self, start: Instant, mut left: Duration) -> Instant {
        let mut now = start;
        loop {
            let (pace, period_end) = self.pace(now);
            let factor = f64::from(pace) / f64::from(NOMINAL_PACE);
            let end = now + left.mul_f64(factor);
            if !self.options.interface.varies_pace || end <= period_end {
                self.timer.sleep_until(end).await;
                return end;
            }
            self.timer.sleep_until(period_end).await;
            left = left.saturating_sub((period_end - now).div_f64(factor));
            now = period_end;
        }
    }

    /// Returns the pace in percent and the end of its period.
    fn pace(&self, now: Instant) -> (u32, Instant) {
        match self.options.interface.varies_pace {
            true => self.pace.borrow_mut().at(now, &mut *self.rng.borrow_mut()),
            false => (NOMINAL_PACE, now),
        }
    }

    /// Returns the load that the server reports now.
    pub(super) fn reported_load(&self) -> Option<u32> {
        let actual = self.shared.count(|counts| counts.in_flight);
        match self.shared.behaviour().report {
            Report::Honest => Some(actual),
            Report::Fixed(load) => Some(load),
            Report::Absent => None,
            Report::LagMs(lag) => {
                let now = Instant::now();
                let known = self.lagging.get().filter(|(at, _)| now - *at < Duration::from_millis(lag));
                let (at, load) = known.unwrap_or((now, actual));
                self.lagging.set(Some((at, load)));
                Some(load)
            }
        }
    }

    /// Refuses a call that was not run.
    fn shed(&self, call: &Call) -> Reply {
        self.shared.count(|counts| counts.shed += 1);
        let mark = self.options.interface.not_run_header.clone().unwrap_or(headers::SHED);
        self.reply(call, StatusCode::SERVICE_UNAVAILABLE, "shed\n").header(mark, "1")
    }

    async fn probe(&self, call: &Call) -> Reply {
        self.shared.count(|counts| counts.probes += 1);
        let _slot = self.slots.acquire().await;
        self.timer.sleep_until(Instant::now() + self.options.probe_time).await;
        self.reply(call, StatusCode::OK, "ok\n")
    }

    pub(super) fn reply(&self, call: &Call, status: StatusCode, body: impl Into<bytes::Bytes>) -> Reply {
        let interface = &self.options.interface;
        let mut reply = Reply::new(status, body);
        if let (Some(name), Some(id)) = (&interface.request_id_header, &call.id) {
            reply = reply.header(name.clone(), id);
        }
        if let Some(limit) = interface.idle_timeout {
            reply = reply.header(KEEP_ALIVE, &format!("timeout={}", limit.as_secs()));
        }
        if let Some(name) = &interface.load_header {
            return match self.load_list() {
                Some(list) => reply.header(name.clone(), &list),
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
    fn load_list(&self) -> Option<String> {
        let slots = self.options.slots;
        let running = slots.saturating_sub(self.slots.available_permits() as u32);
        let (running, waiting) = match self.shared.behaviour().report {
            Report::Honest => (running, self.waiting.get()),
            Report::Absent => return None,
            Report::Fixed(_) | Report::LagMs(_) => {
                let load = self.reported_load()?;
                (load.min(slots), load.saturating_sub(slots))
            }
        };
        Some(format!("{running},{waiting},{slots},{}", self.pace(Instant::now()).0))
    }

    /// Draws the service time of a call that starts now, in a cold server as in a warm one.
    fn service_time(&self, behaviour: &Behaviour, now: Instant) -> Duration {
        let drawn = self.options.service_time.sample(&mut *self.rng.borrow_mut());
        let age = now.saturating_duration_since(self.shared.start().0);
        let warmth = match self.options.cold_time {
            Duration::ZERO => 1.0,
            cold => (age.as_secs_f64() / cold.as_secs_f64()).min(1.0),
        };
        let cold_factor = self.options.cold_factor + (1.0 - self.options.cold_factor) * warmth;
        drawn.mul_f64(cold_factor * behaviour.factor)
    }
}

impl<'a> InFlight<'a> {
    fn new(shared: &'a SharedState) -> Self {
        shared.count(|counts| counts.in_flight += 1);
        Self(shared)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.count(|counts| counts.in_flight -= 1);
    }
}

impl<'a> Waiting<'a> {
    fn new(waiting: &'a Cell<u32>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Execution<'_> {
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Execution<'_> {
    fn drop(&mut self) {
        let is_finished = self.is_finished;
        self.shared.count(|counts| if is_finished { counts.finished += 1 } else { counts.cancelled += 1 });
    }
}
