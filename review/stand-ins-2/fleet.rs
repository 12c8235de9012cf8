//! The project's processes, started as the deploy file says, and the platform's part: settings, operator, readiness.

use crate::{http, record::Record};
use std::{
    collections::HashMap,
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicI32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const CONTROL: u16 = 8544;
const FRONT: u16 = 8548;
const READY: u16 = 8542;
const CLUSTER: u16 = 7540;
const RELAY: u16 = 7541;
const DATA_CENTRES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Ids of all processes that were started; 0 once one has ended.
static STARTED: Mutex<Vec<&'static AtomicI32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends all processes that were started.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().iter() {
        let pid = pid.swap(0, Ordering::SeqCst);
        if pid > 0 {
            // SAFETY: the id is that of a child that was not waited for yet.
            unsafe { kill(pid, SIGKILL) };
        }
    }
}

/// One machine with one role.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    role: &'static str,
    zone: &'static str,
    seeds: String,
    folder: PathBuf,
    process: Option<(Child, &'static AtomicI32)>,
    record: Record,
}

/// The machines of a small deployment.
pub struct Fleet {
    pub replicas: Vec<Node>,
    pub entries: Vec<Node>,
    folder: PathBuf,
    pub backends: Vec<IpAddr>,
}

impl Fleet {
    /// Chooses free loopback addresses and a temporary folder for three replicas and some entries.
    pub fn new(entries: usize, record: &Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("hemlockford-review-{}", process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let address = |net: u8, host: u8| IpAddr::V4(Ipv4Addr::new(127, 78, net, host));
        let is_free = |net: u8| {
            let ports = [CONTROL, FRONT, READY, CLUSTER, RELAY];
            let mut all = (10..40).flat_map(|host| ports.map(|port| SocketAddr::new(address(net, host), port)));
            all.all(|address| TcpListener::bind(address).is_ok())
        };
        let first = (process::id() % 200) as u8;
        let net = (0..20).map(|step| first.wrapping_add(step * 11)).find(|net| is_free(*net));
        let net = net.ok_or("no free loopback addresses")?;
        let seeds: Vec<_> = (0..3).map(|index| format!("{}:{CONTROL}", address(net, 10 + index))).collect();
        let node = |role: &'static str, index: u8, host: u8| Node {
            name: format!("{role}-{}", index + 1),
            ip: address(net, host),
            role,
            zone: DATA_CENTRES[usize::from(index) % 3],
            seeds: seeds.join(","),
            folder: folder.join(format!("{role}-{}", index + 1)),
            process: None,
            record: record.clone(),
        };
        Ok(Self {
            replicas: (0..3).map(|index| node("replica", index, 10 + index)).collect(),
            entries: (0..entries as u8).map(|index| node("entry", index, 20 + index)).collect(),
            folder: folder.clone(),
            backends: (30..40).map(|host| address(net, host)).collect(),
        })
    }

    /// Returns the control addresses.
    pub fn control(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| SocketAddr::new(replica.ip, CONTROL)).collect()
    }

    /// Waits until all entries are ready.
    pub fn wait_until_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        while !self.entries.iter().all(Node::is_ready) {
            if Instant::now() >= end {
                return Err("the entries are not ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        for node in self.replicas.iter_mut().chain(&mut self.entries) {
            node.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Node {
    /// Starts the process with the settings that the platform fills in at that moment.
    pub fn start(&mut self, is_first_start: bool) -> Result<(), String> {
        fs::create_dir_all(self.folder.join("data")).map_err(|e| e.to_string())?;
        let file = self.folder.join("settings");
        fs::write(&file, self.settings(is_first_start)?).map_err(|e| e.to_string())?;
        let log = File::options().create(true).append(true).open(self.folder.join("log")).map_err(|e| e.to_string())?;
        let copy = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("target/release/hemlockford")
            .args(["run", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .map_err(|e| format!("target/release/hemlockford: {e}"))?;
        let pid: &'static AtomicI32 = Box::leak(Box::new(AtomicI32::new(child.id() as i32)));
        STARTED.lock().unwrap().push(pid);
        self.process = Some((child, pid));
        self.record.line(&format!("{} starts at {}, first_start = {is_first_start}", self.name, self.ip));
        Ok(())
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        let Some((_, pid)) = &self.process else { return };
        let pid = pid.load(Ordering::SeqCst);
        if pid > 0 {
            // SAFETY: the id is that of a child that was not waited for yet.
            unsafe { kill(pid, signal) };
        }
        self.record.line(&format!("{} gets signal {signal}", self.name));
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }

    fn wait(&mut self) {
        if let Some((mut child, pid)) = self.process.take() {
            let _ = child.wait();
            pid.store(0, Ordering::SeqCst);
        }
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, READY);
        http::call(address, "GET", "/v1/ready", &[], &[], Duration::from_millis(500))
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Fills in the template of the role as DEPLOY.md describes.
    fn settings(&self, is_first_start: bool) -> Result<String, String> {
        let template = match self.role {
            "replica" => "platform/settings/replica.ini",
            _ => "platform/settings/entry.ini",
        };
        let template = fs::read_to_string(template).map_err(|e| format!("{template}: {e}"))?;
        let listen = |port: u16| format!("{}:{port}", self.ip);
        let is_replica = self.role == "replica";
        let values: HashMap<&str, String> = HashMap::from([
            ("node_name", self.name.clone()),
            ("zone", self.zone.into()),
            ("ip", self.ip.to_string()),
            ("cluster_ports.0", CLUSTER.to_string()),
            ("cluster_ports.1", RELAY.to_string()),
            ("listen.front", listen(FRONT)),
            ("listen.ready", listen(READY)),
            ("listen.control", listen(CONTROL)),
            ("data_dir", self.folder.join("data").display().to_string()),
            ("seeds", self.seeds.clone()),
            ("first_start", is_first_start.to_string()),
            ("fault_tolerance.machines", "1".into()),
            ("bounds.grace_s", "6".into()),
            ("bounds.retry_budget_ratio", "0.2".into()),
            ("bounds.retry_budget_slack", "64".into()),
            ("bounds.budget_window_s", "10".into()),
            ("limits.memory_mb", if is_replica { "256" } else { "693" }.into()),
            ("limits.max_fds", if is_replica { "4096" } else { "10933" }.into()),
            ("limits.link_mbps", if is_replica { "1000" } else { "2700" }.into()),
        ]);
        let mut rest = template.replace("{{#zones}}{{@}}{{,}}{{/zones}}", &DATA_CENTRES.join(","));
        let mut text = String::new();
        while let Some(begin) = rest.find("{{") {
            let end = rest[begin..].find("}}").ok_or("the template has an open placeholder")? + begin;
            text += &rest[..begin];
            text += values.get(&rest[begin + 2..end]).map_or("", String::as_str);
            rest = rest[end + 2..].to_owned();
        }
        Ok(text + &rest)
    }
}

/// A configuration with one route.
pub fn configuration(version: u64, kind: &str, service: &str, services: &[&str]) -> String {
    let services: Vec<_> =
        services.iter().map(|service| format!(r#"["{service}","/health",260,"h1",false]"#)).collect();
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name","hostname","path_prefix","route_type","timeout_s","target_latency_s","priority","traffic_split","max_attempts","service"],"rows":[["r-orders","orders.example","/orders/","{kind}",1.5,0.5,1,null,2,"{service}"]]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        services.join(",")
    )
}

/// Adds a table of tenants, each with one key, to a configuration.
pub fn with_tenants(configuration: &str, tenants: &[(&str, &str)]) -> String {
    let rows: Vec<_> = tenants.iter().map(|(name, key)| format!(r#"["{name}",["{key}"],1,null,null]"#)).collect();
    let table =
        format!(r#"{{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[{}]}}"#, rows.join(","));
    let body = configuration.strip_suffix('}').expect("a configuration is an object");
    format!(r#"{body},"tenants":{table}}}"#)
}

/// Sends a configuration to one node after the other until it is acknowledged; returns when it was.
pub fn submit(record: &Record, control: &[SocketAddr], version: u64, body: &str, limit: Duration) -> Option<f64> {
    let end = Instant::now() + limit;
    let mut last = String::new();
    for turn in 0.. {
        if Instant::now() >= end {
            break;
        }
        let node = control[turn % control.len()];
        let json = [("Content-Type", "application/json")];
        let result =
            match http::call(node, "POST", "/v1/Config.Replace", &json, body.as_bytes(), Duration::from_secs(1)) {
                Ok(answer) if answer.status == 200 => {
                    record.line(&format!("operator: {node} acknowledges version {version}"));
                    return Some(record.now());
                }
                Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
                Err(error) => error,
            };
        if result != last {
            record.line(&format!("operator: version {version} at {node}: {result}"));
            last = result;
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}
