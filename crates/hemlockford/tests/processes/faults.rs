//! Server faults under load.

use {
    crate::system::{StandInServers, TestEntry, request},
    serde_json::Value,
    std::{thread, time::Duration},
};

/// Time after the announcement of its departure after which a server must get no new calls.
const LEAVE_LIMIT_MS: u64 = 3_000;

fn assert_no_violations(summary: &Value) {
    assert_eq!(summary["clean"], true, "{summary}");
    assert_eq!(summary["total"]["faults"], serde_json::json!({}), "{summary}");
}

/// Guards against wrong, partial or repeated answers, and against a false "not run", when a server is killed during calls.
#[test]
fn a_killed_server_causes_no_wrong_answers() {
    let entry = TestEntry::start();
    let remaining_servers =
        entry.start_servers_and_wait(&["--prefix", "lasting", "--servers", "3", "--service-time", "exponential:5ms"]);
    let mut killed_server =
        entry.start_servers(&["--prefix", "killed", "--servers", "1", "--service-time", "exponential:5ms"]);
    let (output, summary) = thread::scope(|scope| {
        let load = scope.spawn(|| {
            entry.run_load(
                &remaining_servers,
                &["--rate", "300", "--time", "4s", "--method", "get=2", "--method", "post=1"],
            )
        });
        thread::sleep(Duration::from_millis(1_500));
        killed_server.process.kill();
        load.join().expect("the load generator does not panic")
    });
    assert_eq!(output.code, 0, "{summary}");
    assert_no_violations(&summary);
    let good = summary["total"]["good"].as_u64().expect("a count");
    assert!(good > 0, "{summary}");
}

/// Guards against wrong or repeated answers, and against a false "not run", when servers crash and restart. Unlike those
/// of a killed process, the execution counts survive, so that they can be compared with the answers.
#[test]
fn server_crashes_cause_no_false_not_run() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "3", "--service-time", "exponential:12ms"]);
    let options = ["--rate", "300", "--time", "4s", "--method", "get=1", "--method", "post=1"];
    let (output, summary) = thread::scope(|scope| {
        let load = scope.spawn(|| entry.run_load(&servers, &options));
        for server in ["catalogue-0", "catalogue-1", "catalogue-0"] {
            thread::sleep(Duration::from_millis(600));
            servers.set_mode(server, "mode=crash");
            thread::sleep(Duration::from_millis(300));
            servers.set_mode(server, "mode=restart");
        }
        load.join().expect("the load generator does not panic")
    });
    assert_eq!(output.code, 0, "{summary}");
    assert_no_violations(&summary);
    let counts = servers.executions();
    let cancelled =
        counts["servers"].as_array().expect("servers").iter().filter_map(|server| server["cancelled"].as_u64());
    assert!(cancelled.sum::<u64>() > 0, "no call was running when a server crashed, so the test shows nothing");
}

/// Guards against answers that a server truncates but that look complete to the caller.
#[test]
fn an_answer_that_is_cut_off_never_looks_whole() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "1", "--service-time", "1ms"]);
    for body in ["length", "chunked", "head"] {
        servers.set_mode("catalogue-0", "mode=normal");
        servers.set_mode("catalogue-0", &format!("mode=cut&body={body}"));
        let (output, summary) = entry.run_load(&servers, &["--rate", "100", "--time", "1s", "--method", "post"]);
        assert_eq!(output.code, 0, "{body}: {summary}");
        assert_no_violations(&summary);
        let unknown = summary["total"]["unknown"].as_object().expect("counts").values();
        assert!(unknown.filter_map(Value::as_u64).sum::<u64>() > 0, "{body}: no answer was truncated: {summary}");
    }
}

/// Guards against lost or repeated answers when one server is ten times slower than the others.
#[test]
fn a_straggler_causes_no_wrong_answers() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "4", "--service-time", "exponential:3ms"]);
    servers.set_mode("catalogue-0", "mode=straggler&factor=10");
    let options = ["--rate", "200", "--time", "2s", "--method", "get=1", "--method", "post=1"];
    let (output, summary) = entry.run_load(&servers, &options);
    assert_eq!(output.code, 0, "{summary}");
    assert_no_violations(&summary);
}

/// Guards against new calls to a server more than 3 s after it announced its departure on SIGTERM, and against a stop that
/// aborts calls.
#[test]
fn a_leaving_server_gets_no_new_calls_after_3_s() {
    let entry = TestEntry::start();
    let remaining_servers =
        entry.start_servers_and_wait(&["--prefix", "lasting", "--servers", "2", "--service-time", "2ms"]);
    let mut leaving_server =
        entry.start_servers(&["--prefix", "leaving", "--servers", "1", "--service-time", "2ms", "--linger", "4s"]);
    let ((output, summary), counts) = thread::scope(|scope| {
        let load = scope.spawn(|| entry.run_load(&remaining_servers, &["--rate", "200", "--time", "6s"]));
        thread::sleep(Duration::from_millis(1_200));
        leaving_server.process.signal("TERM");
        let (code, counts) = leaving_server.process.wait_for_exit();
        assert_eq!(code, 0);
        (load.join().expect("the load generator does not panic"), counts)
    });
    assert_eq!(output.code, 0, "{summary}");
    assert_no_violations(&summary);
    assert_eq!(summary["total"]["good"], summary["planned"], "{summary}");
    let counts: Value = serde_json::from_str(&counts).expect("the counts are JSON");
    let server = &counts["servers"][0];
    let time = |key: &str| server[key].as_u64().unwrap_or_else(|| panic!("no count {key} in {server}"));
    assert!(time("started") > 0, "the server never got a call: {server}");
    let after = time("last_started_ms").saturating_sub(time("leaving_since_ms"));
    assert!(after <= LEAVE_LIMIT_MS, "a new call {after} ms after the server started leaving: {server}");
}

/// Guards against a stand-in server that keeps the slot of a disconnected caller, which would hide whether an entry
/// forwards cancellations.
#[test]
fn a_cancelled_call_frees_its_slot() {
    let servers = StandInServers::start(&["emulate", "--servers", "1", "--slots", "1", "--service-time", "20s"]);
    let address = &servers.addresses[0];
    let stream = std::net::TcpStream::connect(address).expect("a connection");
    std::io::Write::write_all(&mut &stream, b"GET /catalogue/held HTTP/1.1\r\nhost: a\r\n\r\n").expect("a request");
    let wait_for = |key: &str, value: u64| {
        for _ in 0..500 {
            if servers.server_counts("catalogue-0")[key] == value {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("{key} did not become {value}: {}", servers.server_counts("catalogue-0"));
    };
    wait_for("started", 1);
    drop(stream);
    wait_for("cancelled", 1);
    wait_for("in_flight", 0);
    let (status, _) = request(address, "GET", "/probe");
    assert_eq!(status, 200);
}

/// Guards against a call that runs to completion on the server although its caller has disconnected from the entry.
#[test]
fn a_caller_that_disconnects_from_the_entry_frees_the_slot_of_the_server() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "1", "--slots", "1", "--service-time", "1ms"]);
    servers.set_mode("all", "mode=straggler&factor=1500");
    let wait_for = |in_flight: u32| {
        for _ in 0..1_000 {
            if servers.server_counts("catalogue-0")["in_flight"] == in_flight {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("in_flight did not become {in_flight}: {}", servers.server_counts("catalogue-0"));
    };
    let stream = std::net::TcpStream::connect(&entry.caller_address).expect("a connection");
    std::io::Write::write_all(&mut &stream, b"GET /catalogue/held HTTP/1.1\r\nhost: a\r\n\r\n").expect("a request");
    wait_for(1);
    drop(stream);
    wait_for(0);
    assert_eq!(servers.server_counts("catalogue-0")["cancelled"], 1, "{}", servers.server_counts("catalogue-0"));
}
