//! The command `run`.

use {
    crate::{
        check::read_file,
        command::RunArguments,
        exit::Exit,
        fleet,
        log::{close, logger, print_error},
        signals::{SignalReceiver, StopMode},
    },
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    hemlockford_instance::{Instance, Settings},
    slog::{Logger, error, info},
    std::path::Path,
};

pub(crate) fn run(arguments: &RunArguments) -> Result<Exit> {
    let log = logger(arguments.log);
    let result = run_instance(arguments, &log);
    close(log);
    result
}

fn run_instance(arguments: &RunArguments, log: &Logger) -> Result<Exit> {
    let system = actix_rt::System::new();
    // A signal that arrives before its handler is installed ends the process.
    let mut signals = system.block_on(async { SignalReceiver::install() })?;
    let settings = match Settings::parse(&read_file(&arguments.settings)?) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in &errors {
                print_error(error.to_string());
            }
            error!(log, "settings refused"; "faults" => errors.len());
            return Ok(Exit::Refused);
        }
    };
    system.block_on(async {
        if let Some(fleet) = &settings.fleet {
            let reload = || reload(&arguments.settings);
            return fleet::run(&settings, fleet, signals, reload, log).await;
        }
        let mut instance = Instance::start(&settings, log)?;
        let addresses = instance.addresses();
        print_json_line(addresses)?;
        info!(log, "instance started"; "id" => &*addresses.id, "callers" => %addresses.callers,
            "admin" => %addresses.admin, "listen" => %addresses.listen);
        tokio::select! {
            mode = signals.wait_for_stop() => match mode {
                StopMode::Graceful => instance.shut_down().await,
                StopMode::Immediate => instance.stop(),
            },
            // After a failure the instance can guarantee nothing any more, so it stops without finishing its calls.
            failure = instance.wait_for_failure() => {
                error!(log, "instance failed"; "failure" => &*failure);
                return Err(unavailable(failure));
            }
        }
        info!(log, "instance stopped");
        Ok(Exit::Ok)
    })
}

/// Reads the settings of a fleet's instance again. Returns what is wrong with them if they cannot be read or are invalid.
/// An empty file, as it is while it is being written, is valid for an instance without a fleet only.
fn reload(path: &Path) -> std::result::Result<Settings, Box<str>> {
    let source = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let settings = Settings::parse(&source).map_err(|errors| {
        let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
        errors.join("; ")
    })?;
    if settings.fleet.is_none() {
        return Err("there is no section [fleet]".into());
    }
    Ok(settings)
}

/// Prints a value as one line of JSON, from which scripts read addresses and results.
pub(crate) fn print_json_line(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(value).change_context(ErrorKind::InvalidInput)?);
    Ok(())
}
