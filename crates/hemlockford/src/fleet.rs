//! FleetInstance an instance as an entry or a replica of a fleet.

use {
    crate::{
        exit::Exit,
        signals::{SignalReceiver, SignalRequest, StopMode},
    },
    actix_rt::time::sleep,
    hemlockford_core::{
        errors::{Result, invalid_input, unavailable},
        ids::DataCentreId,
    },
    hemlockford_instance::{FleetEntry, FleetReplica, FleetRole, FleetSettings, PlatformInterface, Settings},
    hemlockford_platform::{NAME, TazneInterface},
    slog::{Logger, error, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::select,
};

/// Interval at which the settings file is read again, because it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// A running instance.
enum FleetInstance {
    Entry(FleetEntry),
    Replica(FleetReplica),
}

impl FleetInstance {
    fn start(settings: &Settings, fleet: &FleetSettings, log: &Logger) -> Result<Self> {
        let interface: Arc<dyn PlatformInterface> = match fleet.interface.as_deref() {
            Some(NAME) => Arc::new(TazneInterface),
            Some(name) => return Err(invalid_input(format!("unknown interface '{name}' in the fleet settings"))),
            None => return Err(invalid_input("the fleet settings do not name an interface")),
        };
        Ok(match fleet.role {
            FleetRole::Entry => Self::Entry(FleetEntry::start(settings, fleet, interface, log)?),
            FleetRole::Replica => Self::Replica(FleetReplica::start(settings, fleet, interface, log)?),
        })
    }

    fn set_seeds(&self, seeds: &[SocketAddr]) {
        match self {
            Self::Entry(entry) => entry.set_seeds(seeds),
            Self::Replica(replica) => replica.set_seeds(seeds),
        }
    }

    /// Replaces the data centres for which a replica accepts orders.
    fn set_data_centres(&self, data_centres: &[DataCentreId]) {
        match self {
            Self::Entry(_) => {}
            Self::Replica(replica) => replica.set_data_centres(data_centres.to_vec()),
        }
    }

    async fn wait_for_failure(&mut self) -> Box<str> {
        match self {
            Self::Entry(entry) => entry.wait_for_failure().await,
            Self::Replica(replica) => replica.wait_for_failure().await,
        }
    }

    async fn shut_down(self) {
        match self {
            Self::Entry(entry) => entry.shut_down().await,
            Self::Replica(replica) => replica.shut_down().await,
        }
    }
}

/// Runs an instance until a signal stops it. `reload` reads the settings again, or returns what is wrong with them.
pub(crate) async fn run(
    settings: &Settings,
    fleet: &FleetSettings,
    mut signals: SignalReceiver,
    reload: impl Fn() -> std::result::Result<Settings, Box<str>>,
    log: &Logger,
) -> Result<Exit> {
    let mut instance = FleetInstance::start(settings, fleet, log)?;
    let (mut seeds, mut data_centres) = (fleet.seeds.clone(), fleet.data_centres.clone());
    let mut reload_error = None;
    loop {
        select! {
            request = signals.next_request() => match request {
                SignalRequest::Stop(StopMode::Graceful) => {
                    instance.shut_down().await;
                    break;
                }
                SignalRequest::Stop(StopMode::Immediate) => break,
                SignalRequest::Reload => {}
            },
            () = sleep(RELOAD_INTERVAL) => {}
            // After a failure the instance can guarantee nothing any more, so it stops without finishing its calls.
            failure = instance.wait_for_failure() => {
                error!(log, "instance failed"; "failure" => &*failure);
                return Err(unavailable(failure));
            }
        }
        let reloaded = reload();
        log_reload(log, &reloaded, &mut reload_error);
        // Only changes of the seeds and the data centres take effect here; for other settings the platform restarts the
        // process.
        let Some(fleet) = reloaded.ok().and_then(|settings| settings.fleet) else { continue };
        if fleet.seeds != seeds {
            info!(log, "seeds changed"; "count" => fleet.seeds.len());
            instance.set_seeds(&fleet.seeds);
            seeds = fleet.seeds;
        }
        if fleet.data_centres != data_centres {
            info!(log, "data centres changed"; "count" => fleet.data_centres.len());
            instance.set_data_centres(&fleet.data_centres);
            data_centres = fleet.data_centres;
        }
    }
    info!(log, "instance stopped");
    Ok(Exit::Ok)
}

/// Logs that settings cannot be reloaded, once for each error, and that they can be again.
fn log_reload(log: &Logger, reloaded: &std::result::Result<Settings, Box<str>>, last_error: &mut Option<Box<str>>) {
    let error = reloaded.as_ref().err();
    if last_error.as_ref() == error {
        return;
    }
    match error {
        Some(error) => warn!(log, "settings not reloaded, the previous ones stay in force"; "error" => &**error),
        None => info!(log, "settings can be reloaded again"),
    }
    *last_error = error.cloned();
}
