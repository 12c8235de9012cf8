//! An entry, stand-in servers and load as processes.

use {
    super::process::{Ended, Process, run},
    serde_json::Value,
    std::{
        io::{Read, Write},
        net::TcpStream,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Time within which the first call through an entry must be answered.
const READY_LIMIT: Duration = Duration::from_secs(5);

/// One entry with a text in force.
pub struct System {
    pub entry: Process,
    pub callers: String,
    pub admin: String,
    folder: TempDir,
}

/// Stand-in servers of one process.
pub struct Servers {
    pub process: Process,
    pub control: String,
    pub addresses: Vec<String>,
}

impl System {
    /// Starts an entry and submits a text with the service `catalogue`.
    pub fn start() -> Self {
        Self::with_text("")
    }

    /// The same with more sections in the text.
    pub fn with_text(more: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let settings = folder.path().join("entry.ini");
        let data = folder.path().join("data");
        let source = format!("[instance]\nid = e1\nnotice = 200ms\ndata = {}\n", data.display());
        std::fs::write(&settings, source).expect("the settings are written");
        let mut entry = Process::start(&["run", "--settings", &settings.to_string_lossy()]);
        let ready = entry.json();
        let address = |key: &str| ready[key].as_str().expect("an address").to_owned();
        let system = Self { callers: address("callers"), admin: address("admin"), entry, folder };
        let text =
            system.file("text.ini", &format!("[change]\nnumber = 1\n[service catalogue]\ndeadline = 2s\n{more}"));
        let ended = run(&["submit", "--to", &system.admin, &text.to_string_lossy()]);
        assert_eq!(ended.code, 0, "{ended:?}");
        system
    }

    /// Returns the value of a metric of the entry.
    pub fn metric(&self, name: &str) -> f64 {
        let (_, page) = get(&self.admin, "/metrics");
        let value = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name} in {page}"))
    }

    /// Writes a file that lives as long as the system.
    pub fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, content).expect("the file is written");
        path
    }

    /// Starts stand-in servers and waits until a call through the entry is answered.
    pub fn servers(&self, more: &[&str]) -> Servers {
        let servers = self.announce(more);
        let end = Instant::now() + READY_LIMIT;
        while get(&self.callers, "/catalogue/ready").0 != 200 {
            assert!(Instant::now() < end, "no call is answered");
            std::thread::sleep(Duration::from_millis(20));
        }
        servers
    }

    /// Starts stand-in servers.
    pub fn announce(&self, more: &[&str]) -> Servers {
        let mut arguments = vec!["emulate", "--entry", &self.admin];
        arguments.extend(more);
        Servers::start(&arguments)
    }

    /// Sends load through the entry and returns its result as JSON.
    pub fn load(&self, servers: &Servers, more: &[&str]) -> (Ended, Value) {
        let mut arguments = vec!["load", "--json", "--target", &self.callers, "--control", &servers.control];
        arguments.extend(more);
        let ended = run(&arguments);
        let summary = serde_json::from_str(&ended.stdout).unwrap_or_else(|e| panic!("{e}: {ended:?}"));
        (ended, summary)
    }
}

impl Servers {
    pub fn start(arguments: &[&str]) -> Self {
        let mut process = Process::start(arguments);
        let ready = process.json();
        let text = |value: &Value| value.as_str().expect("an address").to_owned();
        let servers = ready["servers"].as_array().expect("servers");
        let addresses = servers.iter().map(|server| text(&server["address"])).collect();
        Self { control: text(&ready["control"]), addresses, process }
    }

    /// Switches the mode of a server.
    pub fn switch(&self, server: &str, query: &str) {
        let (status, body) = request(&self.control, "POST", &format!("/control/{server}?{query}"));
        assert_eq!(status, 200, "{body}");
    }

    /// Returns the counts.
    pub fn executions(&self) -> Value {
        serde_json::from_str(&get(&self.control, "/executions").1).expect("the counts are JSON")
    }

    /// Returns the counts of one server.
    pub fn server(&self, name: &str) -> Value {
        let counts = self.executions();
        let servers = counts["servers"].as_array().expect("servers");
        servers.iter().find(|server| server["server"] == name).expect("the server").clone()
    }
}

/// Gets a page and returns its status and body; the status is 0 when there was no answer.
pub fn get(address: &str, path: &str) -> (u16, String) {
    request(address, "GET", path)
}

/// Sends a request without a body on a connection of its own.
pub fn request(address: &str, method: &str, path: &str) -> (u16, String) {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let head =
            format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into())
    };
    let answer = exchange().unwrap_or_default();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    (status, body.unwrap_or_default())
}
