//! Options of the stand-in servers.

use {
    super::{ServiceTime, behaviour::Behaviour, interface::ServerInterface},
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Options of the stand-in servers of one process.
#[derive(Clone, Debug)]
pub struct EmulateOptions {
    /// Service that the servers provide.
    pub service: Box<str>,
    /// Prefix of the server names, to which a number is appended.
    pub name_prefix: Box<str>,
    /// Data centre that the servers announce.
    pub data_centre: Box<str>,
    /// Number of servers.
    pub servers: usize,
    /// Number of calls that each server runs at a time.
    pub slots: u32,
    /// Maximum number of connections to each server; further ones are closed at once.
    pub max_connections: u32,
    /// Distribution of the time that a call takes.
    pub service_time: ServiceTime,
    /// Delay before the first request on a new connection is read.
    pub connect_time: Duration,
    /// Time for which `GET /probe` occupies a slot.
    pub probe_time: Duration,
    /// Duration of the cold start, during which calls are slower.
    pub cold_time: Duration,
    /// Factor of the service time at the start, which decreases to 1 over the cold time.
    pub cold_factor: f64,
    /// Length of an answer whose request does not specify one.
    pub answer_bytes: usize,
    /// Platform interface that the servers imitate.
    pub interface: ServerInterface,
    /// Initial behaviour.
    pub behaviour: Behaviour,
    /// Admin addresses of the entries. An announcement goes to one of them, and to the next one if it fails.
    pub entries: Vec<SocketAddr>,
    /// IP address to which the servers and the control listener bind.
    pub bind_address: IpAddr,
    /// Number of threads that run the servers.
    pub threads: usize,
    /// Seed of the random service times. It is printed, so that a run can be reproduced.
    pub seed: u64,
}

impl Default for EmulateOptions {
    fn default() -> Self {
        Self {
            service: "catalogue".into(),
            name_prefix: "catalogue".into(),
            data_centre: "local".into(),
            servers: 4,
            slots: 2,
            max_connections: 250,
            service_time: ServiceTime::Constant(Duration::from_millis(5)),
            connect_time: Duration::ZERO,
            probe_time: Duration::ZERO,
            cold_time: Duration::ZERO,
            cold_factor: 5.0,
            answer_bytes: 1_000,
            interface: ServerInterface::default(),
            behaviour: Behaviour::default(),
            entries: Vec::new(),
            bind_address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            threads: 1,
            seed: 1,
        }
    }
}
