//! Running an instance of a fleet.

use {
    crate::{
        exit::Exit,
        stop::{Request, Stop, StopSignals},
    },
    actix_rt::time::sleep,
    hemlockford_core::errors::{Result, invalid_input, unavailable},
    hemlockford_instance::{FleetEntry, FleetReplica, FleetRole, FleetSettings, PlatformInterface, Settings},
    hemlockford_platform::{NAME, TazneInterface},
    slog::{Logger, error, info},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::select,
};

/// Time between two looks at the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// A running instance.
enum Running {
    Entry(FleetEntry),
    Replica(FleetReplica),
}

impl Running {
    fn start(settings: &Settings, fleet: &FleetSettings, log: &Logger) -> Result<Self> {
        let interface: Rc<dyn PlatformInterface> = match fleet.interface.as_deref() {
            Some(NAME) => Rc::new(TazneInterface),
            Some(name) => return Err(invalid_input(format!("there is no interface named '{name}'"))),
            None => return Err(invalid_input("the settings of a fleet name no interface")),
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

/// Runs an instance until a signal stops it. `reload` reads the settings again.
pub(crate) async fn run(
    settings: &Settings,
    fleet: &FleetSettings,
    mut signals: StopSignals,
    reload: impl Fn() -> Option<Settings>,
    log: &Logger,
) -> Result<Exit> {
    let mut instance = Running::start(settings, fleet, log)?;
    let mut seeds = fleet.seeds.clone();
    loop {
        select! {
            request = signals.wait_request() => match request {
                Request::Stop(Stop::Graceful) => {
                    instance.shut_down().await;
                    break;
                }
                Request::Stop(Stop::AtOnce) => break,
                Request::Reload => {}
            },
            () = sleep(RELOAD_INTERVAL) => {}
            // Nothing may be promised any more, so that nothing is finished either.
            failure = instance.wait_for_failure() => {
                error!(log, "instance failed"; "failure" => &*failure);
                return Err(unavailable(failure));
            }
        }
        // Of changed settings only the seeds take effect; the platform restarts the process for the others.
        if let Some(new) = reload().and_then(|settings| settings.fleet).map(|fleet| fleet.seeds)
            && new != seeds
        {
            info!(log, "seeds changed"; "count" => new.len());
            instance.set_seeds(&new);
            seeds = new;
        }
    }
    info!(log, "instance stopped");
    Ok(Exit::Ok)
}
