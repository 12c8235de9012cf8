//! A group of instance processes with direct connections between them.

use {
    super::{
        process::{Process, ProcessOutput, run},
        system::{StandInServers, get},
    },
    serde_json::Value,
    std::{
        fmt::Write,
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Time limit for starting the processes and forming the group; no target is specified for it.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Interval between checks of a condition whose time is not measured.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One instance process.
pub struct Instance {
    pub name: String,
    pub settings_path: PathBuf,
    pub process: Process,
    pub caller_address: String,
    pub admin_address: String,
}

/// Several instances with an active configuration. The first instances are control replicas.
///
/// Unlike the cluster of the tests, the group has no relays between the instances, because relays would add to the
/// measured latency and processor time.
pub struct InstanceGroup {
    pub instances: Vec<Instance>,
    pub change_number: u64,
    folder: TempDir,
}

impl Instance {
    fn start(name: String, settings_path: PathBuf) -> Self {
        let mut process = Process::start(&["run", "--settings", &settings_path.to_string_lossy()]);
        let ready = process.read_json_line();
        let address = |key: &str| ready[key].as_str().expect("an address").to_owned();
        Self { caller_address: address("callers"), admin_address: address("admin"), name, settings_path, process }
    }

    /// Starts the process again after it has exited.
    pub fn restart(&mut self) {
        *self = Self::start(self.name.clone(), self.settings_path.clone());
    }

    pub fn is_ready(&self) -> bool {
        get(&self.admin_address, "/ready").0 == 200
    }

    pub fn status(&self) -> Value {
        serde_json::from_str(&get(&self.admin_address, "/status").1).unwrap_or_default()
    }

    pub fn change_number(&self) -> u64 {
        self.status()["number"].as_u64().unwrap_or_default()
    }
}

impl InstanceGroup {
    /// Starts instances and submits `config` as change 1.
    pub fn start(instances: usize, replicas: usize, config: &str) -> Self {
        Self::start_with_settings(instances, replicas, config, "")
    }

    /// Like `start`, with additional lines in the settings of every instance.
    pub fn start_with_settings(instances: usize, replicas: usize, config: &str, extra_settings: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let addresses: Vec<_> = (0..instances).map(free_address).collect();
        let settings_paths: Vec<_> =
            (0..instances).map(|index| write_settings(&folder, &addresses, index, replicas, extra_settings)).collect();
        let numbered_paths = settings_paths.into_iter().enumerate();
        let instances = numbered_paths.map(|(index, path)| Instance::start(format!("e{}", index + 1), path)).collect();
        let mut group = Self { instances, change_number: 0, folder };
        let end = Instant::now() + START_LIMIT;
        // Submissions are refused until the group has a leader.
        while group.submit_change(0, 1, config).code != 0 {
            assert!(Instant::now() < end, "the first change was not accepted within {START_LIMIT:?}");
            thread::sleep(POLL_INTERVAL);
        }
        group.change_number = 1;
        group.wait_until("every instance is ready", |group| group.instances.iter().all(Instance::is_ready));
        group
    }

    /// Writes a configuration with a change number to a file.
    pub fn write_config(&self, number: u64, config: &str) -> PathBuf {
        let path = self.folder.path().join("text.ini");
        std::fs::write(&path, format!("[change]\nnumber = {number}\n{config}"))
            .expect("the configuration file is written");
        path
    }

    /// Submits a configuration once, with a change number.
    pub fn submit_change(&self, instance: usize, number: u64, config: &str) -> ProcessOutput {
        let path = self.write_config(number, config);
        run(&["submit", "--to", &self.instances[instance].admin_address, &path.to_string_lossy()])
    }

    /// Submits a configuration with the next change number and waits until every instance applies it.
    pub fn submit_and_wait(&mut self, config: &str) {
        self.change_number += 1;
        let number = self.change_number;
        let output = self.submit_change(0, number, config);
        assert_eq!(output.code, 0, "{output:?}");
        self.wait_until("every instance applies the change", |group| {
            group.instances.iter().all(|instance| instance.change_number() >= number)
        });
    }

    /// Waits until a condition holds.
    pub fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + START_LIMIT;
        while !holds(self) {
            assert!(Instant::now() < end, "condition not met within {START_LIMIT:?}: {condition}");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until every instance knows at least `count` ready servers.
    pub fn wait_for_servers(&self, count: usize) {
        let ready = |status: &Value| {
            status["servers"].as_array().map_or(0, |all| all.iter().filter(|server| server["state"] == "ready").count())
        };
        self.wait_until("every instance knows the servers", |group| {
            group.instances.iter().all(|instance| ready(&instance.status()) >= count)
        });
    }

    /// Starts stand-in servers that announce themselves to the instances.
    pub fn start_servers(&self, options: &[&str]) -> StandInServers {
        let mut arguments = vec!["emulate"];
        for instance in &self.instances {
            arguments.extend(["--entry", &instance.admin_address]);
        }
        arguments.extend(options);
        StandInServers::start(&arguments)
    }

    /// Returns the addresses of the caller listeners.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.caller_address.parse().expect("an address")).collect()
    }
}

fn write_settings(
    folder: &TempDir,
    addresses: &[SocketAddr],
    index: usize,
    replicas: usize,
    extra_settings: &str,
) -> PathBuf {
    let name = |index: usize| format!("e{}", index + 1);
    let mut source =
        format!("[instance]\nid = {}\nnotice = 200ms\nlisten = {}\n{extra_settings}", name(index), addresses[index]);
    if index < replicas {
        let data = folder.path().join(format!("data-{}", name(index)));
        writeln!(source, "data = {}", data.display()).expect("writing to a string succeeds");
    }
    for (other, address) in addresses.iter().enumerate().filter(|(other, _)| *other != index) {
        let replica = if other < replicas { "yes" } else { "no" };
        writeln!(source, "[peer {}]\naddress = {address}\nreplica = {replica}", name(other))
            .expect("writing to a string succeeds");
    }
    let path = folder.path().join(format!("{}.ini", name(index)));
    std::fs::write(&path, source).expect("the settings file is written");
    path
}

/// Finds a port that is free for both TCP and UDP. Each instance has its own loopback address, so that no outgoing
/// connection takes the port before the instance binds it.
fn free_address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(127, 0, 0, 10 + index as u8);
    loop {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
