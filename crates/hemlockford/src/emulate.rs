//! The command `emulate`.

use {
    crate::{
        command::EmulateArguments,
        exit::Exit,
        log::logger,
        run::print_line,
        stop::{Stop, StopSignals},
    },
    hemlockford_core::errors::{Result, invalid_input},
    hemlockford_tools::{
        EmulateOptions, Emulation,
        emulate::{Behaviour, ServerInterface},
    },
    std::time::Duration,
};

/// Time after the linger time within which calls in progress must end.
const FINISH_LIMIT: Duration = Duration::from_secs(10);

/// Runs stand-in servers. SIGTERM makes them announce that they leave, serve for the linger time and
/// finish their calls; the counts are the last line that is printed.
pub(crate) fn emulate(arguments: EmulateArguments) -> Result<Exit> {
    let log = logger(arguments.log);
    let mut behaviour = Behaviour::default();
    for mode in &arguments.mode {
        behaviour.apply(mode).map_err(|e| invalid_input(format!("--mode: {e}")))?;
    }
    let mut interface = ServerInterface::default();
    for abilities in &arguments.interface {
        interface.apply(abilities).map_err(|e| invalid_input(format!("--interface: {e}")))?;
    }
    let linger = arguments.linger;
    let options = EmulateOptions {
        name_prefix: arguments.prefix.unwrap_or_else(|| arguments.service.clone()).into(),
        service: arguments.service.into(),
        data_centre: arguments.data_centre.into(),
        servers: arguments.servers,
        slots: arguments.slots,
        max_connections: arguments.connections,
        service_time: arguments.service_time,
        connect_time: arguments.connect_time,
        probe_time: arguments.probe_time,
        cold_time: arguments.cold_time,
        cold_factor: arguments.cold_factor,
        answer_bytes: arguments.answer_bytes,
        interface,
        behaviour,
        entries: arguments.entry,
        bind_address: arguments.bind,
        threads: arguments.threads,
        seed: arguments.seed,
    };
    actix_rt::System::new().block_on(async {
        let mut signals = StopSignals::install()?;
        let emulation = Emulation::start(options, log)?;
        print_line(emulation.addresses())?;
        if signals.wait().await == Stop::Graceful {
            emulation.leave(linger, FINISH_LIMIT).await;
        }
        print_line(&emulation.executions())?;
        Ok(Exit::Ok)
    })
}
