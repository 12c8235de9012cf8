//! The data folder in the file system.

use {
    crate::Disk,
    error_stack::ResultExt,
    hemlockford_core::{
        collections::FastMap,
        errors::{self, ErrorKind},
    },
    std::{
        fs::{self, File, OpenOptions, TryLockError},
        io::{ErrorKind as IoErrorKind, Read, Result, Write},
        os::unix::fs::{OpenOptionsExt, PermissionsExt},
        path::{Path, PathBuf},
    },
};

/// File that is locked to keep a second process from using the folder.
const LOCK_FILE: &str = "lock";
/// Mode of all files: the log and the snapshot contain API keys of customers.
const FILE_MODE: u32 = 0o600;

/// The data folder in the file system, locked against other processes while this value exists.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    append_handles: FastMap<Box<str>, File>,
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// ```
    /// use hemlockford_store::DataFolder;
    /// let folder = tempfile::tempdir().unwrap();
    /// let locked = DataFolder::open(folder.path()).unwrap();
    /// assert!(DataFolder::open(folder.path()).is_err());
    /// drop(locked);
    /// assert!(DataFolder::open(folder.path()).is_ok());
    /// ```
    pub fn open(path: &Path) -> errors::Result<Self> {
        let message = |operation| format!("cannot {operation} the data folder {}", path.display());
        fs::create_dir_all(path).change_context(ErrorKind::Io).attach_with(|| message("create"))?;
        let lock = OpenOptions::new().create(true).append(true).mode(FILE_MODE).open(path.join(LOCK_FILE));
        let lock = lock.change_context(ErrorKind::Io).attach_with(|| message("open"))?;
        match lock.try_lock() {
            Ok(()) => {
                restrict_files(path).change_context(ErrorKind::Io).attach_with(|| message("set the modes in"))?;
                Ok(Self { path: path.into(), append_handles: FastMap::default(), _lock: lock })
            }
            Err(TryLockError::WouldBlock) => {
                Err(errors::unavailable(format!("the data folder {} is in use by another process", path.display())))
            }
            Err(TryLockError::Error(error)) => Err(error).change_context(ErrorKind::Io).attach_with(|| message("lock")),
        }
    }

    fn append_handle(&mut self, file: &str) -> Result<&mut File> {
        if !self.append_handles.contains_key(file) {
            let opened = OpenOptions::new().append(true).open(self.path.join(file))?;
            self.append_handles.insert(file.into(), opened);
        }
        self.append_handles.get_mut(file).ok_or_else(|| IoErrorKind::NotFound.into())
    }
}

impl Disk for DataFolder {
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>> {
        let mut data = Vec::new();
        match File::open(self.path.join(file)) {
            Ok(mut opened) => opened.read_to_end(&mut data).map(|_| Some(data)),
            Err(error) if error.kind() == IoErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.append_handles.remove(file);
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true).mode(FILE_MODE);
        options.open(self.path.join(file))?.write_all(data)
    }

    fn append(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.append_handle(file)?.write_all(data)
    }

    fn truncate(&mut self, file: &str, len: u64) -> Result<()> {
        self.append_handle(file)?.set_len(len)
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        self.append_handle(file)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.append_handles.remove(from);
        self.append_handles.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.append_handles.remove(file);
        fs::remove_file(self.path.join(file))
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Sets the mode of the files that are there. Former versions created files that all users could read.
fn restrict_files(folder: &Path) -> Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let metadata = entry.metadata()?;
        if !metadata.is_file() || metadata.permissions().mode() & 0o777 == FILE_MODE {
            continue;
        }
        match fs::set_permissions(entry.path(), fs::Permissions::from_mode(FILE_MODE)) {
            // A file of another user is not one of the store.
            Err(error) if error.kind() == IoErrorKind::PermissionDenied => {}
            result => result?,
        }
    }
    Ok(())
}
