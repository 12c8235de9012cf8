//! An instance of the test cluster.

use {
    crate::{peer_relay::PeerRelay, process::Process, system::get},
    serde_json::Value,
    std::path::PathBuf,
};

/// An instance of the test cluster, which may be running or not.
pub struct Member {
    pub name: String,
    pub relay: PeerRelay,
    pub settings_path: PathBuf,
    pub data_folder: Option<PathBuf>,
    pub process: Option<Process>,
    pub caller_address: String,
    pub admin_address: String,
}

impl Member {
    /// Starts the process and waits until it has bound its addresses.
    pub fn start(&mut self) {
        let mut process = Process::start(&["run", "--settings", &self.settings_path.to_string_lossy()]);
        let ready = process.read_json_line();
        let address = |key: &str| ready[key].as_str().expect("an address").to_owned();
        self.caller_address = address("callers");
        self.admin_address = address("admin");
        self.relay.set_target(address("listen").parse().ok());
        self.process = Some(process);
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
        self.relay.set_target(None);
    }

    /// Removes the data folder of an instance that is not running.
    pub fn remove_data_folder(&self) {
        assert!(self.process.is_none(), "the instance is still running");
        let data_folder = self.data_folder.as_ref().expect("the instance has a data folder");
        std::fs::remove_dir_all(data_folder).expect("the folder is removed");
    }

    pub fn signal(&self, name: &str) {
        self.process.as_ref().expect("the instance is running").signal(name);
    }

    pub fn is_ready(&self) -> bool {
        get(&self.admin_address, "/ready").0 == 200
    }

    /// Returns the status that the instance reports, or null if it does not answer.
    pub fn status(&self) -> Value {
        serde_json::from_str(&get(&self.admin_address, "/status").1).unwrap_or_default()
    }

    /// Returns the number of the change that the instance applies.
    pub fn change_number(&self) -> u64 {
        self.status()["number"].as_u64().unwrap_or_default()
    }
}
