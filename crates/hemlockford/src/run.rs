//! The command `run`.

use {
    crate::{command::RunArguments, exit::Exit, log::logger, stop::StopSignals, text::read},
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result},
    hemlockford_instance::{Instance, Settings},
    slog::{error, info},
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
        let instance = Instance::start(&settings)?;
        let addresses = instance.addresses();
        print_line(addresses)?;
        info!(log, "instance started";
            "id" => &*addresses.id, "callers" => %addresses.callers, "admin" => %addresses.admin);
        let stop = signals.wait().await;
        info!(log, "instance is stopping"; "signal" => ?stop);
        instance.stop();
        Ok(Exit::Ok)
    })
}

/// Prints a value as one line of JSON, by which a script learns the addresses.
pub(crate) fn print_line(value: &impl serde::Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(value).change_context(ErrorKind::InvalidInput)?);
    Ok(())
}
