//! Parser for settings in INI format that reports all errors at once.

use {
    super::{FleetRole, FleetSettings, MAX_WORKERS, Peer, Settings, line_index::LineIndex},
    hemlockford_core::{collections::FastMap, config::ConfigError, fleet::MAX_NAME_BYTES, units::parse_duration},
    ini::{Ini, Properties},
    std::{net::SocketAddr, str::FromStr, time::Duration},
};

/// Maximum number of lost data folders that a group can be required to tolerate.
const MAX_TOLERATED_LOSSES: usize = 4;

/// Maximum number of second copies per request.
const MAX_HEDGE_SHARE: f64 = 1.0;

/// Maximum duration that is accepted with a fraction. A point in time further in the future could not be represented on
/// every platform.
const MAX_FRACTIONAL_DURATION: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Parser of one settings file.
pub(super) struct Parser<'a> {
    source: &'a str,
    line_index: LineIndex<'a>,
    settings: Settings,
    /// Whether there is a section `[fleet]`. In this case the file was generated from the platform's template.
    is_fleet: bool,
    errors: Vec<ConfigError>,
}

impl<'a> Parser<'a> {
    pub(super) fn new(source: &'a str) -> Self {
        Self {
            source,
            line_index: LineIndex::new(source),
            settings: Settings::default(),
            is_fleet: false,
            errors: Vec::new(),
        }
    }

    pub(super) fn parse(mut self) -> Result<Settings, Vec<ConfigError>> {
        match Ini::load_from_str_noescape(self.source) {
            Ok(ini) => self.read(&ini),
            Err(e) => {
                let error = ConfigError { line: e.line, section: "".into(), key: "".into(), message: e.msg.into() };
                self.errors.push(error);
            }
        }
        if self.errors.is_empty() {
            return Ok(self.settings);
        }
        self.errors.sort_by_key(|error| error.line);
        Err(self.errors)
    }

    fn read(&mut self, ini: &Ini) {
        self.is_fleet = ini.section(Some("fleet")).is_some();
        for (section, properties) in ini.iter() {
            let Some(section) = section else {
                for (key, _) in properties.iter() {
                    self.error("", key, "key outside of any section");
                }
                continue;
            };
            match section.split_once(' ').map_or((section, ""), |(kind, name)| (kind, name.trim())) {
                ("instance", "") => self.read_instance(section, properties),
                ("peer", name) if !name.is_empty() => self.read_peer(section, name, properties),
                ("fleet", "") => self.read_fleet(section, properties),
                _ => self.error(section, "", "unknown section; expected [instance], [fleet] or [peer NAME]"),
            }
        }
        self.check_duplicates(ini);
        self.check_consistency();
    }

    fn read_instance(&mut self, section: &str, properties: &Properties) {
        for (key, value) in properties.iter() {
            match key {
                "data" | "workers" | "notice" | "relay" if self.is_fleet && value.is_empty() => {}
                "id" => self.name(section, key, value, |settings, id| settings.id = id),
                "data-centre" => self.name(section, key, value, |settings, id| settings.data_centre = id),
                "callers" => self.settings.callers = self.address(section, key, value, self.settings.callers),
                "admin" => self.settings.admin = self.address(section, key, value, self.settings.admin),
                "listen" => self.settings.listen = self.address(section, key, value, self.settings.listen),
                "relay" if !self.is_fleet => self.error(section, key, "only an entry of a fleet takes relayed calls"),
                "relay" => {
                    let any = SocketAddr::from(([0, 0, 0, 0], 0));
                    self.settings.relay = Some(self.address(section, key, value, any));
                }
                "workers" => match value.parse() {
                    Ok(workers) if (1..=MAX_WORKERS).contains(&workers) => self.settings.workers = workers,
                    Ok(_) | Err(_) => self.error(section, key, &format!("expected a number from 1 to {MAX_WORKERS}")),
                },
                "data" if value.is_empty() => self.error(section, key, "expected the path of a folder"),
                "data" => self.settings.data_folder = Some(value.into()),
                "notice" => self.settings.shutdown_notice = self.duration(section, key, value),
                _ => self.error(
                    section,
                    key,
                    "unknown key; expected id, data-centre, callers, admin, listen, relay, workers, data or notice",
                ),
            }
        }
    }

    fn read_fleet(&mut self, section: &str, properties: &Properties) {
        let mut fleet = FleetSettings::default();
        for (key, value) in properties.iter() {
            match (key, value) {
                // The platform's template leaves unknown values empty, which must not prevent the start.
                (_, "") if key != "role" => {}
                ("retry-window" | "quota-window" | "grace", "s") => {}
                ("role", "entry") => fleet.role = FleetRole::Entry,
                ("role", "replica") => fleet.role = FleetRole::Replica,
                ("role", _) => self.error(section, key, "expected entry or replica"),
                ("interface", _) => fleet.interface = Some(value.into()),
                ("seeds", _) => {
                    for seed in value.split(',').map(str::trim).filter(|seed| !seed.is_empty()) {
                        match seed.parse() {
                            Ok(seed) => fleet.seeds.push(seed),
                            Err(_) => self.error(section, key, "expected IP addresses with ports, separated by commas"),
                        }
                    }
                }
                ("data-centres", _) => {
                    let names = value.split(',').map(str::trim).filter(|name| !name.is_empty());
                    fleet.data_centres = names.map(Into::into).collect();
                }
                ("first-start", "true") => fleet.first_start = true,
                ("first-start", "false") => fleet.first_start = false,
                ("first-start", _) => self.error(section, key, "expected true or false"),
                ("tolerate", _) => match value.parse() {
                    Ok(tolerate) if tolerate <= MAX_TOLERATED_LOSSES => fleet.tolerated_losses = tolerate,
                    Ok(_) | Err(_) => {
                        self.error(section, key, &format!("expected a number from 0 to {MAX_TOLERATED_LOSSES}"));
                    }
                },
                ("retry-ratio", _) => fleet.retry_ratio = self.non_negative(section, key, value),
                ("retry-slack", _) => fleet.retry_slack = self.non_negative(section, key, value),
                ("retry-window", _) => fleet.retry_window = self.duration(section, key, value),
                ("quota-window", _) => fleet.quota_window = self.duration(section, key, value),
                ("quota-overage", _) => fleet.quota_overage = self.non_negative(section, key, value),
                ("quota-slack", _) => fleet.quota_slack = self.non_negative(section, key, value),
                ("warm-up-overage", _) => fleet.warm_up_overage = self.non_negative(section, key, value),
                ("warm-up-slack", _) => fleet.warm_up_slack = self.non_negative(section, key, value),
                ("hedge-share", _) => match value.parse() {
                    Ok(share) if (0.0..=MAX_HEDGE_SHARE).contains(&share) => fleet.hedge_share = share,
                    Ok(_) | Err(_) => self.error(section, key, "expected a number from 0 to 1"),
                },
                ("memory-mb", _) => fleet.memory_mb = self.positive_number(section, key, value),
                ("descriptors", _) => fleet.descriptors = self.positive_number(section, key, value),
                ("link-mbps", _) => {
                    fleet.link_mbps = Some(self.non_negative(section, key, value)).filter(|rate| *rate > 0.0);
                }
                ("grace", _) => fleet.grace_period = self.duration(section, key, value),
                // The platform generates the file and may use keys that this version does not know.
                _ => {}
            }
        }
        self.settings.fleet = Some(fleet);
    }

    fn read_peer(&mut self, section: &str, name: &str, properties: &Properties) {
        let mut peer = Peer { id: name.into(), address: SocketAddr::from(([0, 0, 0, 0], 0)), is_replica: false };
        let mut has_address = false;
        for (key, value) in properties.iter() {
            match (key, value) {
                ("address", _) => {
                    has_address = true;
                    peer.address = self.address(section, key, value, peer.address);
                    if peer.address.port() == 0 && SocketAddr::from_str(value).is_ok() {
                        self.error(section, key, "expected a port other than 0, because other instances connect to it");
                    }
                }
                ("replica", "yes") => peer.is_replica = true,
                ("replica", "no") => peer.is_replica = false,
                ("replica", _) => self.error(section, key, "expected yes or no"),
                _ => self.error(section, key, "unknown key; expected address or replica"),
            }
        }
        if !has_address {
            self.error(section, "address", "key is missing");
        }
        self.settings.peers.push(peer);
    }

    /// Checks constraints between several keys or sections.
    fn check_consistency(&mut self) {
        let is_replica = self.settings.fleet.as_ref().is_some_and(|fleet| fleet.role == FleetRole::Replica);
        if is_replica && self.settings.data_folder.is_none() {
            self.error("fleet", "role", "a replica requires the key data in [instance]");
        }
        if self.is_fleet && self.settings.listen.port() == 0 && !self.has_error("instance", "listen") {
            let message = "expected a port other than 0, because the address is the name of the instance in the fleet";
            self.error("instance", "listen", message);
        }
        let id = self.settings.id.clone();
        let mut by_address = FastMap::default();
        for peer in self.settings.peers.clone() {
            let section = format!("peer {}", peer.id);
            if peer.id == id {
                self.error(&section, "", "a peer must not have the name of this instance");
            }
            if peer.address.port() != 0
                && let Some(other) = by_address.insert(peer.address, peer.id.clone())
            {
                self.error(&section, "address", &format!("the same address is used by [peer {other}]"));
            }
        }
        let mut listeners =
            vec![("callers", self.settings.callers), ("admin", self.settings.admin), ("listen", self.settings.listen)];
        listeners.extend(self.settings.relay.map(|relay| ("relay", relay)));
        if self.settings.relay.is_some_and(|relay| relay.port() == 0) && !self.has_error("instance", "relay") {
            self.error("instance", "relay", "expected a port other than 0, because other entries connect to it");
        }
        for (index, (key, address)) in listeners.iter().enumerate() {
            if address.port() != 0
                && let Some((other, _)) = listeners[..index].iter().find(|(_, other)| other == address)
            {
                self.error("instance", key, &format!("the same address is used by the key {other}"));
            }
        }
    }

    fn check_duplicates(&mut self, ini: &Ini) {
        let mut sections = FastMap::<&str, usize>::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            let count = sections.entry(section).or_default();
            *count += 1;
            if *count == 2 && !section.is_empty() {
                self.error(section, "", "duplicate section");
            }
            let mut keys = FastMap::<&str, usize>::default();
            for (key, _) in properties.iter() {
                let count = keys.entry(key).or_default();
                *count += 1;
                if *count == 2 {
                    self.error(section, key, "duplicate key");
                }
            }
        }
    }

    fn name(&mut self, section: &str, key: &str, value: &str, set: impl FnOnce(&mut Settings, Box<str>)) {
        if value.is_empty() || value.contains(char::is_whitespace) {
            return self.error(section, key, "expected a name without spaces");
        }
        if value.len() > MAX_NAME_BYTES {
            let message = format!("the name has {} bytes; at most {MAX_NAME_BYTES} are permitted", value.len());
            return self.error(section, key, &message);
        }
        set(&mut self.settings, value.into());
    }

    fn duration(&mut self, section: &str, key: &str, value: &str) -> Duration {
        parse_duration(value).or_else(|| parse_seconds(value)).unwrap_or_else(|| {
            self.error(section, key, "expected a duration such as 5s");
            Duration::ZERO
        })
    }

    fn non_negative(&mut self, section: &str, key: &str, value: &str) -> f64 {
        let amount = value.parse().ok().filter(|amount: &f64| amount.is_finite() && *amount >= 0.0);
        amount.unwrap_or_else(|| {
            self.error(section, key, "expected a non-negative number");
            0.0
        })
    }

    /// Parses a number of at least 1; the platform may write it with a fraction.
    fn positive_number(&mut self, section: &str, key: &str, value: &str) -> Option<u64> {
        let number = self.non_negative(section, key, value);
        if number >= 1.0 {
            return Some(number as u64);
        }
        if !self.has_error(section, key) {
            self.error(section, key, "expected a number of at least 1");
        }
        None
    }

    fn address(&mut self, section: &str, key: &str, value: &str, default: SocketAddr) -> SocketAddr {
        value.parse().unwrap_or_else(|_| {
            self.error(section, key, "expected an IP address with a port, such as 127.0.0.1:8080");
            default
        })
    }

    fn has_error(&self, section: &str, key: &str) -> bool {
        self.errors.iter().any(|error| &*error.section == section && &*error.key == key)
    }

    fn error(&mut self, section: &str, key: &str, message: &str) {
        // A missing key is reported at the header of its section.
        let line = self.line_index.line(section, key);
        self.errors.push(ConfigError { line, section: section.into(), key: key.into(), message: message.into() });
    }
}

/// Parses seconds with a fraction, such as `0.25s`, which the platform may use.
fn parse_seconds(value: &str) -> Option<Duration> {
    let seconds: f64 = value.strip_suffix('s')?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().filter(|duration| *duration <= MAX_FRACTIONAL_DURATION)
}
