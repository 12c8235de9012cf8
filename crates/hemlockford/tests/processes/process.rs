//! Running the hemlockford binary as a process.

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

/// Time within which a process must exit after it was asked to.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

/// Returns the path of the binary. Cargo passes it only to tests; examples find it in the folder above their own.
fn binary_path() -> PathBuf {
    match option_env!("CARGO_BIN_EXE_hemlockford") {
        Some(path) => path.into(),
        None => {
            let example = std::env::current_exe().expect("the path of this program");
            let folder =
                example.parent().and_then(|examples| examples.parent()).expect("the folder that contains the binary");
            folder.join("hemlockford")
        }
    }
}

/// A child process, which is killed on drop.
pub struct Process {
    child: Child,
    stdout: BufReader<ChildStdout>,
}

/// Exit code and output of a process.
#[derive(Debug)]
pub struct ProcessOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Process {
    /// Starts the binary and discards its log.
    pub fn start(arguments: &[&str]) -> Self {
        Self::start_with_stderr(arguments, Stdio::null())
    }

    /// Starts the binary and appends its log to a file.
    pub fn start_logged(arguments: &[&str], log_path: &Path) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(log_path).expect("the log file can be opened");
        Self::start_with_stderr(arguments, file.into())
    }

    /// Starts the binary with another destination of its log.
    pub fn start_with_stderr(arguments: &[&str], stderr: Stdio) -> Self {
        let mut child = Command::new(binary_path())
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .spawn()
            .expect("the binary can be started");
        let stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        Self { child, stdout }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the next line of output, which is empty at the end of the output.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("the output is UTF-8");
        line
    }

    /// Reads the next line of output as JSON, such as the line with the addresses that the process listens on.
    pub fn read_json_line(&mut self) -> Value {
        let line = self.read_line();
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("output line '{line}' is not JSON: {e}"))
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the process can be waited for").is_none()
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill can be started");
        assert!(status.success(), "sending signal {name} to process {id} failed");
    }

    /// Kills the process with SIGKILL, which simulates a crash.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit and returns the exit code and the rest of the output.
    pub fn wait_for_exit(&mut self) -> (i32, String) {
        let end = Instant::now() + EXIT_LIMIT;
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                break status;
            }
            assert!(Instant::now() < end, "the process did not exit within {EXIT_LIMIT:?}");
            thread::sleep(Duration::from_millis(10));
        };
        let mut output = String::new();
        self.stdout.read_to_string(&mut output).expect("the output is UTF-8");
        (status.code().unwrap_or(-1), output)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs the binary until it exits.
pub fn run(arguments: &[&str]) -> ProcessOutput {
    let output =
        Command::new(binary_path()).args(arguments).stdin(Stdio::null()).output().expect("the binary can be started");
    ProcessOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into(),
        stderr: String::from_utf8_lossy(&output.stderr).into(),
    }
}
