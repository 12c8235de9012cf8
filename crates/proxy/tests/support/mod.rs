//! A worker with a scripted dispatcher, raw servers and raw callers, all on the loopback interface.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod keys;
pub mod platform;

use {
    hemlockford_core::{
        config::Configuration,
        dispatch::{AttemptResult, Call, FinishedAttempt, ServerNotice},
        ids::{CallId, ServerId},
        outcome::{NotRunReason, Outcome, UnknownReason},
        quarantine::RequestFingerprint,
    },
    hemlockford_proxy::{
        CallRecord, ClaimMessage, CopyTarget, Decision, DispatcherHandle, DispatcherMessage, Probe, ProxyCounters,
        ProxyOptions, Worker, WorkerBalancer,
    },
    std::{
        cell::{Cell, RefCell},
        future::Future,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        task::JoinHandle,
    },
};

pub const CONFIG: &str =
    "[change]\nnumber = 1\n\n[service catalogue]\ndeadline = 2s\n\n[service booking]\ndeadline = 2s\n";

/// Behaviour of the scripted dispatcher.
pub struct Script {
    /// The server of the first attempt, of the second, and so on. A call whose attempt at the last one fails is
    /// rejected.
    pub servers: Vec<SocketAddr>,
    /// Number of servers to which the targets, which are entries then, may send a call.
    pub relay_attempts: Option<u32>,
    /// Reason for rejecting a call for which there is no server.
    pub reason: NotRunReason,
    /// Whether calls never get a decision.
    pub holds_calls: bool,
    pub pass_allowance: bool,
    pub want_report: bool,
    pub options: ProxyOptions,
    pub config: Configuration,
    pub claims: Option<mpsc::UnboundedSender<ClaimMessage>>,
    /// Time after which a copy is requested of a call whose worker can run one, and its server.
    pub copy: Option<(Duration, SocketAddr)>,
}

impl Script {
    pub fn to(server: SocketAddr) -> Self {
        Self {
            servers: vec![server],
            relay_attempts: None,
            reason: NotRunReason::NoServer,
            holds_calls: false,
            pass_allowance: false,
            want_report: false,
            config: Configuration::parse(CONFIG).unwrap(),
            options: ProxyOptions { spare_per_server: 0, reuse_delay: Duration::ZERO, ..ProxyOptions::default() },
            claims: None,
            copy: None,
        }
    }
}

/// Messages that the dispatcher received.
#[derive(Default)]
pub struct DispatcherLog {
    pub calls: Vec<Call>,
    pub results: Vec<AttemptResult>,
    pub cancelled: Vec<CallId>,
    pub notices: Vec<(ServerId, SocketAddr, ServerNotice)>,
    /// Whether each new connection could be opened.
    pub connections: Vec<bool>,
    /// Fingerprints of requests under which a server ended.
    pub crashes: Vec<RequestFingerprint>,
    /// Fingerprints of requests that became suspected while servers ran them and were answered.
    pub answered: Vec<RequestFingerprint>,
}

pub struct TestProxy {
    pub address: SocketAddr,
    /// Listener for calls that other entries pass on.
    pub relay_address: SocketAddr,
    pub log: Rc<RefCell<DispatcherLog>>,
    pub stop: watch::Sender<bool>,
    pub worker: JoinHandle<()>,
    pub registry: prometheus::Registry,
    pub records: mpsc::UnboundedReceiver<CallRecord>,
    pub config: watch::Sender<Arc<Configuration>>,
    pub probes: mpsc::UnboundedSender<Probe>,
}

impl TestProxy {
    pub fn start(script: Script) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let relays = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        relays.set_nonblocking(true).unwrap();
        let relay_address = relays.local_addr().unwrap();
        let (dispatcher, messages) = DispatcherHandle::new();
        let (config_tx, config) = watch::channel(Arc::new(script.config.clone()));
        let (probes, probes_rx) = mpsc::unbounded_channel();
        let (stop_tx, stop) = watch::channel(false);
        let (records_tx, records) = mpsc::unbounded_channel();
        let registry = prometheus::Registry::new();
        let worker = Worker {
            number: 1,
            balancer: WorkerBalancer::for_workers(1).remove(0),
            options: script.options.clone(),
            dispatcher,
            config,
            stop,
            probes: Some(probes_rx),
            claims: script.claims.clone(),
            counters: ProxyCounters::register(&registry).unwrap(),
            records: Some(records_tx),
        };
        let log = Rc::new(RefCell::new(DispatcherLog::default()));
        actix_rt::spawn(dispatch(script, messages, log.clone()));
        let worker = actix_rt::spawn(async move { worker.run_with_relays(listener, Some(relays)).await.unwrap() });
        Self { address, relay_address, log, stop: stop_tx, worker, registry, records, config: config_tx, probes }
    }

    pub async fn caller(&self) -> Caller {
        Caller { io: TcpStream::connect(self.address).await.unwrap(), buf: Vec::new() }
    }

    /// Sends one request on a new connection and returns the response.
    pub async fn call(&self, request: &str) -> Message {
        let mut caller = self.caller().await;
        caller.send(request).await;
        caller.response().await
    }

    pub fn results(&self) -> Vec<AttemptResult> {
        self.log.borrow().results.clone()
    }

    /// Returns the sum of a counter over its labels.
    pub fn counter(&self, name: &str) -> u64 {
        let families = self.registry.gather();
        let family = families.iter().find(|family| family.name() == name);
        family.map_or(0, |family| family.get_metric().iter().map(|m| m.get_counter().get_value() as u64).sum())
    }
}

async fn dispatch(
    script: Script,
    mut messages: mpsc::UnboundedReceiver<DispatcherMessage>,
    log: Rc<RefCell<DispatcherLog>>,
) {
    let mut held = Vec::new();
    let mut attempts = std::collections::HashMap::<CallId, usize>::new();
    let mut decide = |call: CallId, finish: Option<&FinishedAttempt>, idempotent: bool| {
        let attempt = attempts.entry(call).or_default();
        *attempt += 1;
        match script.servers.get(*attempt - 1) {
            Some(address) if script.relay_attempts.is_some() => Decision::Relay {
                entry: format!("entry-{attempt}").into(),
                address: *address,
                attempts: script.relay_attempts.unwrap_or_default(),
                fresh_connection: !idempotent,
            },
            Some(address) => Decision::Send {
                server: format!("server-{attempt}").into(),
                address: *address,
                fresh_connection: !idempotent,
                pass_allowance: script.pass_allowance,
                want_report: script.want_report,
            },
            None => Decision::Reject {
                outcome: finish.map_or(Outcome::NotRun(script.reason), |finish| outcome(finish.result)),
                retry_after: Duration::from_secs(1),
            },
        }
    };
    while let Some(message) = messages.recv().await {
        match message {
            DispatcherMessage::Arrive(call, reply) => {
                log.borrow_mut().calls.push(call.clone());
                if script.holds_calls {
                    held.push(reply);
                } else {
                    let _ = reply.send(decide(call.id, None, call.idempotent));
                }
            }
            DispatcherMessage::AttemptFailed(finish, reply) => {
                log.borrow_mut().results.push(finish.result);
                let _ = reply.send(decide(finish.call, Some(&finish), true));
            }
            DispatcherMessage::AttemptFinished(finish) => log.borrow_mut().results.push(finish.result),
            DispatcherMessage::OfferCopy(_, reply) => {
                let Some((after, address)) = script.copy else { continue };
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(after).await;
                    let _ = reply.send(CopyTarget { server: "copy".into(), address });
                });
            }
            DispatcherMessage::Cancel(call) => log.borrow_mut().cancelled.push(call),
            DispatcherMessage::Crash { request, .. } => log.borrow_mut().crashes.push(request),
            DispatcherMessage::Connection { is_open, .. } => log.borrow_mut().connections.push(is_open),
            DispatcherMessage::Answered(request) => log.borrow_mut().answered.push(request),
            DispatcherMessage::Notice { server, address, notice } => {
                log.borrow_mut().notices.push((server, address, notice));
            }
        }
    }
}

fn outcome(result: AttemptResult) -> Outcome {
    match result {
        AttemptResult::Shed => Outcome::NotRun(NotRunReason::Overload),
        AttemptResult::RefusedBeforeWrite => Outcome::NotRun(NotRunReason::Refused),
        AttemptResult::BadAnswer => Outcome::Unknown(UnknownReason::BadAnswer),
        AttemptResult::Timeout => Outcome::Unknown(UnknownReason::Timeout),
        _ => Outcome::Unknown(UnknownReason::ConnectionLost),
    }
}

/// A server that tests implement on raw connections.
pub struct Server {
    pub address: SocketAddr,
    pub connections: Rc<Cell<usize>>,
}

/// Starts a server that passes each accepted connection and its number to a function.
pub async fn serve<F: Future<Output = ()> + 'static>(handle: impl Fn(Caller, usize) -> F + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Rc::new(Cell::new(0));
    let count = connections.clone();
    actix_rt::spawn(async move {
        while let Ok((io, _)) = listener.accept().await {
            io.set_nodelay(true).unwrap();
            let number = count.replace(count.get() + 1);
            actix_rt::spawn(handle(Caller { io, buf: Vec::new() }, number));
        }
    });
    Server { address, connections }
}

/// Starts a server that sends the same response to every request, and records the requests.
pub async fn fixed_response_server(response: &'static str) -> (Server, Rc<RefCell<Vec<String>>>) {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let requests = seen.clone();
    let server = serve(move |mut io, _| {
        let requests = requests.clone();
        async move {
            while let Some(request) = io.message(false).await {
                requests.borrow_mut().push(format!("{}{}", request.head, String::from_utf8_lossy(&request.body)));
                io.send(response).await;
            }
        }
    });
    (server.await, seen)
}

/// Returns an address that refuses connections. Its port stays bound until the process ends, so that no listener of a
/// test that runs at the same time gets it.
pub fn refused_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = socket.local_addr().unwrap();
    std::mem::forget(socket);
    address
}

/// One side of a raw connection.
pub struct Caller {
    pub io: TcpStream,
    pub buf: Vec<u8>,
}

/// A message that was read.
#[derive(Debug)]
pub struct Message {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    pub fn outcome(&self) -> &str {
        self.header("hemlockford-outcome").unwrap_or_default()
    }
}

impl Caller {
    pub async fn send(&mut self, text: &str) {
        // The other side may have closed the connection, which tests check separately.
        let _ = self.io.write_all(text.as_bytes()).await;
    }

    /// Reads a response, which must be complete.
    pub async fn response(&mut self) -> Message {
        self.message(false).await.expect("a complete response")
    }

    /// Reads a message; `None` if the connection ended first. `is_bodiless` is set for responses to HEAD.
    pub async fn message(&mut self, is_bodiless: bool) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8(self.buf.drain(..end).collect()).unwrap();
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
        let mut response = Message { status, head, body: Vec::new() };
        if is_bodiless || matches!(status, 100 | 204 | 304) {
            return Some(response);
        }
        if response.header("transfer-encoding") == Some("chunked") {
            while let Some(chunk) = self.chunk().await? {
                response.body.extend(chunk);
            }
            return Some(response);
        }
        let length: usize = response.header("content-length").map_or(0, |length| length.parse().unwrap());
        while self.buf.len() < length {
            self.fill().await?;
        }
        response.body = self.buf.drain(..length).collect();
        Some(response)
    }

    async fn chunk(&mut self) -> Option<Option<Vec<u8>>> {
        let line = loop {
            if let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                break end;
            }
            self.fill().await?;
        };
        let size = usize::from_str_radix(std::str::from_utf8(&self.buf[..line]).unwrap(), 16).unwrap();
        while self.buf.len() < line + 2 + size + 2 {
            self.fill().await?;
        }
        let chunk = self.buf[line + 2..line + 2 + size].to_vec();
        self.buf.drain(..line + 2 + size + 2);
        Some((size > 0).then_some(chunk))
    }

    /// Reads until the connection ends, and returns the data.
    pub async fn rest(&mut self) -> String {
        while self.fill().await.is_some() {}
        String::from_utf8_lossy(&self.buf).into_owned()
    }

    /// Reads the end of an idle connection of an instance that stops: one response without a body for a request that
    /// crosses the close, and a graceful close after it.
    pub async fn expect_idle_close(&mut self, is_bodiless: bool) -> Message {
        let got = self.message(is_bodiless).await.expect("a response before the close");
        let fields = ["connection", "content-length"].map(|name| got.header(name));
        assert_eq!((got.status, fields), (408, [Some("close"), Some("0")]), "{}", got.head);
        assert!(got.header("retry-after").is_some(), "{}", got.head);
        let mut end = Vec::new();
        assert_eq!(self.io.read_to_end(&mut end).await.expect("a graceful close"), 0, "{end:?} follows");
        assert!(self.buf.is_empty(), "{:?} follows", self.buf);
        got
    }

    async fn fill(&mut self) -> Option<()> {
        match self.io.read_buf(&mut self.buf).await {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(()),
        }
    }
}

/// Waits until a condition holds, at most for the given time.
pub async fn eventually(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let start = std::time::Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        sleep_ms(5).await;
    }
    condition()
}

pub async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
