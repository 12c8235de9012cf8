//! Settings of one instance.

mod fleet;
mod line_index;
mod parse;
mod peer;

pub use {
    fleet::{FleetRole, FleetSettings},
    peer::Peer,
};

use {
    hemlockford_core::{
        config::ConfigError,
        ids::{DataCentreId, InstanceId},
    },
    parse::Parser,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Time within which the platform's load balancer detects that an instance is not ready.
const DEFAULT_SHUTDOWN_NOTICE: Duration = Duration::from_secs(5);
/// Number of workers if none is configured.
const DEFAULT_WORKERS: usize = 2;
/// Maximum number of workers; more than the processor cores of any intended machine.
const MAX_WORKERS: usize = 64;

/// Settings of one instance, section `[instance]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data centre in which the instance runs.
    pub data_centre: DataCentreId,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Admin listener for servers, operators and the platform.
    pub admin: SocketAddr,
    /// Address for other instances, over UDP and TCP.
    pub listen: SocketAddr,
    /// Listener for calls that other entries pass on because they have lost the path to the servers. Without it, they
    /// pass none on to this entry.
    pub relay: Option<SocketAddr>,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Data folder. An instance that has one is a control replica.
    pub data_folder: Option<PathBuf>,
    /// Time between reporting as not ready and rejecting new calls on a planned stop.
    pub shutdown_notice: Duration,
    /// The other instances of the roster.
    pub peers: Vec<Peer>,
    /// Settings of the fleet, if the instance belongs to a fleet instead of a roster.
    pub fleet: Option<FleetSettings>,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            id: "entry".into(),
            data_centre: "local".into(),
            callers: any_port,
            admin: any_port,
            listen: any_port,
            relay: None,
            workers: DEFAULT_WORKERS,
            data_folder: None,
            shutdown_notice: DEFAULT_SHUTDOWN_NOTICE,
            peers: Vec::new(),
            fleet: None,
        }
    }
}

impl Settings {
    /// Parses settings; returns every error found, with its section and key.
    ///
    /// ```
    /// use hemlockford_instance::Settings;
    /// let settings = Settings::parse("[instance]\nid = e1\ncallers = 127.0.0.1:8080\n").unwrap();
    /// assert_eq!(settings.callers.port(), 8080);
    /// let errors = Settings::parse("[instance]\ncolour = red\nworkers = 0\n").unwrap_err();
    /// assert_eq!(errors.len(), 2);
    /// assert_eq!((errors[1].line, &*errors[1].key), (3, "workers"));
    /// ```
    pub fn parse(source: &str) -> Result<Self, Vec<ConfigError>> {
        Parser::new(source).parse()
    }
}
