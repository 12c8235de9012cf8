//! The command `run`.

use {
    crate::{
        command::RunArguments,
        exit::Exit,
        fleet,
        log::logger,
        stop::{Stop, StopSignals},
        text::read,
    },
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    hemlockford_instance::{Instance, Settings},
    slog::{error, info},
    std::path::Path,
};

pub(crate) fn run(arguments: &RunArguments) -> Result<Exit> {
    let log = logger(arguments.log);
    let settings = match Settings::parse(&read(&arguments.settings)?) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults {
                eprintln!("{fault}");
            }
            error!(log, "settings refused"; "faults" => faults.len());
            return Ok(Exit::Refused);
        }
    };
    actix_rt::System::new().block_on(async {
        let mut signals = StopSignals::install()?;
        if let Some(fleet) = &settings.fleet {
            let reload = || reload(&arguments.settings);
            return fleet::run(&settings, fleet, signals, reload, &log).await;
        }
        let mut instance = Instance::start(&settings, &log)?;
        let addresses = instance.addresses();
        print_line(addresses)?;
        info!(log, "instance started"; "id" => &*addresses.id, "callers" => %addresses.callers,
            "admin" => %addresses.admin, "listen" => %addresses.listen);
        tokio::select! {
            stop = signals.wait() => match stop {
                Stop::Graceful => instance.shut_down().await,
                Stop::AtOnce => instance.stop(),
            },
            // Nothing may be promised any more, so that nothing is finished either.
            failure = instance.wait_for_failure() => {
                error!(log, "instance failed"; "failure" => &*failure);
                return Err(unavailable(failure));
            }
        }
        info!(log, "instance stopped");
        Ok(Exit::Ok)
    })
}

/// Reads the settings again; `None` if they cannot be read now.
fn reload(path: &Path) -> Option<Settings> {
    Settings::parse(&std::fs::read_to_string(path).ok()?).ok()
}

/// Prints a value as one line of JSON, by which a script learns the addresses.
pub(crate) fn print_line(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(value).change_context(ErrorKind::InvalidInput)?);
    Ok(())
}
