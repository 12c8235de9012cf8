//! An entry and stand-in servers in this process, on loopback.

use {
    crate::client,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    hemlockford_instance::{Addresses, Instance, Settings},
    hemlockford_tools::{EmulateOptions, Emulation},
    slog::{Logger, o},
    std::{
        path::PathBuf,
        time::{Duration, Instant},
    },
};

/// Timeout of a call through the entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the submission, before which the group must form and elect a leader.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which the first call must succeed. The servers announce themselves at the start and again after 800 ms.
const READY_LIMIT: Duration = Duration::from_secs(5);
/// Interval between calls that check whether the entry is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An entry and stand-in servers.
pub(crate) struct LocalSystem {
    instance: Instance,
    emulation: Emulation,
    /// Dropped last, when the instance no longer writes to it.
    _data_folder: DataFolder,
}

/// A temporary data folder, which is removed on drop.
struct DataFolder {
    path: PathBuf,
}

impl DataFolder {
    fn create() -> Result<Self> {
        let path = std::env::temp_dir().join(format!("hemlockford-{}", std::process::id()));
        std::fs::create_dir(&path).change_context(ErrorKind::Io).attach_with(|| path.display().to_string())?;
        Ok(Self { path })
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        // Errors are ignored, because at worst a temporary folder is left behind.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

impl LocalSystem {
    /// Starts the entry and the servers, submits the configuration and waits until a call succeeds.
    pub(crate) async fn start(config: &str, options: EmulateOptions, log: &Logger) -> Result<Self> {
        let data_folder = DataFolder::create()?;
        let settings = Settings {
            data_folder: Some(data_folder.path.clone()),
            shutdown_notice: Duration::ZERO,
            ..Settings::default()
        };
        let instance = Instance::start(&settings, &log.new(o!("part" => "entry")))?;
        let admin = instance.addresses().admin;
        let service = options.service.clone();
        let options = EmulateOptions { entries: vec![admin], ..options };
        let emulation = Emulation::start(options, log.new(o!("part" => "servers")))?;
        let local_system = Self { instance, emulation, _data_folder: data_folder };
        let answer = client::post(admin, "/submit", config.into(), SUBMIT_TIMEOUT).await?;
        if answer.status != 200 {
            return Err(unavailable(format!("the configuration was not accepted: {}", answer.body)));
        }
        let end = Instant::now() + READY_LIMIT;
        let callers = local_system.addresses().callers;
        loop {
            let answer = client::get(callers, &format!("/{service}/ready"), REQUEST_TIMEOUT).await;
            match answer {
                Ok(answer) if answer.status == 200 => return Ok(local_system),
                Ok(_) | Err(_) if Instant::now() < end => actix_rt::time::sleep(READY_POLL_INTERVAL).await,
                Ok(answer) => return Err(unavailable(format!("no call succeeded in time: {}", answer.body))),
                Err(report) => return Err(report),
            }
        }
    }

    /// Returns the addresses of the entry.
    pub(crate) fn addresses(&self) -> &Addresses {
        self.instance.addresses()
    }

    /// Returns the stand-in servers.
    pub(crate) fn emulation(&self) -> &Emulation {
        &self.emulation
    }

    /// Stops the entry and the servers.
    pub(crate) fn stop(self) {
        self.instance.stop();
    }
}
