//! Processes whose log nobody reads.

use {
    crate::{process::Process, system::TestEntry},
    std::{
        io::{PipeWriter, Read, Write, pipe},
        net::TcpStream,
        time::{Duration, Instant},
    },
};

/// Capacity of a pipe on Linux.
const PIPE_BYTES: usize = 64 * 1_024;
/// Time within which a process ends after a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(6);

/// Starts an instance that logs to a pipe, checks that it answers, and stops it.
fn run_with_log(log: PipeWriter, drop_reader: impl FnOnce()) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let settings = folder.path().join("entry.ini");
    let source = format!("[instance]\nid = e1\nnotice = 200ms\ndata = {}\n", folder.path().join("data").display());
    std::fs::write(&settings, source).expect("the settings are written");
    let mut process = Process::start_with_stderr(&["run", "--settings", &settings.to_string_lossy()], log.into());
    let admin = process.read_json_line()["admin"].as_str().expect("an address").to_owned();
    drop_reader();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(&admin).expect("a connection");
        write!(stream, "GET /live HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").expect("a request");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let start = Instant::now();
    process.signal("TERM");
    assert_eq!(process.wait_for_exit().0, 0);
    assert!(start.elapsed() < STOP_LIMIT, "stopped after {:?}", start.elapsed());
}

/// Guards against a process that does not end after SIGTERM because it waits for its log to be written.
#[test]
fn a_log_that_nobody_reads_does_not_hold_up_the_stop() {
    let (_reader, mut writer) = pipe().expect("a pipe");
    writer.write_all(&[b'x'; PIPE_BYTES]).expect("a full pipe");
    run_with_log(writer, || ());
}

/// Guards against a process that ends because the reader of its log has ended.
#[test]
fn a_log_whose_reader_has_ended_does_not_end_the_process() {
    let (reader, writer) = pipe().expect("a pipe");
    run_with_log(writer, || drop(reader));
}

/// Guards against processes of several versions that cannot be told apart during an upgrade.
#[test]
fn the_version_is_a_metric() {
    let entry = TestEntry::start();
    let version = env!("CARGO_PKG_VERSION");
    let name = format!("hemlockford_build_info{{commands=\"1\",messages=\"1\",version=\"{version}\"}}");
    assert_eq!(entry.metric(&name), 1.0);
}
