//! Distribution of connections among the workers of one instance.

use {
    hemlockford_core::{
        config::Configuration,
        outcome::{NotRunReason, Outcome},
    },
    hemlockford_proxy::{
        Decision, DispatcherHandle, DispatcherMessage, ProxyCounters, ProxyOptions, Worker, WorkerBalancer,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{mpsc, watch},
        task::JoinHandle,
        time::timeout,
    },
};

const WORKERS: usize = 2;
/// Number of call ids per worker; the quotient tells which worker sent a call to the dispatcher.
const CALLS_PER_WORKER: u64 = 1 << 48;
const CONFIG: &str = "[change]\nnumber = 1\n[service catalogue]\n";
/// Timeout for a response and for the end of the workers, for which there is no defined target.
const LIMIT: Duration = Duration::from_secs(10);

struct Instance {
    address: SocketAddr,
    messages: mpsc::UnboundedReceiver<DispatcherMessage>,
    stop: watch::Sender<bool>,
    workers: Vec<JoinHandle<()>>,
    _config: watch::Sender<Arc<Configuration>>,
}

impl Instance {
    fn start() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let (dispatcher, messages) = DispatcherHandle::new();
        let (config_tx, config) = watch::channel(Arc::new(Configuration::parse(CONFIG).unwrap()));
        let (stop_tx, stop) = watch::channel(false);
        let counters = ProxyCounters::register(&prometheus::Registry::new()).unwrap();
        let ends = WorkerBalancer::for_workers(WORKERS).into_iter().enumerate();
        let workers = ends.map(|(number, balancer)| {
            let worker = Worker {
                number: number as u64,
                balancer,
                options: ProxyOptions::default(),
                dispatcher: dispatcher.clone(),
                config: config.clone(),
                stop: stop.clone(),
                probes: None,
                claims: None,
                counters: counters.clone(),
                records: None,
            };
            let listener = listener.try_clone().unwrap();
            actix_rt::spawn(async move { worker.run(listener).await.unwrap() })
        });
        let workers = workers.collect();
        Self { address: listener.local_addr().unwrap(), messages, stop: stop_tx, workers, _config: config_tx }
    }

    /// Opens a connection, sends a request, rejects the call, and returns the worker that served it.
    async fn call(&mut self) -> (TcpStream, usize) {
        let mut io = TcpStream::connect(self.address).await.unwrap();
        io.write_all(b"GET /catalogue/a HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
        let message = timeout(LIMIT, self.messages.recv()).await.expect("a call within the limit");
        let Some(DispatcherMessage::Arrive(call, reply)) = message else { panic!("{message:?}") };
        let outcome = Outcome::NotRun(NotRunReason::Overload);
        reply.send(Decision::Reject { outcome, retry_after: Duration::from_secs(1) }).unwrap();
        let mut buf = [0; 1_000];
        let length = timeout(LIMIT, io.read(&mut buf)).await.expect("a response within the limit").unwrap();
        assert!(buf[..length].starts_with(b"HTTP/1.1 503"), "{:?}", String::from_utf8_lossy(&buf[..length]));
        (io, (call.id / CALLS_PER_WORKER) as usize)
    }
}

/// Guards against one worker getting most of the connections of long-lived callers.
#[actix_rt::test]
async fn workers_get_equal_shares_of_open_connections() {
    let mut instance = Instance::start();
    let (mut open, mut counts) = (Vec::new(), [0; WORKERS]);
    for _ in 0..20 {
        let (io, worker) = instance.call().await;
        open.push(io);
        counts[worker] += 1;
    }
    assert_eq!(counts, [10, 10]);
}

/// Guards against counting closed connections, which would direct all new ones to one worker, and against workers
/// that do not end.
#[actix_rt::test]
async fn closed_connections_no_longer_count_and_workers_end() {
    let mut instance = Instance::start();
    let mut open: [Vec<TcpStream>; WORKERS] = Default::default();
    for _ in 0..20 {
        let (io, worker) = instance.call().await;
        open[worker].push(io);
    }
    open[0].clear();
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..10 {
        let (io, worker) = instance.call().await;
        assert_eq!(worker, 0, "the worker with fewer connections");
        open[worker].push(io);
    }
    instance.stop.send(true).unwrap();
    for worker in instance.workers {
        timeout(LIMIT, worker).await.expect("the worker ends").unwrap();
    }
}
