//! A replica, an entry and stand-in servers, with small limits.

use {
    crate::{
        http::{Answer, call, exchange},
        node::{Node, Ports},
        servers::Servers,
        usage::{descriptors, peak_memory_kb},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde_json::{Value, json},
    std::{
        net::{Ipv4Addr, TcpListener, UdpSocket},
        path::Path,
        sync::{Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant, SystemTime},
    },
    tempfile::TempDir,
};

/// Memory that the settings name for each process, in MB. The bound includes the memory that a process needs itself.
const MEMORY_MB: u64 = 48;
/// Descriptors that the settings name for each process.
const DESCRIPTORS: usize = 256;
/// Limits of the configuration.
const MAX_BODY_BYTES: usize = 1_048_576;
pub const IDLE_TIMEOUT_S: f64 = 4.0;
/// Time limit of the routes in seconds.
const TIMEOUT_S: f64 = 8.0;
/// Number of servers, each with two slots.
const SERVERS: usize = 40;
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time within which an ordinary request must be answered if it is repeated as often as the answers ask for.
const ORDINARY_LIMIT: Duration = Duration::from_secs(40);
/// Pause before the next attempt if the answer does not name one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Range of the listening ports, below the ports that Linux uses for outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Only one test runs at a time, because the crowds would disturb each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The processes of one test.
pub struct Deployment {
    pub replica: Node,
    pub entry: Node,
    servers: Option<Servers>,
    processes: [u32; 2],
    /// Highest number of descriptors that was seen, by process.
    descriptors: [usize; 2],
    _folder: TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Deployment {
    /// Starts the processes and waits until ordinary requests are answered. `answer_bytes` is the size of answers.
    pub fn start(answer_bytes: usize) -> Self {
        Self::with_config(answer_bytes, &config(MAX_BODY_BYTES, TIMEOUT_S))
    }

    /// Like `start`, with a configuration for large bodies that take long.
    pub fn for_long_uploads(answer_bytes: usize, max_body_bytes: usize, timeout_s: f64) -> Self {
        Self::with_config(answer_bytes, &config(max_body_bytes, timeout_s))
    }

    fn with_config(answer_bytes: usize, config: &Value) -> Self {
        let turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let seed = SystemTime::UNIX_EPOCH.elapsed().expect("a clock").as_nanos() as u64;
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut port = || free_port(&mut rng);
        let ports = Ports { front: port(), admin: port(), cluster: port(), relay: port() };
        let folder = tempfile::tempdir().expect("a temporary folder");
        let replica = include_str!("../../../../platform/settings/replica.ini");
        let entry = include_str!("../../../../platform/settings/entry.ini");
        let mut replica = node("replica", "127.0.0.1", ports, replica, folder.path());
        let mut entry = node("entry", "127.0.0.2", ports, entry, folder.path());
        replica.start();
        entry.start();
        let admins = [replica.admin()];
        let answer_bytes = answer_bytes.to_string();
        let options = ["--service-time", "5ms", "--answer-bytes", &answer_bytes];
        let servers = Some(Servers::start(SERVERS, &admins, seed, &options));
        let processes = [&replica, &entry].map(|node| node.process.as_ref().expect("a running process").id());
        let mut deployment =
            Self { replica, entry, servers, processes, descriptors: [0; 2], _folder: folder, _turn: turn };
        let config = config.to_string();
        deployment.retry(START_LIMIT, "the configuration is accepted", |deployment| {
            call(&deployment.replica.admin(), "POST", "/v1/Config.Replace", &config)
        });
        deployment.check_ordinary();
        deployment
    }

    /// Checks that an ordinary client of each listener is answered with 200.
    pub fn check_ordinary(&mut self) {
        self.retry(ORDINARY_LIMIT, "an ordinary call", |deployment| {
            let headers = "host: shop.example\r\nattempt-id: ordinary\r\n";
            exchange(&deployment.entry.front(), "GET", "/look-up/ordinary", headers, b"").ok()
        });
        self.retry(ORDINARY_LIMIT, "a readiness check", |deployment| {
            call(&deployment.entry.admin(), "GET", "/v1/ready", "")
        });
        self.retry(ORDINARY_LIMIT, "a read of the configuration", |deployment| {
            call(&deployment.replica.admin(), "GET", "/v1/Config.Read", "")
        });
        self.retry(ORDINARY_LIMIT, "a heartbeat", |deployment| {
            let body = json!({
                "address": "127.0.0.1:1", "born": 1,
                "info": {"service": "ordinary", "version": "v1", "zone": "dc1", "capacity": 2},
                "status": {"state": "ready", "sequence": 1, "warmup_left_s": 0.0},
            });
            call(&deployment.replica.admin(), "POST", "/v1/Instances.Heartbeat/ordinary", &body.to_string())
        });
    }

    /// Repeats a request as a polite client does, until it is answered with 200.
    fn retry(&mut self, limit: Duration, what: &str, request: impl Fn(&Self) -> Option<Answer>) {
        let end = Instant::now() + limit;
        loop {
            let answer = request(self);
            let status = answer.as_ref().map(|answer| answer.status);
            self.sample();
            if status == Some(200) {
                return;
            }
            assert!(Instant::now() < end, "{what} was not answered with 200 within {limit:?}, last with {status:?}");
            let stated = answer.as_ref().and_then(|answer| answer.header("retry-after")?.parse().ok());
            thread::sleep(stated.map_or(RETRY_PAUSE, Duration::from_secs_f64));
        }
    }

    /// Counts the descriptors that are open now.
    pub fn sample(&mut self) {
        for (process, highest) in self.processes.iter().zip(&mut self.descriptors) {
            *highest = (*highest).max(descriptors(*process).unwrap_or(0));
        }
    }

    /// Checks that the processes live and that their memory and descriptors stayed under the bounds.
    pub fn check_usage(&mut self) {
        let mut faults = Vec::new();
        for (node, process, descriptors) in [
            (&mut self.replica, self.processes[0], self.descriptors[0]),
            (&mut self.entry, self.processes[1], self.descriptors[1]),
        ] {
            let memory = peak_memory_kb(process).unwrap_or(0);
            println!("{}: {memory} KB at most, {descriptors} descriptors", node.name);
            if !node.is_running() {
                faults.push(format!("{} ended: {}", node.name, node.last_lines()));
            }
            if memory > MEMORY_MB * 1_024 {
                faults.push(format!("{} used {memory} KB of {MEMORY_MB} MB", node.name));
            }
            if descriptors > DESCRIPTORS {
                faults.push(format!("{} used {descriptors} of {DESCRIPTORS} descriptors", node.name));
            }
        }
        assert!(faults.is_empty(), "{}", faults.join("; "));
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if thread::panicking() {
            for node in [&self.replica, &self.entry] {
                println!("last lines of {}:\n{}", node.name, node.last_lines());
            }
        }
        drop(self.servers.take());
    }
}

/// Creates an instance whose settings are those of the platform's template, with the limits of this test.
fn node(name: &str, ip: &str, ports: Ports, template: &'static str, folder: &Path) -> Node {
    let node = Node::new(name.into(), ip.into(), ports, template, folder);
    let data = folder.join(format!("data-{name}"));
    let values = [
        ("node_name", name),
        ("zone", "dc1"),
        ("ip", ip),
        ("listen.front", &node.front()),
        ("listen.ready", &node.admin()),
        ("listen.control", &node.admin()),
        ("cluster_ports.0", &ports.cluster.to_string()),
        ("cluster_ports.1", &ports.relay.to_string()),
        ("data_dir", &data.to_string_lossy()),
        ("seeds", &format!("127.0.0.1:{}", ports.admin)),
        ("first_start", "true"),
        ("fault_tolerance.machines", "0"),
        ("bounds.grace_s", "6"),
        ("bounds.retry_budget_ratio", "0.2"),
        ("bounds.retry_budget_slack", "62"),
        ("bounds.budget_window_s", "10"),
        ("limits.memory_mb", &MEMORY_MB.to_string()),
        ("limits.max_fds", &DESCRIPTORS.to_string()),
        ("limits.link_mbps", ""),
    ];
    let mut settings = template.to_owned();
    for (key, value) in values {
        settings = settings.replace(&format!("{{{{{key}}}}}"), value);
    }
    if !settings.contains("memory-mb") {
        settings += &format!("memory-mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
    }
    // Other keys of the platform's template count as unknown.
    let known = settings.lines().map(|line| if line.contains("{{") { "" } else { line });
    node.write_settings_file(&known.collect::<Vec<_>>().join("\n"));
    node
}

/// Returns a configuration with two routes and small limits.
fn config(max_body_bytes: usize, timeout_s: f64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!([name, "shop.example", prefix, kind, timeout_s, 4.0, 1, null, 3, "catalogue"])
    };
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "hostname", "path_prefix", "route_type", "timeout_s", "target_latency_s", "priority",
                "traffic_split", "max_attempts", "service"],
            "rows": [route("look-ups", "/look-up/", "safe"), route("orders", "/order/", "unsafe")],
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "protocol", "tls"],
            "rows": [["catalogue", "/health", 250, "h1", false]],
        },
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout_s": 2.0, "idle_timeout_s": IDLE_TIMEOUT_S,
        },
    })
}

/// Finds a port that is free for TCP and UDP on all addresses of this machine.
fn free_port(rng: &mut SmallRng) -> u16 {
    for _ in 0..1_000 {
        let port = rng.random_range(PORTS);
        let any = (Ipv4Addr::UNSPECIFIED, port);
        if TcpListener::bind(any).is_ok() && UdpSocket::bind(any).is_ok() {
            return port;
        }
    }
    panic!("no free port");
}
