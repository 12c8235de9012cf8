//! What an instance has kept from earlier starts.

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

/// What an instance has kept from earlier starts; without a data folder only a new incarnation.
pub(crate) struct DurableState {
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Option<Store>,
    pub(crate) recovered: Option<Recovered>,
    /// The saved directory of servers; empty for none.
    pub(crate) directory: Vec<u8>,
}

impl DurableState {
    pub(crate) fn open(settings: &Settings, log: &Logger) -> Result<Self> {
        let Some(folder) = &settings.data_folder else {
            return Ok(Self { incarnation: wall_clock_ns(), store: None, recovered: None, directory: Vec::new() });
        };
        std::fs::create_dir_all(folder)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("cannot create {}", folder.display()))?;
        let opened = Store::open(folder, StoreOptions { wall_clock_ns: wall_clock_ns() })?;
        info!(log, "data folder opened"; "new" => opened.is_new, "entries" => opened.recovered.entries.len());
        if opened.truncated_bytes > 0 {
            warn!(log, "a torn tail of the log was cut off"; "bytes" => opened.truncated_bytes);
        }
        Ok(Self {
            incarnation: opened.process_incarnation,
            store: Some(opened.store),
            recovered: Some(opened.recovered),
            directory: opened.directory,
        })
    }
}
