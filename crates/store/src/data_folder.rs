//! The data folder of the process.

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
        path::{Path, PathBuf},
    },
};

/// File whose lock keeps a second process out.
const LOCK: &str = "lock";

/// The data folder of the process, locked against a second process for as long as this value lives.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    appended: FastMap<Box<str>, File>,
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if need be and locks it.
    ///
    /// ```
    /// use hemlockford_store::DataFolder;
    /// let folder = tempfile::tempdir().unwrap();
    /// let held = DataFolder::open(folder.path()).unwrap();
    /// assert!(DataFolder::open(folder.path()).is_err());
    /// drop(held);
    /// assert!(DataFolder::open(folder.path()).is_ok());
    /// ```
    pub fn open(path: &Path) -> errors::Result<Self> {
        let failed = |what| format!("cannot {what} the data folder {}", path.display());
        fs::create_dir_all(path).change_context(ErrorKind::Io).attach_with(|| failed("create"))?;
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK));
        let lock = lock.change_context(ErrorKind::Io).attach_with(|| failed("open"))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.into(), appended: FastMap::default(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                Err(errors::unavailable(format!("another process uses the data folder {}", path.display())))
            }
            Err(TryLockError::Error(error)) => Err(error).change_context(ErrorKind::Io).attach_with(|| failed("lock")),
        }
    }

    fn handle(&mut self, file: &str) -> Result<&mut File> {
        if !self.appended.contains_key(file) {
            let opened = OpenOptions::new().append(true).open(self.path.join(file))?;
            self.appended.insert(file.into(), opened);
        }
        self.appended.get_mut(file).ok_or_else(|| IoErrorKind::NotFound.into())
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
        self.appended.remove(file);
        File::create(self.path.join(file))?.write_all(data)
    }

    fn append(&mut self, file: &str, data: &[u8]) -> Result<()> {
        self.handle(file)?.write_all(data)
    }

    fn truncate(&mut self, file: &str, len: u64) -> Result<()> {
        self.handle(file)?.set_len(len)
    }

    fn sync(&mut self, file: &str) -> Result<()> {
        self.handle(file)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.appended.remove(from);
        self.appended.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, file: &str) -> Result<()> {
        self.appended.remove(file);
        fs::remove_file(self.path.join(file))
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
