//! An entry and stand-in servers within this process, on loopback.

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

/// Time for one request to the entry.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the submission: the group is formed and a leader elected first.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which the first call must be answered: the servers announce themselves at the start and
/// again after 800 ms.
const READY_LIMIT: Duration = Duration::from_secs(5);
/// Time between two looks at whether calls are answered.
const READY_CHECK: Duration = Duration::from_millis(20);

/// An entry and stand-in servers.
pub(crate) struct Local {
    instance: Instance,
    emulation: Emulation,
    /// Removed last, when nothing writes to it any more.
    _folder: DataFolder,
}

/// A data folder that is removed when it is dropped.
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
        // What is left behind is only a temporary folder.
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

impl Local {
    /// Starts the entry and the servers, submits the text and waits until a call is answered.
    pub(crate) async fn start(text: &str, options: EmulateOptions, log: &Logger) -> Result<Self> {
        let folder = DataFolder::create()?;
        let settings =
            Settings { data_folder: Some(folder.path.clone()), shutdown_notice: Duration::ZERO, ..Settings::default() };
        let instance = Instance::start(&settings, &log.new(o!("part" => "entry")))?;
        let admin = instance.addresses().admin;
        let service = options.service.clone();
        let options = EmulateOptions { entries: vec![admin], ..options };
        let emulation = Emulation::start(options, log.new(o!("part" => "servers")))?;
        let local = Self { instance, emulation, _folder: folder };
        let answer = client::post(admin, "/submit", text.into(), SUBMIT_TIMEOUT).await?;
        if answer.status != 200 {
            return Err(unavailable(format!("the text was not accepted: {}", answer.body)));
        }
        let end = Instant::now() + READY_LIMIT;
        let callers = local.addresses().callers;
        loop {
            let answer = client::get(callers, &format!("/{service}/ready"), REQUEST_TIMEOUT).await;
            match answer {
                Ok(answer) if answer.status == 200 => return Ok(local),
                Ok(_) | Err(_) if Instant::now() < end => actix_rt::time::sleep(READY_CHECK).await,
                Ok(answer) => return Err(unavailable(format!("no call is answered: {}", answer.body))),
                Err(report) => return Err(report),
            }
        }
    }

    /// Returns the addresses of the entry.
    pub(crate) fn addresses(&self) -> &Addresses {
        self.instance.addresses()
    }

    /// Returns the servers.
    pub(crate) fn emulation(&self) -> &Emulation {
        &self.emulation
    }

    /// Stops the entry and the servers.
    pub(crate) fn stop(self) {
        self.instance.stop();
    }
}
