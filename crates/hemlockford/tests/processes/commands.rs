//! Exit codes and output of the commands.

use {
    crate::{process::run, system::System},
    std::{
        io::{Read, Write},
        net::TcpListener,
        thread,
    },
};

/// Answers each connection with the same response.
fn respond(status: &'static str, body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
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

/// Guards against `check` passing a text with faults, and against reporting only the first of them.
#[test]
fn check_reports_every_fault() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("text.ini");
    let path = path.to_str().expect("a path");
    std::fs::write(path, "[change]\nnumber = 1\n[service stock]\n").expect("a file");
    assert_eq!(run(&["check", path]).code, 0);
    std::fs::write(path, "[change]\nnumber = 0\n[service stock]\nqueue = 0\ncolour = red\n").expect("a file");
    let ended = run(&["check", path]);
    assert_eq!(ended.code, 2);
    for key in ["number", "queue", "colour"] {
        assert!(ended.stdout.contains(key), "{key} is not named in {}", ended.stdout);
    }
    assert_eq!(run(&["check", "/nonexistent/text.ini"]).code, 1);
}

/// Guards against exit codes of `submit` that tell a script something else than the instance said.
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
        let to = respond(status, "said\n");
        let ended = run(&["submit", "--to", &to, path]);
        assert_eq!(ended.code, code, "{status}: {ended:?}");
    }
    // An answer that is not known stays unknown when another instance refuses for now.
    let (silent, refusing) = (respond("", ""), respond("503 Service Unavailable", "no\n"));
    assert_eq!(run(&["submit", "--to", &silent, "--to", &refusing, path]).code, 4);
    let accepting = respond("200 OK", "accepted 1\n");
    assert_eq!(run(&["submit", "--to", &silent, "--to", &accepting, path]).code, 0);
    assert_eq!(run(&["submit", path]).code, 1);
}

/// Guards against an entry that accepts a text with faults through `submit`.
#[test]
fn submit_to_an_entry_refuses_faults() {
    let system = System::start();
    let text = system.file("bad.ini", "[change]\nnumber = 2\n[service stock]\nqueue = 0\n");
    let ended = run(&["submit", "--to", &system.admin, &text.to_string_lossy()]);
    assert_eq!(ended.code, 2, "{ended:?}");
    assert!(ended.stdout.contains("queue"), "{ended:?}");
}

/// Guards against an instance that starts on settings with faults, and against reporting only one.
#[test]
fn bad_settings_are_refused_with_every_fault() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("entry.ini");
    std::fs::write(&path, "[instance]\nworkers = 0\ncallers = nowhere\n[peer e2]\nreplica = perhaps\n")
        .expect("a file");
    let ended = run(&["run", "--settings", &path.to_string_lossy()]);
    assert_eq!(ended.code, 2, "{ended:?}");
    for place in ["[instance] workers", "[instance] callers", "[peer e2] replica", "[peer e2] address"] {
        assert!(ended.stderr.contains(place), "{place} is not named in {}", ended.stderr);
    }
}

/// Guards against wrong use that ends with the code of a refusal, and against help that fails.
#[test]
fn wrong_use_fails_and_help_succeeds() {
    for arguments in [&["nosuch"][..], &[], &["run"], &["load"], &["bench"], &["load", "--rate", "fast"], &["status"]] {
        assert_eq!(run(arguments).code, 1, "{arguments:?}");
    }
    let commands = ["run", "check", "submit", "status", "report", "demo", "emulate", "load", "bench"];
    for command in commands {
        let ended = run(&[command, "--help"]);
        assert_eq!(ended.code, 0, "{ended:?}");
        assert!(ended.stdout.contains("Exit codes"), "{ended:?}");
    }
}

/// Guards against a status that hides an instance which does not answer.
#[test]
fn status_prints_tables_and_names_silent_instances() {
    let body = r#"{"instance":"e1","ready":true,"servers":[{"id":"c-0","state":"ready","lease_ms":900}]}"#;
    let answering = respond("200 OK", body);
    let ended = run(&["status", "--from", &answering]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.stdout.contains("instance: e1") && ended.stdout.contains("c-0  ready  900"), "{}", ended.stdout);
    let silent = respond("", "");
    let ended = run(&["status", "--json", "--from", &answering, "--from", &silent]);
    assert_eq!(ended.code, 1, "{ended:?}");
    let all: serde_json::Value = serde_json::from_str(&ended.stdout).expect("JSON");
    assert_eq!(all[&answering]["instance"], "e1");
    assert!(all[&silent]["error"].is_string(), "{all}");
}

/// Guards against a report of one instance's calls only, and against one that hides a silent instance.
#[test]
fn report_adds_up_the_calls_of_every_instance() {
    let system = System::start();
    let servers = system.servers(&["--servers", "2", "--service-time", "1ms"]);
    let (ended, summary) = system.load(&servers, &["--rate", "50", "--time", "1s", "--customer", "kovar=50"]);
    assert_eq!(ended.code, 0, "{summary}");
    let report = |from: &[&str]| {
        let mut arguments = vec!["report", "--json"];
        arguments.extend(from.iter().flat_map(|from| ["--from", from]));
        let ended = run(&arguments);
        (ended.code, serde_json::from_str::<serde_json::Value>(&ended.stdout).expect("JSON"))
    };
    let total = |report: &serde_json::Value| report["services"][0]["windows"][0]["total"].as_u64().expect("a count");
    let (code, once) = report(&[&system.admin]);
    assert!(code == 0 && total(&once) >= 50, "{once}");
    assert_eq!(once["services"][0]["service"], "catalogue", "{once}");
    let (code, twice) = report(&[&system.admin, &system.admin]);
    assert!(code == 0 && total(&twice) == 2 * total(&once), "{twice}");
    let silent = respond("", "");
    assert_eq!(report(&[&system.admin, &silent]).0, 1, "a silent instance is not hidden");
    let text = run(&["report", "--from", &system.admin]).stdout;
    assert!(text.contains("catalogue") && text.contains("99.9% in 250ms"), "{text}");
}

/// Guards against `journal` failing on a regression without being asked to, and against passing one when asked.
#[test]
fn journal_fails_on_a_regression_only_when_asked() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let dir = folder.path().to_str().expect("a path");
    let out = format!("{dir}/out");
    let journal = |more: &[&str]| run(&[&["journal", "--dir", dir, "--out", &out], more].concat());
    for (minute, score, code) in [(1, 0.9, 0), (2, 0.88, 0), (3, 0.8, 1)] {
        let day = format!(r#"{{"name": "quiet-1", "score": {score}}}"#);
        let start = format!(r#"{{"at": ["2026-01-01T00:0{minute}:00Z"], "cmd": "score", "site": "north""#);
        let text = format!(r#"{start}, "score": {score}, "days": [{day}]}}"#);
        std::fs::write(folder.path().join(format!("{minute}.json")), text).expect("a file");
        assert_eq!(journal(&[]).code, 0, "minute {minute}");
        assert_eq!(journal(&["--fail-on-regression"]).code, code, "minute {minute}");
    }
    std::fs::write(folder.path().join("4.json"), "{").expect("a file");
    let ended = journal(&[]);
    assert!(ended.code == 0 && ended.stdout.contains("quiet-1: 0.8800 to 0.8000 (-0.0800)"), "{ended:?}");
}
