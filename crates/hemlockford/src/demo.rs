//! The command `demo`.

use {
    crate::{command::DemoArguments, exit::Exit, local_system::LocalSystem, log::logger, signals::SignalReceiver},
    hemlockford_core::errors::Result,
    hemlockford_tools::EmulateOptions,
    std::time::Duration,
};

/// Configuration of the demonstration.
const CONFIG: &str = "\
[change]
number = 1

[customer kovar]
weight = 3

[service catalogue]
deadline = 2s
share.kovar = 3
";

/// Runs an entry and stand-in servers in one process and prints example calls.
pub(crate) fn demo(arguments: &DemoArguments) -> Result<Exit> {
    let log = logger(arguments.log);
    actix_rt::System::new().block_on(async {
        let mut signals = SignalReceiver::install()?;
        let options = EmulateOptions { servers: arguments.servers, answer_bytes: 0, ..EmulateOptions::default() };
        let local_system = LocalSystem::start(CONFIG, options, &log).await?;
        let addresses = local_system.addresses();
        let control = local_system.emulation().addresses().control;
        let server = &local_system.emulation().addresses().servers[0].server;
        println!("An entry and {} servers are running. Try:", arguments.servers);
        println!("  curl -i http://{}/catalogue/hello", addresses.callers);
        println!("Make a server slow, and look at what ran:");
        println!("  curl -X POST 'http://{control}/control/{server}?mode=straggler&factor=100'");
        println!("  curl http://{control}/executions");
        println!("Admin listener: http://{}", addresses.admin);
        match arguments.time {
            Some(time) => {
                drop(actix_rt::time::timeout(time.max(Duration::from_millis(1)), signals.wait_for_stop()).await)
            }
            None => {
                signals.wait_for_stop().await;
            }
        }
        local_system.stop();
        Ok(Exit::Ok)
    })
}
