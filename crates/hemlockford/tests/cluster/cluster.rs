//! A cluster of instance processes that are connected through relays.

use {
    crate::{
        member::Member,
        peer_relay::PeerRelay,
        process::{ProcessOutput, run},
        system::StandInServers,
    },
    std::{
        fmt::Write,
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Specified time within which every instance must apply a change.
pub const APPLY_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for starting the processes and forming the group; no target is specified for it.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Several instances, of which the first are control replicas.
pub struct Cluster {
    pub members: Vec<Member>,
    folder: TempDir,
}

impl Cluster {
    /// Starts instances `e1`, `e2`, … and submits change 1 with the service `catalogue`.
    pub fn start(instances: usize, replicas: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let names: Vec<_> = (1..=instances).map(|number| format!("e{number}")).collect();
        let relays: Vec<_> = names.iter().map(|_| PeerRelay::start()).collect();
        let addresses: Vec<_> = relays.iter().map(|relay| relay.address).collect();
        let mut members = Vec::new();
        for (index, relay) in relays.into_iter().enumerate() {
            let name = &names[index];
            let data_folder = (index < replicas).then(|| folder.path().join(format!("data-{name}")));
            let mut source = format!("[instance]\nid = {name}\nnotice = 500ms\ndata-centre = dc{}\n", index % 3);
            if let Some(data_folder) = &data_folder {
                writeln!(source, "data = {}", data_folder.display()).expect("writing to a string succeeds");
            }
            for (other, address) in addresses.iter().enumerate().filter(|(other, _)| *other != index) {
                let replica = if other < replicas { "yes" } else { "no" };
                let section = format!("[peer {}]\naddress = {address}\nreplica = {replica}\n", names[other]);
                source.push_str(&section);
            }
            let settings_path = folder.path().join(format!("{name}.ini"));
            std::fs::write(&settings_path, source).expect("the settings file is written");
            let (caller_address, admin_address) = (String::new(), String::new());
            members.push(Member {
                name: name.clone(),
                relay,
                settings_path,
                data_folder,
                process: None,
                caller_address,
                admin_address,
            });
        }
        let mut cluster = Self { members, folder };
        for member in &mut cluster.members {
            member.start();
        }
        let output = cluster.submit_until_final(0, 1, "", START_LIMIT);
        assert_eq!(output.code, 0, "{output:?}");
        cluster
            .wait_until(START_LIMIT, "every instance is ready", |cluster| cluster.members.iter().all(Member::is_ready));
        cluster
    }

    /// Writes a configuration file with the service `catalogue` and additional lines.
    pub fn write_config(&self, number: u64, extra_lines: &str) -> PathBuf {
        let path = self.folder.path().join(format!("text-{number}-{}.ini", extra_lines.len()));
        let config = format!("[change]\nnumber = {number}\n[service catalogue]\ndeadline = 4s\n{extra_lines}");
        std::fs::write(&path, config).expect("the configuration file is written");
        path
    }

    /// Submits a configuration once.
    pub fn submit(&self, member: usize, number: u64, extra_lines: &str) -> ProcessOutput {
        let config_path = self.write_config(number, extra_lines);
        run(&["submit", "--to", &self.members[member].admin_address, &config_path.to_string_lossy()])
    }

    /// Submits a configuration until it is accepted or conflicts with an accepted one, as an operator does who gets no
    /// final answer.
    pub fn submit_until_final(&self, member: usize, number: u64, extra_lines: &str, limit: Duration) -> ProcessOutput {
        let end = Instant::now() + limit;
        loop {
            let output = self.submit(member, number, extra_lines);
            if matches!(output.code, 0 | 3) || Instant::now() > end {
                return output;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a condition holds and returns the time that this took. Panics if it exceeds the limit.
    pub fn wait_until(&self, limit: Duration, condition: &str, mut holds: impl FnMut(&Self) -> bool) -> Duration {
        let start = Instant::now();
        while !holds(self) {
            let states: Vec<_> = self.members.iter().map(Member::status).collect();
            assert!(start.elapsed() < limit, "condition not met within {limit:?}: {condition}; {states:?}");
            thread::sleep(Duration::from_millis(5));
        }
        start.elapsed()
    }

    /// Cuts the links between one instance and all others in both directions.
    pub fn isolate(&self, member: usize) {
        for (index, other) in self.members.iter().enumerate().filter(|(index, _)| *index != member) {
            other.relay.cut(&self.members[member].name);
            self.members[member].relay.cut(&self.members[index].name);
        }
    }

    /// Restores the links that `isolate` cut.
    pub fn heal(&self, member: usize) {
        for (index, other) in self.members.iter().enumerate().filter(|(index, _)| *index != member) {
            other.relay.heal(&self.members[member].name);
            self.members[member].relay.heal(&self.members[index].name);
        }
    }

    /// Returns the index of the leader, as reported by a running instance.
    pub fn leader_index(&self) -> usize {
        let leader = self.members.iter().filter(|member| member.process.is_some()).find_map(|member| {
            let name = member.status()["leader"].as_str()?.to_owned();
            self.members.iter().position(|member| member.name == name)
        });
        leader.expect("an instance reports a leader")
    }

    /// Starts stand-in servers that announce themselves to the running instances, and waits until every running instance
    /// knows them.
    pub fn start_servers(&self, options: &[&str]) -> StandInServers {
        let mut arguments = vec!["emulate"];
        for member in self.members.iter().filter(|member| member.process.is_some()) {
            arguments.extend(["--entry", &member.admin_address]);
        }
        arguments.extend(options);
        let servers = StandInServers::start(&arguments);
        let count = servers.addresses.len();
        self.wait_until(START_LIMIT, "every instance knows the servers", |cluster| {
            let running = cluster.members.iter().filter(|member| member.process.is_some());
            running.map(Member::status).all(|status| {
                let ready = |server: &&serde_json::Value| server["state"] == "ready";
                status["servers"].as_array().is_some_and(|servers| servers.iter().filter(ready).count() >= count)
            })
        });
        servers
    }
}
