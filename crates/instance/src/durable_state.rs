//! State of an instance that survives restarts.

use {
    crate::{clock::wall_clock_ns, settings::Settings},
    error_stack::ResultExt,
    hemlockford_core::{
        consensus::Recovered,
        errors::{ErrorKind, Result},
        ids::Incarnation,
    },
    hemlockford_store::{Store, StoreOptions},
    slog::{Logger, info, warn},
};

/// State of an instance that survives restarts. Without a data folder it is only a new incarnation.
pub(crate) struct DurableState {
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Option<Store>,
    pub(crate) recovered: Option<Recovered>,
    /// The saved directory of servers, or empty if none was saved.
    pub(crate) directory: Vec<u8>,
}

impl DurableState {
    pub(crate) fn open(settings: &Settings, log: &Logger) -> Result<Self> {
        let Some(folder) = &settings.data_folder else {
            return Ok(Self { incarnation: wall_clock_ns(), store: None, recovered: None, directory: Vec::new() });
        };
        std::fs::create_dir_all(folder)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot create the data folder {}", folder.display()))?;
        let opened = Store::open(folder, StoreOptions { wall_clock_ns: wall_clock_ns() })?;
        info!(log, "data folder opened"; "new" => opened.is_new, "entries" => opened.recovered.entries.len());
        if opened.truncated_bytes > 0 {
            warn!(log, "truncated an incomplete record at the end of the log"; "bytes" => opened.truncated_bytes);
        }
        Ok(Self {
            incarnation: opened.process_incarnation,
            store: Some(opened.store),
            recovered: Some(opened.recovered),
            directory: opened.directory,
        })
    }
}
