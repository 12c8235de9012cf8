//! Several instances that reach each other directly.

use {
    super::{
        process::{Ended, Process, run},
        system::{Servers, get},
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

/// Time for starting processes and forming the group, for which there is no stated target.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at a condition that is not measured.
const LOOK: Duration = Duration::from_millis(10);

/// One instance.
pub struct Instance {
    pub name: String,
    pub settings: PathBuf,
    pub process: Process,
    pub callers: String,
    pub admin: String,
}

/// Several instances, the first of which are control replicas, with a text in force.
///
/// In contrast to the test cluster there are no relays between the instances, since these would add to the
/// latency and to the processor time that are measured.
pub struct Group {
    pub instances: Vec<Instance>,
    pub number: u64,
    folder: TempDir,
}

impl Instance {
    fn start(name: String, settings: PathBuf) -> Self {
        let mut process = Process::start(&["run", "--settings", &settings.to_string_lossy()]);
        let ready = process.json();
        let address = |key: &str| ready[key].as_str().expect("an address").to_owned();
        Self { callers: address("callers"), admin: address("admin"), name, settings, process }
    }

    /// Starts the process again after it ended.
    pub fn restart(&mut self) {
        *self = Self::start(self.name.clone(), self.settings.clone());
    }

    pub fn is_ready(&self) -> bool {
        get(&self.admin, "/ready").0 == 200
    }

    pub fn status(&self) -> Value {
        serde_json::from_str(&get(&self.admin, "/status").1).unwrap_or_default()
    }

    pub fn number(&self) -> u64 {
        self.status()["number"].as_u64().unwrap_or_default()
    }
}

impl Group {
    /// Starts instances and submits change 1, whose other lines are given.
    pub fn start(instances: usize, replicas: usize, text: &str) -> Self {
        Self::start_with(instances, replicas, text, "")
    }

    /// Starts instances with more lines in their settings.
    pub fn start_with(instances: usize, replicas: usize, text: &str, more: &str) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let addresses: Vec<_> = (0..instances).map(free_address).collect();
        let settings: Vec<_> =
            (0..instances).map(|index| settings(&folder, &addresses, index, replicas, more)).collect();
        let started = settings.into_iter().enumerate();
        let instances = started.map(|(index, path)| Instance::start(format!("e{}", index + 1), path)).collect();
        let mut group = Self { instances, number: 0, folder };
        let end = Instant::now() + START_LIMIT;
        // A submission is refused until the group has a leader.
        while group.submit_number(0, 1, text).code != 0 {
            assert!(Instant::now() < end, "the first change is not accepted");
            thread::sleep(LOOK);
        }
        group.number = 1;
        group.wait("every instance is ready", |group| group.instances.iter().all(Instance::is_ready));
        group
    }

    /// Writes a text whose number is given.
    pub fn file(&self, number: u64, text: &str) -> PathBuf {
        let path = self.folder.path().join("text.ini");
        std::fs::write(&path, format!("[change]\nnumber = {number}\n{text}")).expect("the text is written");
        path
    }

    /// Submits a text once.
    pub fn submit_number(&self, instance: usize, number: u64, text: &str) -> Ended {
        let path = self.file(number, text);
        run(&["submit", "--to", &self.instances[instance].admin, &path.to_string_lossy()])
    }

    /// Submits a text under the next number and waits until it is in force everywhere.
    pub fn submit(&mut self, text: &str) {
        self.number += 1;
        let number = self.number;
        let ended = self.submit_number(0, number, text);
        assert_eq!(ended.code, 0, "{ended:?}");
        self.wait("the change is in force", |group| group.instances.iter().all(|instance| instance.number() >= number));
    }

    /// Waits until a condition holds.
    pub fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + START_LIMIT;
        while !holds(self) {
            assert!(Instant::now() < end, "not within {START_LIMIT:?}: {what}");
            thread::sleep(LOOK);
        }
    }

    /// Waits until every instance knows this number of ready servers.
    pub fn wait_servers(&self, count: usize) {
        let ready = |status: &Value| {
            status["servers"].as_array().map_or(0, |all| all.iter().filter(|server| server["state"] == "ready").count())
        };
        self.wait("every instance knows the servers", |group| {
            group.instances.iter().all(|instance| ready(&instance.status()) >= count)
        });
    }

    /// Starts stand-in servers that announce themselves to the instances.
    pub fn servers(&self, more: &[&str]) -> Servers {
        let mut arguments = vec!["emulate"];
        for instance in &self.instances {
            arguments.extend(["--entry", &instance.admin]);
        }
        arguments.extend(more);
        Servers::start(&arguments)
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|instance| instance.callers.parse().expect("an address")).collect()
    }
}

fn settings(folder: &TempDir, addresses: &[SocketAddr], index: usize, replicas: usize, more: &str) -> PathBuf {
    let name = |index: usize| format!("e{}", index + 1);
    let mut source = format!("[instance]\nid = {}\nnotice = 200ms\nlisten = {}\n{more}", name(index), addresses[index]);
    if index < replicas {
        let data = folder.path().join(format!("data-{}", name(index)));
        writeln!(source, "data = {}", data.display()).expect("text is written");
    }
    for (other, address) in addresses.iter().enumerate().filter(|(other, _)| *other != index) {
        let replica = if other < replicas { "yes" } else { "no" };
        writeln!(source, "[peer {}]\naddress = {address}\nreplica = {replica}", name(other)).expect("text is written");
    }
    let path = folder.path().join(format!("{}.ini", name(index)));
    std::fs::write(&path, source).expect("the settings are written");
    path
}

/// Finds a port that is free for TCP and UDP. Each instance has a loopback address of its own, on which no
/// outgoing connection takes the port before the instance binds it.
fn free_address(index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(127, 0, 0, 10 + index as u8);
    loop {
        let listener = TcpListener::bind((host, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
