//! The command `emulate`.

use {
    crate::{
        command::EmulateArguments,
        exit::Exit,
        log::logger,
        run::print_json_line,
        signals::{SignalReceiver, StopMode},
    },
    hemlockford_core::errors::{Result, invalid_input},
    hemlockford_tools::{
        EmulateOptions, Emulation,
        emulate::{Behaviour, ServerInterface},
    },
    std::time::Duration,
};

/// Time limit, after the linger time, for finishing the calls in progress.
const FINISH_LIMIT: Duration = Duration::from_secs(10);

/// Runs stand-in servers. On SIGTERM they announce their departure, keep serving for the linger time and finish their
/// calls. The last line of output has the execution counts.
pub(crate) fn emulate(arguments: EmulateArguments) -> Result<Exit> {
    let log = logger(arguments.log);
    let mut behaviour = Behaviour::default();
    for mode in &arguments.mode {
        behaviour.apply(mode).map_err(|e| invalid_input(format!("--mode: {e}")))?;
    }
    let mut interface = ServerInterface::default();
    for query in &arguments.interface {
        interface.apply(query).map_err(|e| invalid_input(format!("--interface: {e}")))?;
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
        let mut signals = SignalReceiver::install()?;
        let emulation = Emulation::start(options, log)?;
        print_json_line(emulation.addresses())?;
        if signals.wait_for_stop().await == StopMode::Graceful {
            emulation.leave(linger, FINISH_LIMIT).await;
        }
        print_json_line(&emulation.executions())?;
        Ok(Exit::Ok)
    })
}
