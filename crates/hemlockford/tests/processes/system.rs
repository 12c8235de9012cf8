//! An entry, stand-in servers and a load generator, each running as a process.

use {
    super::process::{Process, ProcessOutput, run},
    serde_json::Value,
    std::{
        io::{Read, Write},
        net::TcpStream,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Time within which the first call through an entry must succeed.
const READY_LIMIT: Duration = Duration::from_secs(5);

/// An entry process with an active configuration.
pub struct TestEntry {
    pub process: Process,
    pub caller_address: String,
    pub admin_address: String,
    folder: TempDir,
}

/// A process that runs stand-in servers.
pub struct StandInServers {
    pub process: Process,
    pub control_address: String,
    pub addresses: Vec<String>,
}

impl TestEntry {
    /// Starts an entry and submits a configuration with the service `catalogue`.
    pub fn start() -> Self {
        Self::with_config("")
    }

    /// Like `start`, with additional lines in the configuration.
    pub fn with_config(extra_lines: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let settings = folder.path().join("entry.ini");
        let data = folder.path().join("data");
        let source = format!("[instance]\nid = e1\nnotice = 200ms\ndata = {}\n", data.display());
        std::fs::write(&settings, source).expect("the settings are written");
        let mut process = Process::start(&["run", "--settings", &settings.to_string_lossy()]);
        let ready = process.read_json_line();
        let address = |key: &str| ready[key].as_str().expect("an address").to_owned();
        let entry = Self { caller_address: address("callers"), admin_address: address("admin"), process, folder };
        let config = entry.write_file(
            "text.ini",
            &format!("[change]\nnumber = 1\n[service catalogue]\ndeadline = 2s\n{extra_lines}"),
        );
        let output = run(&["submit", "--to", &entry.admin_address, &config.to_string_lossy()]);
        assert_eq!(output.code, 0, "{output:?}");
        entry
    }

    /// Returns the value of a metric of the entry.
    pub fn metric(&self, name: &str) -> f64 {
        let (_, page) = get(&self.admin_address, "/metrics");
        let value = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
        value.unwrap_or_else(|| panic!("no metric {name} in {page}"))
    }

    /// Writes a file that is removed when the entry is dropped.
    pub fn write_file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, content).expect("the file is written");
        path
    }

    /// Starts stand-in servers and waits until a call through the entry succeeds.
    pub fn start_servers_and_wait(&self, options: &[&str]) -> StandInServers {
        let servers = self.start_servers(options);
        let end = Instant::now() + READY_LIMIT;
        while get(&self.caller_address, "/catalogue/ready").0 != 200 {
            assert!(Instant::now() < end, "no call through the entry succeeded within {READY_LIMIT:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
        servers
    }

    /// Starts stand-in servers that announce themselves to the entry.
    pub fn start_servers(&self, options: &[&str]) -> StandInServers {
        let mut arguments = vec!["emulate", "--entry", &self.admin_address];
        arguments.extend(options);
        StandInServers::start(&arguments)
    }

    /// Sends load through the entry and returns the output of the load generator and its JSON summary.
    pub fn run_load(&self, servers: &StandInServers, options: &[&str]) -> (ProcessOutput, Value) {
        let mut arguments =
            vec!["load", "--json", "--target", &self.caller_address, "--control", &servers.control_address];
        arguments.extend(options);
        let output = run(&arguments);
        let summary =
            serde_json::from_str(&output.stdout).unwrap_or_else(|e| panic!("the summary is not JSON: {e}: {output:?}"));
        (output, summary)
    }
}

impl StandInServers {
    pub fn start(arguments: &[&str]) -> Self {
        let mut process = Process::start(arguments);
        let ready = process.read_json_line();
        let string = |value: &Value| value.as_str().expect("an address").to_owned();
        let servers = ready["servers"].as_array().expect("servers");
        let addresses = servers.iter().map(|server| string(&server["address"])).collect();
        Self { control_address: string(&ready["control"]), addresses, process }
    }

    /// Sets the mode of a server, or of all servers if the name is `all`.
    pub fn set_mode(&self, server: &str, query: &str) {
        let (status, body) = request(&self.control_address, "POST", &format!("/control/{server}?{query}"));
        assert_eq!(status, 200, "{body}");
    }

    /// Returns the execution counts of all servers.
    pub fn executions(&self) -> Value {
        serde_json::from_str(&get(&self.control_address, "/executions").1).expect("the counts are JSON")
    }

    /// Returns the execution counts of one server.
    pub fn server_counts(&self, name: &str) -> Value {
        let counts = self.executions();
        let servers = counts["servers"].as_array().expect("servers");
        servers.iter().find(|server| server["server"] == name).expect("the server is listed").clone()
    }
}

/// Sends a GET request and returns the status and body of the answer. The status is 0 if there is no answer.
pub fn get(address: &str, path: &str) -> (u16, String) {
    request(address, "GET", path)
}

/// Sends a request without a body on its own connection. The status is 0 if there is no answer.
pub fn request(address: &str, method: &str, path: &str) -> (u16, String) {
    let try_request = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let head =
            format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into())
    };
    let answer = try_request().unwrap_or_default();
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    (status, body.unwrap_or_default())
}
