//! One process of the binary.

use {
    serde_json::Value,
    std::{
        fs::OpenOptions,
        io::{BufRead, BufReader, Read},
        path::{Path, PathBuf},
        process::{Child, ChildStdout, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Time within which a process must end after it was asked to.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// Returns the path of the binary. Cargo states it to tests only; examples are built next to it.
fn binary() -> PathBuf {
    match option_env!("CARGO_BIN_EXE_hemlockford") {
        Some(path) => path.into(),
        None => {
            let example = std::env::current_exe().expect("the path of this program");
            let folder = example.parent().and_then(|examples| examples.parent()).expect("the folder of the binary");
            folder.join("hemlockford")
        }
    }
}

/// A running process, killed by its id when dropped.
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
}

/// Result of a process that ended.
#[derive(Debug)]
pub struct Ended {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Process {
    /// Starts the binary.
    pub fn start(arguments: &[&str]) -> Self {
        Self::start_with(arguments, Stdio::null())
    }

    /// Starts the binary and adds its log to a file.
    pub fn start_logged(arguments: &[&str], log: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(log).expect("the log can be written");
        Self::start_with(arguments, file.into())
    }

    fn start_with(arguments: &[&str], log: Stdio) -> Self {
        let mut child = Command::new(binary())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the binary starts");
        let stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        Self { child, stdout }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the next line; empty at the end of the output.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("the output is text");
        line
    }

    /// Reads the next line as JSON, such as the line that says where a process listens.
    pub fn json(&mut self) -> Value {
        let line = self.line();
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e} in '{line}'"))
    }

    /// Returns whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process can be waited for").is_none()
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(status.success(), "signal {name} to {id}");
    }

    /// Kills the process as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end and returns the exit code and the rest of the output.
    pub fn wait(&mut self) -> (i32, String) {
        let end = Instant::now() + EXIT_LIMIT;
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                break status;
            }
            assert!(Instant::now() < end, "the process did not end");
            thread::sleep(Duration::from_millis(10));
        };
        let mut rest = String::new();
        self.stdout.read_to_string(&mut rest).expect("the output is text");
        (status.code().unwrap_or(-1), rest)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the binary to its end.
pub fn run(arguments: &[&str]) -> Ended {
    let output = Command::new(binary()).args(arguments).stdin(Stdio::null()).output().expect("the binary starts");
    Ended {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into(),
        stderr: String::from_utf8_lossy(&output.stderr).into(),
    }
}
