//! Options of stand-in servers.

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
    /// Service that they run.
    pub service: Box<str>,
    /// First part of their names; the number follows.
    pub name_prefix: Box<str>,
    /// Where they run.
    pub data_centre: Box<str>,
    /// Number of servers.
    pub servers: usize,
    /// Calls that each can run at a time.
    pub slots: u32,
    /// Connections that each accepts; others are closed at once.
    pub max_connections: u32,
    /// Time that one call takes.
    pub service_time: ServiceTime,
    /// Time that a new connection takes before its first request is read.
    pub connect_time: Duration,
    /// Time of a slot that `GET /probe` takes.
    pub probe_time: Duration,
    /// Time after the start during which calls are slower.
    pub cold_time: Duration,
    /// Factor of the service time at the start; it falls to 1 over the cold time.
    pub cold_factor: f64,
    /// Bytes of an answer whose request does not ask for a length.
    pub answer_bytes: usize,
    /// Interface that they imitate.
    pub interface: ServerInterface,
    /// Behaviour at the start.
    pub behaviour: Behaviour,
    /// Admin addresses of the entries; an announcement goes to one of them, and to the next on failure.
    pub entries: Vec<SocketAddr>,
    /// Address that the servers and the control listener bind to.
    pub bind_address: IpAddr,
    /// Threads that run the servers.
    pub threads: usize,
    /// Seed of the service times; printed, so that a run can be repeated.
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
