//! Exit codes and output of the commands.

use {
    crate::{process::run, system::TestEntry},
    std::{
        io::{Read, Write},
        net::TcpListener,
        thread,
    },
};

/// Starts a server that sends the same response on every connection, or none if the status is empty. Returns its address.
fn serve_response(status: &'static str, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buf = [0; 65_536];
            let _ = stream.read(&mut buf);
            if !status.is_empty() {
                let length = body.len();
                let _ =
                    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
            }
        }
    });
    address
}

/// Guards against `check` accepting an invalid configuration, and against reporting only its first error.
#[test]
fn check_reports_every_error() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("text.ini");
    let path = path.to_str().expect("a path");
    std::fs::write(path, "[change]\nnumber = 1\n[service stock]\n").expect("a file");
    assert_eq!(run(&["check", path]).code, 0);
    std::fs::write(path, "[change]\nnumber = 0\n[service stock]\nqueue = 0\ncolour = red\n").expect("a file");
    let output = run(&["check", path]);
    assert_eq!(output.code, 2);
    for key in ["number", "queue", "colour"] {
        assert!(output.stdout.contains(key), "{key} is missing in {}", output.stdout);
    }
    assert_eq!(run(&["check", "/nonexistent/text.ini"]).code, 1);
}

/// Guards against an exit code of `submit` that contradicts the answer of the instance.
#[test]
fn submit_maps_answers_to_exit_codes() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("text.ini");
    let path = path.to_str().expect("a path");
    std::fs::write(path, "[change]\nnumber = 1\n").expect("a file");
    for (status, code) in [
        ("200 OK", 0),
        ("422 Unprocessable Entity", 2),
        ("409 Conflict", 3),
        ("503 Service Unavailable", 2),
        ("504 Gateway Timeout", 4),
        ("", 4),
    ] {
        let to = serve_response(status, "said\n");
        let output = run(&["submit", "--to", &to, path]);
        assert_eq!(output.code, code, "{status}: {output:?}");
    }
    // The result stays unknown if one instance gives no answer and another one is unavailable.
    let (silent, unavailable) = (serve_response("", ""), serve_response("503 Service Unavailable", "no\n"));
    assert_eq!(run(&["submit", "--to", &silent, "--to", &unavailable, path]).code, 4);
    let accepting = serve_response("200 OK", "accepted 1\n");
    assert_eq!(run(&["submit", "--to", &silent, "--to", &accepting, path]).code, 0);
    assert_eq!(run(&["submit", path]).code, 1);
}

/// Guards against a cut answer that is printed as a whole one.
#[test]
fn a_cut_answer_is_none() {
    for (head, code) in [("content-length: 2", 0), ("content-length: 200", 1), ("x-length: 2", 1)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let from = listener.local_addr().expect("an address").to_string();
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let _ = stream.read(&mut [0; 65_536]);
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{head}\r\nconnection: close\r\n\r\n{{}}");
        });
        let output = run(&["status", "--from", &from]);
        assert_eq!(output.code, code, "{head}: {output:?}");
    }
}

/// Guards against an entry that accepts an invalid configuration.
#[test]
fn an_entry_refuses_an_invalid_configuration() {
    let entry = TestEntry::start();
    let config_path = entry.write_file("bad.ini", "[change]\nnumber = 2\n[service stock]\nqueue = 0\n");
    let output = run(&["submit", "--to", &entry.admin_address, &config_path.to_string_lossy()]);
    assert_eq!(output.code, 2, "{output:?}");
    assert!(output.stdout.contains("queue"), "{output:?}");
}

/// Guards against an instance that starts with invalid settings, and against reporting only one of their errors.
#[test]
fn invalid_settings_are_refused_with_every_error() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("entry.ini");
    std::fs::write(&path, "[instance]\nworkers = 0\ncallers = nowhere\n[peer e2]\nreplica = perhaps\n")
        .expect("a file");
    let output = run(&["run", "--settings", &path.to_string_lossy()]);
    assert_eq!(output.code, 2, "{output:?}");
    for place in ["[instance] workers", "[instance] callers", "[peer e2] replica", "[peer e2] address"] {
        assert!(output.stderr.contains(place), "{place} is missing in {}", output.stderr);
    }
}

/// Guards against usage errors that have the exit code of a refusal, and against help that fails.
#[test]
fn usage_errors_fail_and_help_succeeds() {
    for arguments in [&["nosuch"][..], &[], &["run"], &["load"], &["bench"], &["load", "--rate", "fast"], &["status"]] {
        assert_eq!(run(arguments).code, 1, "{arguments:?}");
    }
    let commands = ["run", "check", "submit", "status", "report", "demo", "emulate", "load", "bench"];
    for command in commands {
        let output = run(&[command, "--help"]);
        assert_eq!(output.code, 0, "{output:?}");
        assert!(output.stdout.contains("Exit codes"), "{output:?}");
    }
}

/// Guards against a status that omits instances that do not answer.
#[test]
fn status_prints_tables_and_lists_silent_instances() {
    let body = r#"{"instance":"e1","ready":true,"servers":[{"id":"c-0","state":"ready","lease_ms":900}]}"#;
    let answering = serve_response("200 OK", body);
    let output = run(&["status", "--from", &answering]);
    assert_eq!(output.code, 0, "{output:?}");
    assert!(output.stdout.contains("instance: e1") && output.stdout.contains("c-0  ready  900"), "{}", output.stdout);
    let silent = serve_response("", "");
    let output = run(&["status", "--json", "--from", &answering, "--from", &silent]);
    assert_eq!(output.code, 1, "{output:?}");
    let all: serde_json::Value = serde_json::from_str(&output.stdout).expect("JSON");
    assert_eq!(all[&answering]["instance"], "e1");
    assert!(all[&silent]["error"].is_string(), "{all}");
}

/// Guards against a report that covers only one instance, and against one that succeeds when an instance does not answer.
#[test]
fn report_adds_up_the_calls_of_every_instance() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "2", "--service-time", "1ms"]);
    let (output, summary) = entry.run_load(&servers, &["--rate", "50", "--time", "1s", "--customer", "kovar=50"]);
    assert_eq!(output.code, 0, "{summary}");
    let report = |from: &[&str]| {
        let mut arguments = vec!["report", "--json"];
        arguments.extend(from.iter().flat_map(|from| ["--from", from]));
        let output = run(&arguments);
        (output.code, serde_json::from_str::<serde_json::Value>(&output.stdout).expect("JSON"))
    };
    let total = |report: &serde_json::Value| report["services"][0]["windows"][0]["total"].as_u64().expect("a count");
    let (code, once) = report(&[&entry.admin_address]);
    assert!(code == 0 && total(&once) >= 50, "{once}");
    assert_eq!(once["services"][0]["service"], "catalogue", "{once}");
    let (code, twice) = report(&[&entry.admin_address, &entry.admin_address]);
    assert!(code == 0 && total(&twice) == 2 * total(&once), "{twice}");
    let silent = serve_response("", "");
    assert_eq!(report(&[&entry.admin_address, &silent]).0, 1, "a silent instance makes the report fail");
    let text = run(&["report", "--from", &entry.admin_address]).stdout;
    assert!(text.contains("catalogue") && text.contains("99.9% in 250ms"), "{text}");
}

/// Guards against `journal` failing on a regression without `--fail-on-regression`, and against succeeding with it.
#[test]
fn journal_fails_on_a_regression_only_with_the_option() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let dir = folder.path().to_str().expect("a path");
    let out = format!("{dir}/out");
    let journal = |options: &[&str]| run(&[&["journal", "--dir", dir, "--out", &out], options].concat());
    for (minute, score, code) in [(1, 0.9, 0), (2, 0.88, 0), (3, 0.8, 1)] {
        let day = format!(r#"{{"name": "quiet-1", "score": {score}}}"#);
        let start = format!(r#"{{"at": ["2026-01-01T00:0{minute}:00Z"], "cmd": "score", "site": "north""#);
        let text = format!(r#"{start}, "score": {score}, "days": [{day}]}}"#);
        std::fs::write(folder.path().join(format!("{minute}.json")), text).expect("a file");
        assert_eq!(journal(&[]).code, 0, "minute {minute}");
        assert_eq!(journal(&["--fail-on-regression"]).code, code, "minute {minute}");
    }
    std::fs::write(folder.path().join("4.json"), "{").expect("a file");
    let output = journal(&[]);
    assert!(output.code == 0 && output.stdout.contains("quiet-1: 0.8800 to 0.8000 (-0.0800)"), "{output:?}");
}
