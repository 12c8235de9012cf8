//! One instance of a cluster.

use {
    crate::{peer_relay::PeerRelay, process::Process, system::get},
    serde_json::Value,
    std::path::PathBuf,
};

/// One instance of a cluster, running or not.
pub struct Member {
    pub name: String,
    pub relay: PeerRelay,
    pub settings: PathBuf,
    pub data: Option<PathBuf>,
    pub process: Option<Process>,
    pub callers: String,
    pub admin: String,
}

impl Member {
    /// Starts the process and waits until it has bound its addresses.
    pub fn start(&mut self) {
        let mut process = Process::start(&["run", "--settings", &self.settings.to_string_lossy()]);
        let ready = process.json();
        let address = |key: &str| ready[key].as_str().expect("an address").to_owned();
        self.callers = address("callers");
        self.admin = address("admin");
        self.relay.set_target(address("listen").parse().ok());
        self.process = Some(process);
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
        self.relay.set_target(None);
    }

    /// Removes the data folder of an instance that does not run.
    pub fn lose_disk(&self) {
        assert!(self.process.is_none(), "the instance runs");
        let data = self.data.as_ref().expect("the instance has a data folder");
        std::fs::remove_dir_all(data).expect("the folder is removed");
    }

    pub fn signal(&self, name: &str) {
        self.process.as_ref().expect("the instance runs").signal(name);
    }

    pub fn is_ready(&self) -> bool {
        get(&self.admin, "/ready").0 == 200
    }

    /// Returns the state that the instance reports; null where it does not answer.
    pub fn status(&self) -> Value {
        serde_json::from_str(&get(&self.admin, "/status").1).unwrap_or_default()
    }

    /// Returns the number of the change in force.
    pub fn number(&self) -> u64 {
        self.status()["number"].as_u64().unwrap_or_default()
    }
}
