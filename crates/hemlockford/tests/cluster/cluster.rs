//! Several instances that know each other through relays.

use {
    crate::{
        member::Member,
        peer_relay::PeerRelay,
        process::{Ended, run},
        system::Servers,
    },
    std::{
        fmt::Write,
        path::PathBuf,
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// Stated target for a change to be in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Time for starting processes and forming the group, for which there is no stated target.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Several instances, the first of which are control replicas.
pub struct Cluster {
    pub members: Vec<Member>,
    folder: TempDir,
}

impl Cluster {
    /// Starts instances `e1`, `e2` … and submits change 1 with the service `catalogue`.
    pub fn start(instances: usize, replicas: usize) -> Self {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let names: Vec<_> = (1..=instances).map(|number| format!("e{number}")).collect();
        let relays: Vec<_> = names.iter().map(|_| PeerRelay::start()).collect();
        let addresses: Vec<_> = relays.iter().map(|relay| relay.address).collect();
        let mut members = Vec::new();
        for (index, relay) in relays.into_iter().enumerate() {
            let name = &names[index];
            let data = (index < replicas).then(|| folder.path().join(format!("data-{name}")));
            let mut source = format!("[instance]\nid = {name}\nnotice = 500ms\ndata-centre = dc{}\n", index % 3);
            if let Some(data) = &data {
                writeln!(source, "data = {}", data.display()).expect("text is written");
            }
            for (other, address) in addresses.iter().enumerate().filter(|(other, _)| *other != index) {
                let replica = if other < replicas { "yes" } else { "no" };
                let section = format!("[peer {}]\naddress = {address}\nreplica = {replica}\n", names[other]);
                source.push_str(&section);
            }
            let settings = folder.path().join(format!("{name}.ini"));
            std::fs::write(&settings, source).expect("the settings are written");
            let (callers, admin) = (String::new(), String::new());
            members.push(Member { name: name.clone(), relay, settings, data, process: None, callers, admin });
        }
        let mut cluster = Self { members, folder };
        for member in &mut cluster.members {
            member.start();
        }
        let ended = cluster.submit_until_final(0, 1, "", START_LIMIT);
        assert_eq!(ended.code, 0, "{ended:?}");
        cluster.expect_within(START_LIMIT, "every instance is ready", |cluster| {
            cluster.members.iter().all(Member::is_ready)
        });
        cluster
    }

    /// Writes a text with the service `catalogue` and more lines.
    pub fn text(&self, number: u64, more: &str) -> PathBuf {
        let path = self.folder.path().join(format!("text-{number}-{}.ini", more.len()));
        let text = format!("[change]\nnumber = {number}\n[service catalogue]\ndeadline = 4s\n{more}");
        std::fs::write(&path, text).expect("the text is written");
        path
    }

    /// Submits a text once.
    pub fn submit(&self, member: usize, number: u64, more: &str) -> Ended {
        let text = self.text(number, more);
        run(&["submit", "--to", &self.members[member].admin, &text.to_string_lossy()])
    }

    /// Submits a text until the answer is accepted or a conflict, as an operator would who got no answer.
    pub fn submit_until_final(&self, member: usize, number: u64, more: &str, limit: Duration) -> Ended {
        let end = Instant::now() + limit;
        loop {
            let ended = self.submit(member, number, more);
            if matches!(ended.code, 0 | 3) || Instant::now() > end {
                return ended;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until a condition holds, and fails when it does not within the limit.
    pub fn expect_within(&self, limit: Duration, what: &str, mut holds: impl FnMut(&Self) -> bool) -> Duration {
        let start = Instant::now();
        while !holds(self) {
            let states: Vec<_> = self.members.iter().map(Member::status).collect();
            assert!(start.elapsed() < limit, "not within {limit:?}: {what}; {states:?}");
            thread::sleep(Duration::from_millis(5));
        }
        start.elapsed()
    }

    /// Cuts one instance off from all others, in both directions.
    pub fn cut_off(&self, member: usize) {
        for (index, other) in self.members.iter().enumerate().filter(|(index, _)| *index != member) {
            other.relay.cut(&self.members[member].name);
            self.members[member].relay.cut(&self.members[index].name);
        }
    }

    /// Undoes `cut_off`.
    pub fn heal(&self, member: usize) {
        for (index, other) in self.members.iter().enumerate().filter(|(index, _)| *index != member) {
            other.relay.heal(&self.members[member].name);
            self.members[member].relay.heal(&self.members[index].name);
        }
    }

    /// Returns the index of the leader that a live instance names.
    pub fn leader(&self) -> usize {
        let named = self.members.iter().filter(|member| member.process.is_some()).find_map(|member| {
            let leader = member.status()["leader"].as_str()?.to_owned();
            self.members.iter().position(|member| member.name == leader)
        });
        named.expect("an instance names a leader")
    }

    /// Starts stand-in servers that announce themselves to every running instance in turn.
    pub fn servers(&self, more: &[&str]) -> Servers {
        let mut arguments = vec!["emulate"];
        for member in self.members.iter().filter(|member| member.process.is_some()) {
            arguments.extend(["--entry", &member.admin]);
        }
        arguments.extend(more);
        let servers = Servers::start(&arguments);
        let count = servers.addresses.len();
        self.expect_within(START_LIMIT, "every instance knows the servers", |cluster| {
            let running = cluster.members.iter().filter(|member| member.process.is_some());
            running.map(Member::status).all(|status| {
                let ready = |server: &&serde_json::Value| server["state"] == "ready";
                status["servers"].as_array().is_some_and(|servers| servers.iter().filter(ready).count() >= count)
            })
        });
        servers
    }
}
