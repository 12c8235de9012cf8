//! Faults of servers under load.

use {
    crate::system::{Servers, System, request},
    serde_json::Value,
    std::{thread, time::Duration},
};

/// Time after its leaving from which on a server must get no new work.
const LEAVING_LIMIT_MS: u64 = 3_000;

fn assert_promises(summary: &Value) {
    assert_eq!(summary["clean"], true, "{summary}");
    assert_eq!(summary["total"]["faults"], serde_json::json!({}), "{summary}");
}

/// Guards against wrong, partial or repeated answers, and against false "not run", when a server dies in
/// the middle of its work.
#[test]
fn a_killed_server_breaks_no_promise() {
    let system = System::start();
    let lasting = system.servers(&["--prefix", "lasting", "--servers", "3", "--service-time", "exponential:5ms"]);
    let mut killed = system.announce(&["--prefix", "killed", "--servers", "1", "--service-time", "exponential:5ms"]);
    let (ended, summary) = thread::scope(|scope| {
        let load = scope.spawn(|| {
            system.load(&lasting, &["--rate", "300", "--time", "4s", "--method", "get=2", "--method", "post=1"])
        });
        thread::sleep(Duration::from_millis(1_500));
        killed.process.kill();
        load.join().expect("the load ends")
    });
    assert_eq!(ended.code, 0, "{summary}");
    assert_promises(&summary);
    let good = summary["total"]["good"].as_u64().expect("a count");
    assert!(good > 0, "{summary}");
}

/// Guards against wrong or repeated answers and against a false "not run" when servers crash and come
/// back; unlike those of a killed process, the counts of what ran survive and are compared.
#[test]
fn crashes_of_servers_cause_no_false_not_run() {
    let system = System::start();
    let servers = system.servers(&["--servers", "3", "--service-time", "exponential:12ms"]);
    let more = ["--rate", "300", "--time", "4s", "--method", "get=1", "--method", "post=1"];
    let (ended, summary) = thread::scope(|scope| {
        let load = scope.spawn(|| system.load(&servers, &more));
        for server in ["catalogue-0", "catalogue-1", "catalogue-0"] {
            thread::sleep(Duration::from_millis(600));
            servers.switch(server, "mode=crash");
            thread::sleep(Duration::from_millis(300));
            servers.switch(server, "mode=restart");
        }
        load.join().expect("the load ends")
    });
    assert_eq!(ended.code, 0, "{summary}");
    assert_promises(&summary);
    let counts = servers.executions();
    let cancelled =
        counts["servers"].as_array().expect("servers").iter().filter_map(|server| server["cancelled"].as_u64());
    assert!(cancelled.sum::<u64>() > 0, "no call was running when a server crashed, so that nothing is shown");
}

/// Guards against answers cut off by a server that reach the caller as whole ones.
#[test]
fn an_answer_that_is_cut_off_never_looks_whole() {
    let system = System::start();
    let servers = system.servers(&["--servers", "1", "--service-time", "1ms"]);
    for body in ["length", "chunked", "head"] {
        servers.switch("catalogue-0", "mode=normal");
        servers.switch("catalogue-0", &format!("mode=cut&body={body}"));
        let (ended, summary) = system.load(&servers, &["--rate", "100", "--time", "1s", "--method", "post"]);
        assert_eq!(ended.code, 0, "{body}: {summary}");
        assert_promises(&summary);
        let unknown = summary["total"]["unknown"].as_object().expect("counts").values();
        assert!(unknown.filter_map(Value::as_u64).sum::<u64>() > 0, "{body}: no call met the cut: {summary}");
    }
}

/// Guards against lost or repeated answers when one server is ten times slower.
#[test]
fn a_straggler_breaks_no_promise() {
    let system = System::start();
    let servers = system.servers(&["--servers", "4", "--service-time", "exponential:3ms"]);
    servers.switch("catalogue-0", "mode=straggler&factor=10");
    let more = ["--rate", "200", "--time", "2s", "--method", "get=1", "--method", "post=1"];
    let (ended, summary) = system.load(&servers, &more);
    assert_eq!(ended.code, 0, "{summary}");
    assert_promises(&summary);
}

/// Guards against new work for a server more than 3 s after it announced that it leaves on SIGTERM, and
/// against a stop that cuts calls off.
#[test]
fn a_leaving_server_gets_no_new_work_after_3_s() {
    let system = System::start();
    let lasting = system.servers(&["--prefix", "lasting", "--servers", "2", "--service-time", "2ms"]);
    let mut leaving =
        system.announce(&["--prefix", "leaving", "--servers", "1", "--service-time", "2ms", "--linger", "4s"]);
    let ((ended, summary), counts) = thread::scope(|scope| {
        let load = scope.spawn(|| system.load(&lasting, &["--rate", "200", "--time", "6s"]));
        thread::sleep(Duration::from_millis(1_200));
        leaving.process.signal("TERM");
        let (code, counts) = leaving.process.wait();
        assert_eq!(code, 0);
        (load.join().expect("the load ends"), counts)
    });
    assert_eq!(ended.code, 0, "{summary}");
    assert_promises(&summary);
    assert_eq!(summary["total"]["good"], summary["planned"], "{summary}");
    let counts: Value = serde_json::from_str(&counts).expect("the counts are JSON");
    let server = &counts["servers"][0];
    let time = |key: &str| server[key].as_u64().unwrap_or_else(|| panic!("no {key} in {server}"));
    assert!(time("started") > 0, "the server never had work: {server}");
    let after = time("last_started_ms").saturating_sub(time("leaving_since_ms"));
    assert!(after <= LEAVING_LIMIT_MS, "work {after} ms after leaving: {server}");
}

/// Guards against a stand-in server that keeps the slot of a caller who left, which would hide whether an
/// entry passes cancellation on.
#[test]
fn a_cancelled_call_frees_its_slot() {
    let servers = Servers::start(&["emulate", "--servers", "1", "--slots", "1", "--service-time", "20s"]);
    let address = &servers.addresses[0];
    let stream = std::net::TcpStream::connect(address).expect("a connection");
    std::io::Write::write_all(&mut &stream, b"GET /catalogue/held HTTP/1.1\r\nhost: a\r\n\r\n").expect("a request");
    let wait = |key: &str, value: u64| {
        for _ in 0..500 {
            if servers.server("catalogue-0")[key] == value {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("{key} did not become {value}: {}", servers.server("catalogue-0"));
    };
    wait("started", 1);
    drop(stream);
    wait("cancelled", 1);
    wait("in_flight", 0);
    let (status, _) = request(address, "GET", "/probe");
    assert_eq!(status, 200);
}

/// Guards against a call that runs to its end at the server although its caller left the entry.
#[test]
fn a_caller_that_leaves_frees_the_slot_behind_the_entry() {
    let system = System::start();
    let servers = system.servers(&["--servers", "1", "--slots", "1", "--service-time", "1ms"]);
    servers.switch("all", "mode=straggler&factor=1500");
    let wait = |in_flight: u32| {
        for _ in 0..1_000 {
            if servers.server("catalogue-0")["in_flight"] == in_flight {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("in_flight did not become {in_flight}: {}", servers.server("catalogue-0"));
    };
    let stream = std::net::TcpStream::connect(&system.callers).expect("a connection");
    std::io::Write::write_all(&mut &stream, b"GET /catalogue/held HTTP/1.1\r\nhost: a\r\n\r\n").expect("a request");
    wait(1);
    drop(stream);
    wait(0);
    assert_eq!(servers.server("catalogue-0")["cancelled"], 1, "{}", servers.server("catalogue-0"));
}
