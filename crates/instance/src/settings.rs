//! Settings of one instance.

use {
    hemlockford_core::{
        errors::{Result, invalid_input},
        ids::{DataCentreId, InstanceId},
        units::parse_duration,
    },
    ini::{Ini, Properties},
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

const DEFAULT_NOTICE: Duration = Duration::from_secs(5);
const DEFAULT_WORKERS: usize = 2;
const MAX_WORKERS: usize = 64;

/// Another instance of the system, section `[peer NAME]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub id: InstanceId,
    /// Where it listens for other instances, over UDP and TCP.
    pub address: SocketAddr,
    /// Whether it is a control replica.
    pub replica: bool,
}

/// Settings of one instance, section `[instance]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of this instance.
    pub id: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// Where it listens for servers, operators and the platform.
    pub admin: SocketAddr,
    /// Where it listens for other instances, over UDP and TCP.
    pub listen: SocketAddr,
    /// Threads that serve callers.
    pub workers: usize,
    /// Folder of durable state; an instance that has one is a control replica.
    pub data: Option<PathBuf>,
    /// Time between losing readiness and refusing new calls on a planned stop.
    pub notice: Duration,
    /// The other instances.
    pub peers: Vec<Peer>,
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
            workers: DEFAULT_WORKERS,
            data: None,
            notice: DEFAULT_NOTICE,
            peers: Vec::new(),
        }
    }
}

impl Settings {
    /// Parses settings; the report names the section and key that is wrong.
    ///
    /// ```
    /// use hemlockford_instance::Settings;
    /// let settings = Settings::parse("[instance]\nid = e1\ncallers = 127.0.0.1:8080\n").unwrap();
    /// assert_eq!(settings.callers.port(), 8080);
    /// assert!(Settings::parse("[instance]\ncolour = red\n").is_err());
    /// ```
    pub fn parse(source: &str) -> Result<Self> {
        let ini = Ini::load_from_str_noescape(source).map_err(|e| invalid_input(e.to_string()))?;
        let mut settings = Self::default();
        for (section, properties) in ini.iter() {
            match section.map(|section| section.split_once(' ').unwrap_or((section, ""))) {
                Some(("instance", "")) => settings.read_instance(properties)?,
                Some(("peer", name)) if !name.is_empty() => settings.peers.push(read_peer(name, properties)?),
                Some((section, _)) => return Err(invalid_input(format!("unknown section [{section}]"))),
                None if properties.is_empty() => {}
                None => return Err(invalid_input("key outside of any section")),
            }
        }
        if settings.peers.iter().any(|peer| peer.id == settings.id) {
            return Err(invalid_input(format!("[peer {}] has the name of this instance", settings.id)));
        }
        Ok(settings)
    }

    fn read_instance(&mut self, properties: &Properties) -> Result<()> {
        for (key, value) in properties.iter() {
            let place = ("instance", key);
            match key {
                "id" => self.id = value.into(),
                "data-centre" => self.data_centre = value.into(),
                "callers" => self.callers = expect(place, value.parse().ok(), "an address such as 127.0.0.1:8080")?,
                "admin" => self.admin = expect(place, value.parse().ok(), "an address such as 127.0.0.1:8081")?,
                "listen" => self.listen = expect(place, value.parse().ok(), "an address such as 127.0.0.1:8082")?,
                "workers" => {
                    let workers = value.parse().ok().filter(|workers| (1..=MAX_WORKERS).contains(workers));
                    self.workers = expect(place, workers, "a number from 1 to 64")?;
                }
                "data" => self.data = Some(value.into()),
                "notice" => self.notice = expect(place, parse_duration(value), "a duration such as 5s")?,
                _ => return Err(invalid_input(format!("[instance] {key}: unknown key"))),
            }
        }
        Ok(())
    }
}

fn read_peer(name: &str, properties: &Properties) -> Result<Peer> {
    let mut address = None;
    let mut replica = false;
    for (key, value) in properties.iter() {
        let place = ("peer", key);
        match key {
            "address" => address = Some(expect(place, value.parse().ok(), "an address such as 10.0.0.2:8082")?),
            "replica" => replica = expect(place, parse_bool(value), "yes or no")?,
            _ => return Err(invalid_input(format!("[peer {name}] {key}: unknown key"))),
        }
    }
    let address = address.ok_or_else(|| invalid_input(format!("[peer {name}] address: missing")))?;
    Ok(Peer { id: name.trim().into(), address, replica })
}

fn parse_bool(value: &str) -> Option<bool> {
    match value {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn expect<T>(place: (&str, &str), value: Option<T>, expected: &str) -> Result<T> {
    value.ok_or_else(|| invalid_input(format!("[{}] {}: expected {expected}", place.0, place.1)))
}
